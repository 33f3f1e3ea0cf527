package config

import (
	"errors"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/errkind"
)

const zonesFile = `zones:
  a: {region: north}
  b:
    region: north
    state: out
  c: {region: south}
`

const modelsFile = `# Models of the chat service.
models:
  rota:
    version: 1.10
    replicas_per_zone: 3
    zones: [c, a]
    limits:
      ramp: 2s
  orders:
    version: v7
    all: true
services:
  bookings:
    path: /bookings
limits:
  cold_in_flight: 4
`

func files(pairs ...string) []File {
	var list []File
	for i := 0; i < len(pairs); i += 2 {
		list = append(list, File{Name: pairs[i], Content: []byte(pairs[i+1])})
	}
	return list
}

func problemsOf(list []File) []Problem {
	_, err := Parse(list)
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.Problems
	}
	return nil
}

func parse(list []File) *Snapshot {
	snapshot, err := Parse(list)
	So(err, ShouldBeNil)
	return snapshot
}

// Guards against settings, defaults or overrides that are decoded into other values.
func TestParse(t *testing.T) {
	Convey("A folder yields typed settings with defaults", t, func() {
		folder := fstest.MapFS{
			"20-models.yaml": {Data: []byte(modelsFile)},
			"10-zones.yaml":  {Data: []byte(zonesFile)},
			"README.md":      {Data: []byte("not configuration")},
			".hidden.yaml":   {Data: []byte("unknown: 1")},
		}
		list, err := ReadFolder(folder)
		So(err, ShouldBeNil)
		So(list, ShouldHaveLength, 2)
		s := parse(list)
		So(s.Zones["b"], ShouldResemble, Zone{Region: "north", State: ZoneOutOfService})
		So(s.Zones["a"].State, ShouldEqual, ZoneInService)
		rota := s.Models["rota"]
		So(rota.Version, ShouldEqual, "1.10")
		So(rota.Zones, ShouldResemble, []string{"a", "c"})
		So(rota.Limits.Ramp, ShouldEqual, 2*time.Second)
		So(rota.Limits.ColdInFlight, ShouldEqual, 4)
		So(s.Models["orders"].All, ShouldBeTrue)
		So(s.Models["orders"].Zones, ShouldResemble, []string{"a", "b", "c"})
		bookings := s.Services["bookings"]
		So(bookings.IsIdempotent("GET"), ShouldBeTrue)
		So(bookings.IsIdempotent("POST"), ShouldBeFalse)
		So(bookings.RequireIdempotencyKey, ShouldBeTrue)
		So(bookings.IdempotencyKeyRetention, ShouldEqual, 168*time.Hour)
		origin, ok := s.Origin("models.rota.version")
		So(ok, ShouldBeTrue)
		So(origin.String(), ShouldEqual, "20-models.yaml:4")
		inherited, _ := s.Origin("models.rota.limits.cold_in_flight")
		So(inherited.String(), ShouldEqual, "20-models.yaml:16")
		standard, _ := s.Origin("routing.policy")
		So(standard.String(), ShouldEqual, "default")
	})
}

// Guards against a merge that ignores the order of names, appends to lists or keeps
// removed keys.
func TestMerge(t *testing.T) {
	Convey("Later files replace scalars and lists, merge maps and remove with null", t, func() {
		s := parse(files(
			"90-later.yaml", "zones:\n  b: null\n  a: {state: out}\nmodels:\n  rota:\n    zones: [a]\n    limits: null\n",
			"20-models.yaml", modelsFile,
			"10-zones.yaml", zonesFile,
		))
		So(s.Zones, ShouldHaveLength, 2)
		So(s.Zones["a"], ShouldResemble, Zone{Region: "north", State: ZoneOutOfService})
		So(s.Models["rota"].Zones, ShouldResemble, []string{"a"})
		So(s.Models["rota"].Limits.Ramp, ShouldEqual, 5*time.Second)
		origin, _ := s.Origin("zones.a.state")
		So(origin.String(), ShouldEqual, "90-later.yaml:3")
	})
}

// Guards against a problem that is not reported, or that names the wrong location.
func TestProblems(t *testing.T) {
	cases := []struct {
		name, content string
		kind          ProblemKind
		line          int
		key, remedy   string
	}{
		{"unknown key", "zones:\n  a: {regoin: x, region: x}", ProblemUnknownKey, 2, "zones.a.regoin", `"region"`},
		{"duplicate key", "limits:\n  ramp: 1s\n  ramp: 2s", ProblemDuplicateKey, 3, "limits.ramp", "keep one"},
		{"range", "retries:\n  ratio: 2", ProblemOutOfRange, 2, "retries.ratio", "from 0 to 1"},
		{"type", "limits:\n  queue_length: many", ProblemWrongType, 2, "limits.queue_length", "an integer"},
		{"duration", "limits:\n  ramp: 5", ProblemWrongType, 2, "limits.ramp", "5s"},
		{"unknown zone", zonesFile + "models:\n  m: {version: v1, all: true, zones: [d]}", ProblemUnknownName, 8, "models.m.zones", "use one of"},
		{"both counts", "models:\n  m: {version: v1, all: true, replicas_per_zone: 1}", ProblemContradictory, 2, "models.m.all", "remove one"},
		{"no count", "models:\n  m: {version: v1}", ProblemMissing, 2, "models.m.replicas_per_zone", "all: true"},
		{"no version", "models:\n  m: {all: true}", ProblemMissing, 2, "models.m.version", "published"},
		{"cold above warm", "limits:\n  warm_in_flight: 1", ProblemContradictory, 2, "limits.cold_in_flight", "at most warm"},
		{"retention", "services:\n  s: {path: /s, key_retention: 1h}", ProblemContradictory, 2, "services.s.answer_retention", "at least as long"},
		{"same path", "services:\n  s: {path: /s}\n  t: {path: /s}", ProblemContradictory, 3, "services.t.path", "own path"},
		{"bad path", "services:\n  s: {path: s}", ProblemOutOfRange, 2, "services.s.path", "starts with"},
		{"empty path", "services:\n  s: {path: ''}", ProblemOutOfRange, 2, "services.s.path", "starts with"},
		{"method", "services:\n  s: {path: /s, idempotent: [get]}", ProblemOutOfRange, 2, "services.s.idempotent", `"GET"`},
		{"policy", "routing: {policy: randm}", ProblemOutOfRange, 1, "routing.policy", `"random"`},
		{"syntax", "limits:\n  ramp: [1", ProblemSyntax, 2, "", "YAML"},
		{"alias", "limits: &a {ramp: 1s}", ProblemSyntax, 1, "", "in full"},
		{"depth", strings.Repeat("[", 5000), ProblemSyntax, 1, "", "nest"},
		{"not UTF-8", "limits:\n  ramp: \xff", ProblemNotUTF8, 2, "", "UTF-8"},
		{"too large", "#" + strings.Repeat("x", MaxFileBytes), ProblemTooLarge, 0, "", "split"},
		{"too many keys", "workspaces:\n" + strings.Repeat("  a: {}\n", 10001), ProblemTooLarge, 10001, "", "split"},
		{"scalar file", "text", ProblemWrongType, 1, "", "map"},
		{"two documents", "limits: {}\n---\nlimits: {}", ProblemSyntax, 3, "", "own file"},
		{"key without a value", "limits: {}\nmodels:\n  # m: {}", ProblemMissing, 2, "models", "write null"},
		{"empty zone list", "models:\n  m: {version: v1, all: true, zones: []}", ProblemOutOfRange, 2, "models.m.zones", "all zones"},
	}
	for _, c := range cases {
		Convey("A configuration is refused: "+c.name, t, func() {
			problems := problemsOf(files("a.yaml", c.content))
			So(problems, ShouldHaveLength, 1)
			So(problems[0].Kind, ShouldEqual, c.kind)
			So(problems[0].File, ShouldEqual, "a.yaml")
			So(problems[0].Line, ShouldEqual, c.line)
			So(problems[0].Key, ShouldEqual, c.key)
			So(problems[0].Remedy, ShouldContainSubstring, c.remedy)
		})
	}
	Convey("All problems of all files are reported at once, in order", t, func() {
		_, err := Parse(files("b.yaml", "limits: {ramp: 0s, x: 1}", "a.yaml", "nothing: 1", "c.yaml", "[", "d.yaml", "zones: {a: {}}"))
		So(errkind.Of(err), ShouldEqual, errkind.Invalid)
		var invalid *InvalidError
		So(errors.As(err, &invalid), ShouldBeTrue)
		var names []string
		for _, problem := range invalid.Problems {
			names = append(names, problem.File)
		}
		So(names, ShouldResemble, []string{"a.yaml", "b.yaml", "b.yaml", "c.yaml"})
	})
	Convey("Too many files are refused", t, func() {
		So(problemsOf(make([]File, MaxFiles+1)), ShouldHaveLength, 1)
	})
}

// Guards against a byte order mark that makes the first key unknown.
func TestByteOrderMark(t *testing.T) {
	Convey("A file that starts with a byte order mark is read like one without it", t, func() {
		So(problemsOf(files("10.yaml", "\ufeff"+zonesFile)), ShouldBeEmpty)
	})
}
