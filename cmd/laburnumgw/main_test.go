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

// Guards against a check command that accepts settings with which the daemon does not
// start, and against an exit code that scripts cannot tell from that of another failure.
func TestCheck(t *testing.T) {
	Convey("Given settings files", t, func() {
		writeSettings := func(text string) string {
			path := filepath.Join(t.TempDir(), "settings.toml")
			So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
			return path
		}
		Convey("valid settings pass", func() {
			So(execute([]string{"check", writeSettings(entrySettings)}), ShouldEqual, 0)
		})
		Convey("without an argument the environment variable names the file", func() {
			t.Setenv(platform.SettingsVariable, writeSettings(entrySettings))
			So(execute([]string{"check"}), ShouldEqual, 0)
		})
		Convey("an unknown table passes; settings that no role can use, malformed files and missing files are refused", func() {
			t.Setenv(platform.SettingsVariable, "")
			So(execute([]string{"check", writeSettings(entrySettings + "[listen2]\n")}), ShouldEqual, 0)
			So(execute([]string{"check", writeSettings("app = \"10.1.0.40:1\"\n" + entrySettings)}), ShouldEqual, exitSettings)
			So(execute([]string{"check", writeSettings("node_name = ")}), ShouldEqual, exitSettings)
			So(execute([]string{"check", t.TempDir() + "/none"}), ShouldEqual, exitSettings)
			So(execute([]string{"check"}), ShouldEqual, exitSettings)
		})
	})
}

// Guards against a misspelt policy that falls back to the default, so that a comparison
// of policies compares the default with itself.
func TestPolicies(t *testing.T) {
	Convey("Unknown policies are refused before anything starts", t, func() {
		path := filepath.Join(t.TempDir(), "settings.toml")
		So(os.WriteFile(path, []byte("node_name = "), 0o600), ShouldBeNil)
		t.Setenv(platform.SettingsVariable, path)
		So(execute([]string{"hosted-entry", "--routing-policy", "best"}), ShouldEqual, exitSettings)
		So(execute([]string{"hosted-endpoint", "--weights-policy", "best"}), ShouldEqual, exitSettings)
	})
	Convey("Each flag offers exactly the policies that exist", t, func() {
		var routingPolicies, weightsPolicies []string
		for _, policy := range swarm.Policies() {
			weightsPolicies = append(weightsPolicies, string(policy))
		}
		routingPolicies = routing.Policies()
		So(choices(&hostedEntryCommand{}, "routing-policy"), ShouldResemble, routingPolicies)
		So(choices(&hostedEndpointCommand{}, "weights-policy"), ShouldResemble, weightsPolicies)
	})
}

func choices(command any, name string) []string {
	parser := flags.NewParser(command, flags.None)
	return parser.FindOptionByLongName(name).Choices
}
