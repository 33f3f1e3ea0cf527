package logline

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against dropping lines that start with a machine's name, and against stopping at
// the output of other programs.
func TestRead(t *testing.T) {
	Convey("JSON objects are read, with any text before and between them", t, func() {
		text := `front-1 {"level":"info","ts":"2026-01-01T00:00:01Z","msg":"m","node":"front-1","request":"a","left":5}
not json
{broken
{"msg":"no time"}
`
		var lines []Line
		So(Read(strings.NewReader(text), func(line Line) { lines = append(lines, line) }), ShouldBeNil)
		So(lines, ShouldHaveLength, 2)
		So(lines[0].Node, ShouldEqual, "front-1")
		So(lines[0].Time.Unix(), ShouldEqual, 1767225601)
		So(lines[0].Fields, ShouldResemble, map[string]string{"request": "a", "left": "5"})
		So(lines[1].Time.IsZero(), ShouldBeTrue)
	})
	Convey("A line longer than the bound is an error, not the end of the log", t, func() {
		So(Read(strings.NewReader(strings.Repeat("x", maxLineBytes+1)), func(Line) {}), ShouldNotBeNil)
	})
}

// FuzzParse guards against a panic on any text.
func FuzzParse(f *testing.F) {
	f.Add(`x {"ts":"2026-01-01T00:00:01Z","msg":"m"}`)
	f.Add(`{"ts":5,"msg":null}`)
	f.Fuzz(func(_ *testing.T, text string) { Parse(text) })
}
