package ctl

import (
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/standin/hosted"
)

// Guards against operators who cannot see, add or clear the parts that the entries refuse.
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
			So(r.out.String(), ShouldContainSubstring, "0bad  0bad   ws          1")
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
		Convey("a store that does not answer is an error", func() {
			store.SetDown(true)
			So(part("list"), ShouldEqual, ExitFailure)
			So(r.errors.String(), ShouldContainSubstring, "check --store")
		})
	})
}
