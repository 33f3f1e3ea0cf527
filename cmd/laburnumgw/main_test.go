package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/jessevdk/go-flags"
	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/routing"
	"laburnumgw/lib/swarm"
	"laburnumgw/platform"
)

const entrySettings = `
node_name = "front-1"
zone = "a"
region = "r"
ip_address = "10.1.0.40"
internal_ports = [7700,7715]
[listen]
frontend = "10.1.0.40:8005"
readiness = "10.1.0.40:8002"
[limits]
link_mbps = 1000.0
[bounds]
settle_window_ms = 3000
grace_s = 8
[platform]
address = "10.200.1.7:8007"
`

// Guards against a check that passes settings with which the daemon does not start, and
// against an exit code that scripts cannot tell from another failure.
func TestCheck(t *testing.T) {
	Convey("Given settings files", t, func() {
		write := func(text string) string {
			path := filepath.Join(t.TempDir(), "settings.toml")
			So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
			return path
		}
		Convey("valid ones pass", func() {
			So(execute([]string{"check", write(entrySettings)}), ShouldEqual, 0)
		})
		Convey("the variable names the file by default", func() {
			t.Setenv(platform.SettingsVariable, write(entrySettings))
			So(execute([]string{"check"}), ShouldEqual, 0)
		})
		Convey("those that no role can use, broken ones and missing ones are refused", func() {
			t.Setenv(platform.SettingsVariable, "")
			So(execute([]string{"check", write(entrySettings + "[listen2]\n")}), ShouldEqual, 0)
			So(execute([]string{"check", write("app = \"10.1.0.40:1\"\n" + entrySettings)}), ShouldEqual, exitSettings)
			So(execute([]string{"check", write("node_name = ")}), ShouldEqual, exitSettings)
			So(execute([]string{"check", t.TempDir() + "/none"}), ShouldEqual, exitSettings)
			So(execute([]string{"check"}), ShouldEqual, exitSettings)
		})
	})
}

// Guards against a policy that is misspelt and falls back to the default, so that a
// comparison compares the default with itself.
func TestPolicies(t *testing.T) {
	Convey("Unknown policies are refused before anything starts", t, func() {
		path := filepath.Join(t.TempDir(), "settings.toml")
		So(os.WriteFile(path, []byte("node_name = "), 0o600), ShouldBeNil)
		t.Setenv(platform.SettingsVariable, path)
		So(execute([]string{"hosted-entry", "--routing-policy", "best"}), ShouldEqual, exitSettings)
		So(execute([]string{"hosted-endpoint", "--weights-policy", "best"}), ShouldEqual, exitSettings)
	})
	Convey("Each flag offers exactly the policies that exist", t, func() {
		var routed, fetched []string
		for _, policy := range swarm.Policies() {
			fetched = append(fetched, string(policy))
		}
		routed = routing.Policies()
		So(choices(&hostedEntryCommand{}, "routing-policy"), ShouldResemble, routed)
		So(choices(&hostedEndpointCommand{}, "weights-policy"), ShouldResemble, fetched)
	})
}

func choices(command any, name string) []string {
	parser := flags.NewParser(command, flags.None)
	return parser.FindOptionByLongName(name).Choices
}
