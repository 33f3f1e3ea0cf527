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

// bench runs commands against an in-memory platform.
type bench struct {
	store  *platform.Memory
	folder string
	out    bytes.Buffer
	errors bytes.Buffer
}

func newBench(t *testing.T) *bench {
	b := &bench{store: platform.NewMemory(), folder: t.TempDir()}
	b.write("10-zones.yaml", zonesYAML)
	return b
}

func (b *bench) write(name, content string) {
	So(os.WriteFile(filepath.Join(b.folder, name), []byte(content), filePermission), ShouldBeNil)
}

func (b *bench) run(args ...string) int {
	b.out.Reset()
	b.errors.Reset()
	args = append([]string{"--platform", "memory", "--operator", "anna"}, args...)
	return Run(args, Environment{Stdout: &b.out, Stderr: &b.errors,
		NewStore: func(string) (platform.Store, error) { return b.store, nil }})
}

// Guards against output that changes unnoticed, since scripts and people rely on it.
func TestOutput(t *testing.T) {
	golden := goldie.New(t)
	Convey("Each command prints its table and its JSON", t, func() {
		b := newBench(t)
		for _, c := range []struct {
			name string
			code int
			args []string
		}{
			{"check", ExitOK, []string{"config", "check", b.folder}},
			{"diff", ExitOK, []string{"config", "diff", b.folder}},
			{"apply", ExitOK, []string{"config", "apply", b.folder}},
			{"show", ExitOK, []string{"config", "show", "zones"}},
			{"show-json", ExitOK, []string{"-o", "json", "config", "show", "zones.a"}},
			{"origin", ExitOK, []string{"config", "origin", "zones.b.region"}},
			{"origin-folder", ExitOK, []string{"config", "origin", "retries.ratio", "--folder", b.folder}},
			{"zone-out", ExitOK, []string{"zone", "out", "b"}},
			{"zone-again", ExitOK, []string{"zone", "out", "b"}},
			{"conflict", ExitConflict, []string{"config", "apply", b.folder, "--base", "0"}},
			{"conflict-json", ExitConflict, []string{"-o", "json", "config", "apply", b.folder, "--base", "1"}},
			{"unknown-zone", ExitFailure, []string{"zone", "in", "x"}},
			{"usage", ExitUsage, []string{"config", "apply"}},
			{"completion", ExitOK, []string{"completion", "bash"}},
		} {
			if c.name == "conflict" {
				b.write("20-limits.yaml", "limits: {ramp: 1s}")
			}
			So(b.run(c.args...), ShouldEqual, c.code)
			golden.Assert(t, c.name, append(b.out.Bytes(), b.errors.Bytes()...))
		}
		b.write("30-bad.yaml", "limits: {rmp: 1s}\nzones: {a: {state: off}}")
		So(b.run("config", "check", b.folder), ShouldEqual, ExitInvalid)
		golden.Assert(t, "invalid", b.errors.Bytes())
		So(b.run("-o", "json", "config", "apply", b.folder), ShouldEqual, ExitInvalid)
		golden.Assert(t, "invalid-json", b.errors.Bytes())
	})
}

// Guards against commands and flags that the help text omits. The text is wrapped to
// the width of the terminal, so only its words are compared.
func TestHelp(t *testing.T) {
	Convey("Help names commands, flags and environment variables", t, func() {
		b := newBench(t)
		So(b.run("--help"), ShouldEqual, ExitOK)
		for _, word := range []string{"config", "zone", "completion", "--platform", "LABURNUMCTL_PLATFORM", "LABURNUMCTL_OUTPUT"} {
			So(b.out.String(), ShouldContainSubstring, word)
		}
		So(b.run("config", "--help"), ShouldEqual, ExitOK)
		for _, word := range []string{"check", "diff", "apply", "pull", "show", "origin"} {
			So(b.out.String(), ShouldContainSubstring, word)
		}
	})
}

// Guards against a folder that is applied on a base that its files do not come from.
func TestPullEditApply(t *testing.T) {
	Convey("A pulled folder is applied only while nobody else changed the configuration", t, func() {
		b := newBench(t)
		So(b.run("config", "apply", b.folder), ShouldEqual, ExitOK)
		So(b.run("config", "pull", b.folder), ShouldEqual, ExitUsage)
		mine := filepath.Join(b.folder, "mine")
		So(b.run("config", "pull", mine), ShouldEqual, ExitOK)
		So(b.run("zone", "out", "a"), ShouldEqual, ExitOK)
		So(os.WriteFile(filepath.Join(mine, "10-zones.yaml"), []byte(zonesYAML+"  c: {region: south}\n"), filePermission), ShouldBeNil)
		So(b.run("config", "apply", mine), ShouldEqual, ExitConflict)
		So(b.errors.String(), ShouldContainSubstring, "added 90-zone-a.yaml")
		So(b.run("config", "pull", "--force", mine), ShouldEqual, ExitOK)
		So(b.run("config", "apply", mine), ShouldEqual, ExitOK)
		So(b.run("zone", "in", "a"), ShouldEqual, ExitOK)
		So(b.run("config", "show", "zones.a.state"), ShouldEqual, ExitOK)
		So(b.out.String(), ShouldContainSubstring, "90-zone-a.yaml:3")
	})
}

// Guards against a zone command that gives up because of unrelated changes, or that
// overrides another operator's change of the same zone.
func TestZoneRaces(t *testing.T) {
	race := func(b *bench, name, content string) {
		raced := false
		b.store.Inject = func(verb, key string) platform.Fault {
			if verb == "update" && key == configstore.HeadKey && !raced {
				raced = true
				client := configstore.NewClient(b.store)
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
		b := newBench(t)
		So(b.run("config", "apply", b.folder), ShouldEqual, ExitOK)
		Convey("to another file: the command applies again", func() {
			race(b, "90-zone-b.yaml", "zones: {b: {state: out}}")
			So(b.run("zone", "out", "a"), ShouldEqual, ExitOK)
			So(b.run("config", "show", "zones"), ShouldEqual, ExitOK)
			So(strings.Count(b.out.String(), ".state   out "), ShouldEqual, 2)
		})
		Convey("to the same file: the command reports the conflict", func() {
			race(b, "90-zone-a.yaml", "zones: {a: {region: north}}")
			So(b.run("zone", "out", "a"), ShouldEqual, ExitConflict)
		})
		Convey("and a later file overrides the state: the command names it", func() {
			b.write("95-late.yaml", "zones: {a: {state: in}}")
			So(b.run("config", "apply", b.folder), ShouldEqual, ExitOK)
			So(b.run("zone", "out", "a"), ShouldEqual, ExitInvalid)
			So(b.errors.String(), ShouldContainSubstring, "95-late.yaml:1")
		})
	})
}
