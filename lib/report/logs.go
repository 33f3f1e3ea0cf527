package report

import (
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"gonum.org/v1/plot/plotter"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/logline"
)

// DrawLogs writes the plots of a day from the logs of any number of processes on the
// users' platform as SVG files into a directory and returns their names. Lines of requests
// that go well are bounded in number, so that only the metrics count those; refusals and
// failures are all there.
func DrawLogs(dir string, logs ...io.Reader) ([]string, error) {
	d := newDay()
	for _, log := range logs {
		if err := logline.Read(log, func(line logline.Line) { d.lines = append(d.lines, line) }); err != nil {
			return nil, err
		}
	}
	d.lines = slices.DeleteFunc(d.lines, func(line logline.Line) bool { return line.Time.IsZero() })
	if len(d.lines) == 0 {
		return nil, errkind.New(errkind.Invalid, "pass the JSON logs of entries and endpoint processes", "the logs hold no line with a time")
	}
	slices.SortStableFunc(d.lines, func(a, b logline.Line) int { return a.Time.Compare(b.Time) })
	for _, line := range d.lines {
		d.add(line)
	}
	return drawAll(d.figures(), dir)
}

// day collects what the plots show.
type day struct {
	lines []logline.Line
	// requests and attempts count by second and result.
	requests, attempts map[string]map[int]int
	// beliefs are what each process holds, by the plot and the process.
	configs, weights, outages levels
}

func newDay() *day {
	return &day{
		requests: make(map[string]map[int]int), attempts: make(map[string]map[int]int),
		configs: newLevels(), weights: newLevels(), outages: newLevels(),
	}
}

// add takes over one line. Lines come in the order of time.
func (d *day) add(line logline.Line) {
	at := line.Time.Sub(d.lines[0].Time)
	switch line.Message {
	case "request ended", "request refused":
		count(d.requests, line.Fields["reason"], at)
	case "attempt ended":
		count(d.attempts, line.Fields["outcome"], at)
	case "configuration in force":
		d.configs.set(line.Node, "version "+line.Fields["version"], at)
	case "worker state":
		d.weights.set(line.Node, "version "+line.Fields["version"], at)
	case "store does not answer; the mirrored state stays in force":
		d.outages.set(line.Node+" "+line.Fields["kind"], line.Fields["kind"], at)
	case "source of the mirror regained":
		d.outages.set(line.Node+" "+line.Fields["kind"], "", at)
	case "entry started", "endpoint process started":
		// A process that starts again believes nothing of what it did before.
		d.configs.set(line.Node, "", at)
		for key, kind := range d.outages.held {
			if key == line.Node+" "+kind {
				d.outages.set(key, "", at)
			}
		}
	}
}

func (d *day) figures() []figure {
	length := d.lines[len(d.lines)-1].Time.Sub(d.lines[0].Time)
	return []figure{
		{"requests.svg", "Requests that ended, by reason", "requests/s", perSecond(d.requests, length)},
		{"attempts.svg", "Attempts at workers, by outcome", "attempts/s", perSecond(d.attempts, length)},
		{"configuration.svg", "Entries by the configuration in force", "entries", d.configs.lines(length)},
		{"weights.svg", "Workers by the version of their weights", "workers", d.weights.lines(length)},
		{"outages.svg", "Processes without a source, by the kind of objects", "processes", d.outages.lines(length)},
	}
}

func count(counts map[string]map[int]int, name string, at time.Duration) {
	if counts[name] == nil {
		counts[name] = make(map[int]int)
	}
	counts[name][int(at/time.Second)]++
}

func perSecond(counts map[string]map[int]int, length time.Duration) []series {
	var lines []series
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		line := series{name: name}
		for second := range int(length/time.Second) + 1 {
			line.points = append(line.points, plotter.XY{X: float64(second), Y: float64(counts[name][second])})
		}
		lines = append(lines, line)
	}
	return lines
}

// levels counts holders by what they hold, over time.
type levels struct {
	held   map[string]string
	counts map[string]int
	points map[string]plotter.XYs
}

func newLevels() levels {
	return levels{held: make(map[string]string), counts: make(map[string]int), points: make(map[string]plotter.XYs)}
}

// set notes what a holder holds from a time on; empty for nothing.
func (l levels) set(holder, value string, at time.Duration) {
	before := l.held[holder]
	if before == value {
		return
	}
	l.held[holder] = value
	l.step(before, -1, at)
	l.step(value, 1, at)
}

// step draws a vertical edge.
func (l levels) step(value string, change int, at time.Duration) {
	if value == "" {
		return
	}
	l.points[value] = append(l.points[value], plotter.XY{X: at.Seconds(), Y: float64(l.counts[value])})
	l.counts[value] += change
	l.points[value] = append(l.points[value], plotter.XY{X: at.Seconds(), Y: float64(l.counts[value])})
}

func (l levels) lines(length time.Duration) []series {
	var lines []series
	for _, value := range slices.SortedFunc(maps.Keys(l.points), byNumber) {
		end := plotter.XY{X: length.Seconds(), Y: float64(l.counts[value])}
		lines = append(lines, series{value, append(l.points[value], end)})
	}
	return lines
}

// byNumber orders names such as "version 9" and "version 10" by their numbers.
func byNumber(a, b string) int {
	if len(a) != len(b) && isNumbered(a) && isNumbered(b) {
		return len(a) - len(b)
	}
	if a < b {
		return -1
	}
	return 1
}

func isNumbered(name string) bool {
	_, err := strconv.Atoi(name[len(name)-1:])
	return err == nil
}
