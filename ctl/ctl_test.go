package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/config"
	"laburnumgw/lib/configstore"
	"laburnumgw/lib/platform"
)

const zonesYAML = "zones:\n  a: {region: north}\n  b: {region: south}\n"

// commandRunner runs commands on an in-memory platform and captures their output.
type commandRunner struct {
	store  *platform.Memory
	folder string
	out    bytes.Buffer
	errors bytes.Buffer
}

func newCommandRunner(t *testing.T) *commandRunner {
	r := &commandRunner{store: platform.NewMemory(), folder: t.TempDir()}
	r.write("10-zones.yaml", zonesYAML)
	return r
}

func (r *commandRunner) write(name, content string) {
	So(os.WriteFile(filepath.Join(r.folder, name), []byte(content), filePermission), ShouldBeNil)
}

func (r *commandRunner) run(args ...string) int {
	r.out.Reset()
	r.errors.Reset()
	args = append([]string{"--platform", "memory", "--operator", "anna"}, args...)
	return Run(args, Environment{Stdout: &r.out, Stderr: &r.errors,
		NewStore: func(string) (platform.Store, error) { return r.store, nil }})
}

// Guards against unnoticed changes of the output, because scripts and operators rely on it.
func TestOutput(t *testing.T) {
	golden := goldie.New(t)
	Convey("Each command prints its table and its JSON", t, func() {
		r := newCommandRunner(t)
		for _, c := range []struct {
			name string
			code int
			args []string
		}{
			{"check", ExitOK, []string{"config", "check", r.folder}},
			{"diff", ExitOK, []string{"config", "diff", r.folder}},
			{"apply", ExitOK, []string{"config", "apply", r.folder}},
			{"show", ExitOK, []string{"config", "show", "zones"}},
			{"show-json", ExitOK, []string{"-o", "json", "config", "show", "zones.a"}},
			{"origin", ExitOK, []string{"config", "origin", "zones.b.region"}},
			{"origin-folder", ExitOK, []string{"config", "origin", "retries.ratio", "--folder", r.folder}},
			{"zone-out", ExitOK, []string{"zone", "out", "b"}},
			{"zone-again", ExitOK, []string{"zone", "out", "b"}},
			{"conflict", ExitConflict, []string{"config", "apply", r.folder, "--base", "0"}},
			{"conflict-json", ExitConflict, []string{"-o", "json", "config", "apply", r.folder, "--base", "1"}},
			{"unknown-zone", ExitFailure, []string{"zone", "in", "x"}},
			{"usage", ExitUsage, []string{"config", "apply"}},
			{"completion", ExitOK, []string{"completion", "bash"}},
		} {
			if c.name == "conflict" {
				r.write("20-limits.yaml", "limits: {ramp: 1s}")
			}
			So(r.run(c.args...), ShouldEqual, c.code)
			golden.Assert(t, c.name, append(r.out.Bytes(), r.errors.Bytes()...))
		}
		r.write("30-bad.yaml", "limits: {rmp: 1s}\nzones: {a: {state: off}}")
		So(r.run("config", "check", r.folder), ShouldEqual, ExitInvalid)
		golden.Assert(t, "invalid", r.errors.Bytes())
		So(r.run("-o", "json", "config", "apply", r.folder), ShouldEqual, ExitInvalid)
		golden.Assert(t, "invalid-json", r.errors.Bytes())
	})
}

// Guards against commands and flags that are missing from the help text. The text is wrapped
// to the width of the terminal, so the test only looks for words.
func TestHelp(t *testing.T) {
	Convey("Help names commands, flags and environment variables", t, func() {
		r := newCommandRunner(t)
		So(r.run("--help"), ShouldEqual, ExitOK)
		for _, word := range []string{"config", "zone", "completion", "--platform", "LABURNUMCTL_PLATFORM", "LABURNUMCTL_OUTPUT"} {
			So(r.out.String(), ShouldContainSubstring, word)
		}
		So(r.run("config", "--help"), ShouldEqual, ExitOK)
		for _, word := range []string{"check", "diff", "apply", "pull", "show", "origin"} {
			So(r.out.String(), ShouldContainSubstring, word)
		}
	})
}

// Guards against applying a folder on a base generation from which its files were not edited.
func TestPullEditApply(t *testing.T) {
	Convey("A pulled folder is applied only if nobody else changed the configuration since the pull", t, func() {
		r := newCommandRunner(t)
		So(r.run("config", "apply", r.folder), ShouldEqual, ExitOK)
		So(r.run("config", "pull", r.folder), ShouldEqual, ExitUsage)
		pulled := filepath.Join(r.folder, "mine")
		So(r.run("config", "pull", pulled), ShouldEqual, ExitOK)
		So(r.run("zone", "out", "a"), ShouldEqual, ExitOK)
		So(os.WriteFile(filepath.Join(pulled, "10-zones.yaml"), []byte(zonesYAML+"  c: {region: south}\n"), filePermission), ShouldBeNil)
		So(r.run("config", "apply", pulled), ShouldEqual, ExitConflict)
		So(r.errors.String(), ShouldContainSubstring, "added 90-zone-a.yaml")
		So(r.run("config", "pull", "--force", pulled), ShouldEqual, ExitOK)
		So(r.run("config", "apply", pulled), ShouldEqual, ExitOK)
		So(r.run("zone", "in", "a"), ShouldEqual, ExitOK)
		So(r.run("config", "show", "zones.a.state"), ShouldEqual, ExitOK)
		So(r.out.String(), ShouldContainSubstring, "90-zone-a.yaml:3")
	})
}

// Guards against a zone command that fails because of unrelated changes, or that overwrites
// another operator's change of the same zone.
func TestZoneRaces(t *testing.T) {
	applyConcurrently := func(r *commandRunner, name, content string) {
		applied := false
		r.store.Inject = func(verb, key string) platform.Fault {
			if verb == "update" && key == configstore.HeadKey && !applied {
				applied = true
				client := configstore.NewClient(r.store)
				generation, files, err := client.ReadFiles(context.Background())
				So(err, ShouldBeNil)
				files = append(files, config.File{Name: name, Content: []byte(content)})
				_, err = client.Apply(context.Background(), configstore.Change{Files: files, Base: generation, Operator: "bo"})
				So(err, ShouldBeNil)
				return platform.FaultLostResponse
			}
			return platform.NoFault
		}
	}
	Convey("Another operator applies while a zone is taken out", t, func() {
		r := newCommandRunner(t)
		So(r.run("config", "apply", r.folder), ShouldEqual, ExitOK)
		Convey("to another file: the command applies again", func() {
			applyConcurrently(r, "90-zone-b.yaml", "zones: {b: {state: out}}")
			So(r.run("zone", "out", "a"), ShouldEqual, ExitOK)
			So(r.run("config", "show", "zones"), ShouldEqual, ExitOK)
			So(strings.Count(r.out.String(), ".state   out "), ShouldEqual, 2)
		})
		Convey("to the same file: the command reports the conflict", func() {
			applyConcurrently(r, "90-zone-a.yaml", "zones: {a: {region: north}}")
			So(r.run("zone", "out", "a"), ShouldEqual, ExitConflict)
		})
		Convey("and a later file overrides the state: the command names it", func() {
			r.write("95-late.yaml", "zones: {a: {state: in}}")
			So(r.run("config", "apply", r.folder), ShouldEqual, ExitOK)
			So(r.run("zone", "out", "a"), ShouldEqual, ExitInvalid)
			So(r.errors.String(), ShouldContainSubstring, "95-late.yaml:1")
		})
	})
}
