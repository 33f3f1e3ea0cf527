package config

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against input that crashes the process, is parsed differently when the files
// arrive in another order, or yields a problem without a remedy.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", zonesFile, modelsFile, "a: b: c", "? x", "[", "{a: {a: {a: 1}}}", "- - - -", "a:\n\t- b", "x: |\n  y\n z",
		"limits: {ramp: 1s, ramp: 2s}", "zones: null", "\"\\uD800\": 1", "a: !!binary x", "<<: *a", "---\n...\n---", "\ufeffzones: {}",
		"models:\n  m:\n    version: 0x1F\n    all: TRUE",
	} {
		f.Add([]byte(seed), []byte(modelsFile))
	}
	f.Fuzz(func(t *testing.T, a, b []byte) {
		one, oneErr := Parse([]File{{"10.yaml", a}, {"20.yaml", b}})
		two, twoErr := Parse([]File{{"20.yaml", b}, {"10.yaml", a}})
		if !reflect.DeepEqual(oneErr, twoErr) {
			t.Fatalf("the order of files changes the problems: %v, %v", oneErr, twoErr)
		}
		if oneErr == nil {
			if changes := Diff(one, two); len(changes) > 0 || !reflect.DeepEqual(one, two) {
				t.Fatalf("the order of files changes the snapshot: %v", changes)
			}
			return
		}
		var invalid *InvalidError
		if !errors.As(oneErr, &invalid) || len(invalid.Problems) == 0 {
			t.Fatalf("untyped error %v", oneErr)
		}
		for _, problem := range invalid.Problems {
			if problem.Text == "" || problem.Remedy == "" || (problem.File != "" && problem.Line < 0) {
				t.Fatalf("incomplete problem %+v", problem)
			}
		}
	})
}

// Guards against a merge that differs from the documented rules: the last file that
// sets a value wins, and null removes what earlier files set.
func TestMergeFollowsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type setting struct{ weight int }
		expected := make(map[string]setting)
		var list []File
		for i := range rapid.IntRange(0, 6).Draw(t, "files") {
			content := ""
			for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"p", "q", "r"}), rapid.ID).Draw(t, "names") {
				weight := rapid.IntRange(-1, 5).Draw(t, "weight")
				switch weight {
				case -1:
					content += fmt.Sprintf("  %s: null\n", name)
					delete(expected, name)
				case 0:
					content += fmt.Sprintf("  %s: {weight: null}\n", name)
					expected[name] = setting{weight: 1}
				default:
					content += fmt.Sprintf("  %s: {weight: %d}\n", name, weight)
					expected[name] = setting{weight: weight}
				}
			}
			if content != "" {
				content = "workspaces:\n" + content
			}
			list = append(list, File{Name: fmt.Sprintf("%02d.yaml", i), Content: []byte(content)})
		}
		shuffled := slices.Clone(list)
		for i := range shuffled {
			j := rapid.IntRange(0, i).Draw(t, "swap")
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		}
		s, err := Parse(shuffled)
		if err != nil {
			t.Fatal(err)
		}
		if len(s.Workspaces) != len(expected) {
			t.Fatalf("got %v, expected %v", s.Workspaces, expected)
		}
		for name, want := range expected {
			if s.Workspaces[name].Weight != want.weight {
				t.Fatalf("%s: got %d, expected %d", name, s.Workspaces[name].Weight, want.weight)
			}
		}
	})
}

// Guards against a difference that is missed, or reported for a value that only moved.
func TestDiff(t *testing.T) {
	a, errA := Parse(files("a.yaml", zonesFile+modelsFile))
	b, errB := Parse(files("b.yaml", zonesFile+modelsFile, "c.yaml", "zones: {a: {state: out}, b: null}"))
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	var paths []string
	for _, change := range Diff(a, b) {
		paths = append(paths, change.Path)
	}
	want := []string{"models.orders.zones", "services.bookings.zones", "zones.a.state", "zones.b.region", "zones.b.state"}
	if !slices.Equal(paths, want) {
		t.Fatalf("got %v", paths)
	}
	if changes := Diff(a, a); len(changes) > 0 {
		t.Fatalf("a snapshot differs from itself: %v", changes)
	}
}

// BenchmarkParseLargestFolder parses the largest allowed number of files, 10,000, of about
// 100 bytes each.
func BenchmarkParseLargestFolder(b *testing.B) {
	var list []File
	for i := range MaxFiles {
		content := fmt.Sprintf("workspaces:\n  w%d:\n    weight: 2\n    priority: 1\n# %040d\n", i, i)
		list = append(list, File{Name: fmt.Sprintf("%05d.yaml", i), Content: []byte(content)})
	}
	for b.Loop() {
		if _, err := Parse(list); err != nil {
			b.Fatal(err)
		}
	}
}
