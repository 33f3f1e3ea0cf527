package report

import (
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/logline"
)

// entryLog and endpointLog are logs of two processes. entryLog has the name of the machine
// in front of each line and the output of another program in between.
const (
	entryLog = `front-1 {"level":"info","ts":"2026-01-01T00:00:00Z","msg":"configuration in force","node":"front-1","version":9}
some other program
front-1 {"level":"info","ts":"2026-01-01T00:00:01.2Z","msg":"request refused","node":"front-1","request":"a","reason":"not_found"}
front-1 {"level":"info","ts":"2026-01-01T00:00:01.7Z","msg":"request ended","node":"front-1","request":"b","reason":"not_run"}
front-1 {"level":"warn","ts":"2026-01-01T00:00:02Z","msg":"store does not answer; the mirrored state stays in force","node":"front-1","kind":"config"}
front-1 {"level":"info","ts":"2026-01-01T00:00:03Z","msg":"source of the mirror regained","node":"front-1","kind":"config"}
front-1 {"level":"info","ts":"2026-01-01T00:00:04Z","msg":"configuration in force","node":"front-1","version":10}
`
	endpointLog = `{"level":"info","ts":"2026-01-01T00:00:00.5Z","msg":"worker state","node":"side-1","version":1}
{"level":"info","ts":"2026-01-01T00:00:02.5Z","msg":"worker state","node":"side-1","version":2}
{"level":"info","ts":"2026-01-01T00:00:05Z","msg":"attempt ended","node":"front-1","outcome":"OUTCOME_COMPLETE"}
`
)

// Guards against empty plots, and against merging the logs of several processes by file
// instead of by time.
func TestDrawLogs(t *testing.T) {
	Convey("Logs of several processes are drawn together", t, func() {
		dir := t.TempDir()
		names, err := DrawLogs(dir, strings.NewReader(endpointLog), strings.NewReader(entryLog))
		So(err, ShouldBeNil)
		So(names, ShouldHaveLength, 5)
		for _, name := range names {
			content, err := os.ReadFile(name)
			So(err, ShouldBeNil)
			So(strings.Count(string(content), "<path"), ShouldBeGreaterThan, 2)
		}
	})
	Convey("Logs without a laburnumgw line are refused", t, func() {
		_, err := DrawLogs(t.TempDir(), strings.NewReader("hello\n{}\n"))
		So(errkind.Of(err), ShouldEqual, errkind.Invalid)
	})
}

// Guards against curves that count a value after the process has changed it, or a value
// from before the process restarted.
func TestLevels(t *testing.T) {
	Convey("Each holder counts for its latest value only", t, func() {
		l := newLevels()
		l.set("a", "version 9", 0)
		l.set("b", "version 9", 1e9)
		l.set("a", "version 10", 2e9)
		l.set("b", "", 3e9)
		curves := l.curves(4e9)
		So(curves, ShouldHaveLength, 2)
		So(curves[0].name, ShouldEqual, "version 9")
		So(curves[1].name, ShouldEqual, "version 10")
		last := func(s series) float64 { return s.points[len(s.points)-1].Y }
		So(last(curves[0]), ShouldEqual, 0)
		So(last(curves[1]), ShouldEqual, 1)
		So(curves[0].points[3].Y, ShouldEqual, 2)
	})
	Convey("A restarted process has no configuration and no outage", t, func() {
		d := newLogData()
		for _, text := range strings.Split(strings.TrimSpace(entryLog), "\n") {
			if line, ok := logline.Parse(text); ok {
				d.lines = append(d.lines, line)
				d.add(line)
			}
		}
		So(d.configs.counts, ShouldResemble, map[string]int{"version 9": 0, "version 10": 1})
		So(d.outages.counts, ShouldResemble, map[string]int{"config": 0})
		restart, _ := logline.Parse(`{"ts":"2026-01-01T00:00:06Z","msg":"entry started","node":"front-1"}`)
		d.add(restart)
		So(d.configs.counts["version 10"], ShouldEqual, 0)
	})
}
