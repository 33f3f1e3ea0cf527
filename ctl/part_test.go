package ctl

import (
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/standin/hosted"
)

// Guards against operators who cannot see, add or clear the parts and requests that the entries
// refuse, or who add one under a name that blocks nothing.
func TestPartCommands(t *testing.T) {
	Convey("Given a store with a block that an entry wrote", t, func() {
		store := hosted.NewStore()
		store.Put("blocked_parts", "0bad", map[string]any{"parts": []string{"0bad"}, "workspaces": []string{"ws"}, "trials": 1})
		server := httptest.NewServer(store)
		defer server.Close()
		r := newCommandRunner(t)
		part := func(args ...string) int {
			return r.run(append(append([]string{"part"}, args...), "--store", strings.TrimPrefix(server.URL, "http://"))...)
		}
		Convey("it is listed", func() {
			So(part("list"), ShouldEqual, ExitOK)
			So(r.out.String(), ShouldContainSubstring, "0bad  part  0bad   ws          1")
		})
		Convey("another part can be added, under one name however it is written", func() {
			So(part("block", "5C1E", "--reason", "ticket 7"), ShouldEqual, ExitOK)
			So(part("list"), ShouldEqual, ExitOK)
			So(r.out.String(), ShouldContainSubstring, "5c1e")
			So(r.out.String(), ShouldContainSubstring, "anna: ticket 7")
			So(part("release", "5c1e"), ShouldEqual, ExitOK)
			So(part("release", "5c1e"), ShouldEqual, ExitFailure)
		})
		Convey("it can be cleared", func() {
			So(part("release", "0BAD"), ShouldEqual, ExitOK)
			So(part("list"), ShouldEqual, ExitOK)
			So(r.out.String(), ShouldEqual, "0 blocked\n")
		})
		const name = "request-0123456789abcdef0123456789abcdef"
		Convey("a request that an entry has blocked is told from parts, and can be cleared", func() {
			store.Put("blocked_parts", name, map[string]any{"parts": []string{name}, "workspaces": []string{"ws"}, "reason": "workers crashed on it"})
			So(part("list"), ShouldEqual, ExitOK)
			So(r.out.String(), ShouldContainSubstring, "0bad"+strings.Repeat(" ", len(name)-2)+"part     0bad   ws          1")
			So(r.out.String(), ShouldContainSubstring, name+"  request  -      its own     0")
			So(part("release", name), ShouldEqual, ExitOK)
			So(part("list"), ShouldEqual, ExitOK)
			So(r.out.String(), ShouldNotContainSubstring, name)
			So(r.out.String(), ShouldContainSubstring, "1 blocked")
		})
		Convey("a request can be added by its name, and cleared once", func() {
			So(part("block", strings.ToUpper(name), "--reason", "ticket 8"), ShouldEqual, ExitOK)
			So(r.out.String(), ShouldEqual, name+" is blocked\n")
			So(part("list", "-o", "json"), ShouldEqual, ExitOK)
			So(r.out.String(), ShouldContainSubstring, `"kind": "request"`)
			So(r.out.String(), ShouldContainSubstring, "anna: ticket 8")
			So(part("release", name), ShouldEqual, ExitOK)
			So(part("release", name), ShouldEqual, ExitFailure)
		})
		Convey("a mistyped name and a workspace are refused, and nothing is written", func() {
			So(part("block", name[:len(name)-1]), ShouldEqual, ExitInvalid)
			So(r.errors.String(), ShouldContainSubstring, "copy the name from the log line")
			So(part("release", name[:len(name)-1]), ShouldEqual, ExitInvalid)
			So(r.errors.String(), ShouldContainSubstring, "copy the name from the log line")
			So(part("block", name, "--workspace", "ws"), ShouldEqual, ExitInvalid)
			So(r.errors.String(), ShouldContainSubstring, "omit --workspace")
			So(part("list"), ShouldEqual, ExitOK)
			So(r.out.String(), ShouldContainSubstring, "1 blocked")
		})
		Convey("a store that does not answer is an error", func() {
			store.SetDown(true)
			So(part("list"), ShouldEqual, ExitFailure)
			So(r.errors.String(), ShouldContainSubstring, "check --store")
		})
	})
}
