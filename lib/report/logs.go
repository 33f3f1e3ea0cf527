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

// DrawLogs draws plots from the logs of any number of processes on the users' platform. It
// writes them as SVG files into a directory and returns their names. Processes limit the
// number of log lines for successful requests, so only the metrics count those exactly;
// every refusal and failure is in the logs.
func DrawLogs(dir string, logs ...io.Reader) ([]string, error) {
	d := newLogData()
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

// logData collects the data of the plots.
type logData struct {
	lines []logline.Line
	// requests and attempts count events by result and second.
	requests, attempts map[string]map[int]int
	// configs, weights and outages follow the state of each process: the configuration in
	// force, the version of the weights, and the kinds of objects without a source.
	configs, weights, outages levels
}

func newLogData() *logData {
	return &logData{
		requests: make(map[string]map[int]int), attempts: make(map[string]map[int]int),
		configs: newLevels(), weights: newLevels(), outages: newLevels(),
	}
}

// add adds one line to the data. Lines must be added in the order of their times.
func (d *logData) add(line logline.Line) {
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
		// A restarted process has no configuration in force, and its earlier outages have ended.
		d.configs.set(line.Node, "", at)
		for key, kind := range d.outages.current {
			if key == line.Node+" "+kind {
				d.outages.set(key, "", at)
			}
		}
	}
}

func (d *logData) figures() []figure {
	length := d.lines[len(d.lines)-1].Time.Sub(d.lines[0].Time)
	return []figure{
		{"requests.svg", "Requests that ended, by reason", "requests/s", perSecond(d.requests, length)},
		{"attempts.svg", "Attempts at workers, by outcome", "attempts/s", perSecond(d.attempts, length)},
		{"configuration.svg", "Entries by the configuration in force", "entries", d.configs.curves(length)},
		{"weights.svg", "Workers by the version of their weights", "workers", d.weights.curves(length)},
		{"outages.svg", "Processes without a source, by the kind of objects", "processes", d.outages.curves(length)},
	}
}

func count(counts map[string]map[int]int, name string, at time.Duration) {
	if counts[name] == nil {
		counts[name] = make(map[int]int)
	}
	counts[name][int(at/time.Second)]++
}

func perSecond(counts map[string]map[int]int, length time.Duration) []series {
	var curves []series
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		curve := series{name: name}
		for second := range int(length/time.Second) + 1 {
			curve.points = append(curve.points, plotter.XY{X: float64(second), Y: float64(counts[name][second])})
		}
		curves = append(curves, curve)
	}
	return curves
}

// levels counts over time how many holders have each value. A holder is a process, or a
// process with a kind of objects.
type levels struct {
	// current is the value of each holder; empty for none.
	current map[string]string
	// counts and points are the current number of holders and the curve of each value.
	counts map[string]int
	points map[string]plotter.XYs
}

func newLevels() levels {
	return levels{current: make(map[string]string), counts: make(map[string]int), points: make(map[string]plotter.XYs)}
}

// set records the value of a holder from a time on; empty for none.
func (l levels) set(holder, value string, at time.Duration) {
	previous := l.current[holder]
	if previous == value {
		return
	}
	l.current[holder] = value
	l.step(previous, -1, at)
	l.step(value, 1, at)
}

// step changes the count of a value and adds a vertical edge to its curve.
func (l levels) step(value string, change int, at time.Duration) {
	if value == "" {
		return
	}
	l.points[value] = append(l.points[value], plotter.XY{X: at.Seconds(), Y: float64(l.counts[value])})
	l.counts[value] += change
	l.points[value] = append(l.points[value], plotter.XY{X: at.Seconds(), Y: float64(l.counts[value])})
}

func (l levels) curves(length time.Duration) []series {
	var curves []series
	for _, value := range slices.SortedFunc(maps.Keys(l.points), byNumber) {
		end := plotter.XY{X: length.Seconds(), Y: float64(l.counts[value])}
		curves = append(curves, series{value, append(l.points[value], end)})
	}
	return curves
}

// byNumber orders names that end in a number by their length first, so that "version 9"
// comes before "version 10".
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
