// Package report draws plots of a run as SVG files. A recorded run shows how many VMs hold
// a version, the bytes read from the origin, and the service while availability zones are
// taken out and brought back. Logs show requests, attempts and state changes over time.
package report

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"laburnumgw/lib/errkind"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	megabyte   = 1 << 20
	// maxLineBytes bounds one line, that is one sample, of a recorded run.
	maxLineBytes = 1 << 20
)

// Sample is the state of the system at one moment. A recorded run is a file with one JSON
// sample per line, ordered by time.
type Sample struct {
	Time time.Time `json:"time"`
	// Generation identifies the configuration in force on the polled entry.
	Generation uint64 `json:"generation"`
	// Complete counts the VMs that hold every chunk, by model and version digest.
	Complete map[string]int `json:"whole,omitempty"`
	// Assigned counts the VMs that hold or fetch chunks, by model and version digest.
	Assigned map[string]int `json:"assigned,omitempty"`
	// OriginBytes is the number of bytes read from the origin, summed over all VMs.
	OriginBytes int64 `json:"origin_bytes"`
	// ServingByZone counts the endpoints that take requests, by availability zone.
	ServingByZone map[string]int `json:"serving_by_zone,omitempty"`
	// Requests counts finished requests by result, since the entries started.
	Requests map[string]float64 `json:"requests,omitempty"`
	// P99Seconds is the 99th percentile of the request duration on the entry where it is
	// highest.
	P99Seconds float64 `json:"p99_seconds"`
}

// Write appends a sample to a recorded run.
func Write(w io.Writer, sample Sample) error {
	if err := json.NewEncoder(w).Encode(sample); err != nil {
		return fmt.Errorf("write sample: %w", err)
	}
	return nil
}

// Read reads a recorded run. Its error names the line of the first sample that is
// malformed or older than the sample before it.
func Read(r io.Reader) ([]Sample, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var samples []Sample
	for line := 1; scanner.Scan(); line++ {
		var sample Sample
		if err := json.Unmarshal(scanner.Bytes(), &sample); err != nil {
			return nil, errkind.Wrap(err, errkind.Invalid, "record the run again", "line %d is not a sample", line)
		}
		if len(samples) > 0 && sample.Time.Before(samples[len(samples)-1].Time) {
			return nil, errkind.New(errkind.Invalid, "record the run again", "line %d is older than the line before", line)
		}
		samples = append(samples, sample)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read recorded run: %w", err)
	}
	if len(samples) == 0 {
		return nil, errkind.New(errkind.Invalid, "record a run with `laburnumctl record`", "the recorded run is empty")
	}
	return samples, nil
}

// series is one curve of a plot.
type series struct {
	name   string
	points plotter.XYs
}

// figure is one plot.
type figure struct {
	file, title, yLabel string
	curves              []series
}

// Draw writes the plots of a run as SVG files into a directory and returns their names.
func Draw(samples []Sample, dir string) ([]string, error) {
	if len(samples) == 0 {
		return nil, errors.New("no samples to draw")
	}
	return drawAll(figures(samples), dir)
}

func drawAll(figures []figure, dir string) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("create report directory: %w", err)
	}
	var names []string
	for _, f := range figures {
		path := filepath.Join(dir, f.file)
		if err := f.draw(path); err != nil {
			return nil, err
		}
		names = append(names, path)
	}
	return names, nil
}

func figures(samples []Sample) []figure {
	return []figure{
		{"time-to-replicas.svg", "VMs that hold the complete version", "VMs", byName(samples, func(s Sample) map[string]int { return s.Complete })},
		{"origin-bytes.svg", "Bytes read from the origin", "MB", []series{{"origin", points(samples, originMegabytes)}}},
		{"zones.svg", "Endpoints that take requests", "endpoints", byName(samples, func(s Sample) map[string]int { return s.ServingByZone })},
		{"requests.svg", "Finished requests per second", "requests/s", rates(samples)},
		{"p99.svg", "99th percentile of the request duration", "s", []series{{"p99", points(samples, func(s Sample) float64 { return s.P99Seconds })}}},
	}
}

func originMegabytes(s Sample) float64 { return float64(s.OriginBytes) / megabyte }

func points(samples []Sample, value func(Sample) float64) plotter.XYs {
	xys := make(plotter.XYs, len(samples))
	for i, sample := range samples {
		xys[i].X = sample.Time.Sub(samples[0].Time).Seconds()
		xys[i].Y = value(sample)
	}
	return xys
}

func byName(samples []Sample, values func(Sample) map[string]int) []series {
	names := make(map[string]bool)
	for _, sample := range samples {
		for name := range values(sample) {
			names[name] = true
		}
	}
	var curves []series
	for _, name := range slices.Sorted(maps.Keys(names)) {
		curves = append(curves, series{name, points(samples, func(s Sample) float64 { return float64(values(s)[name]) })})
	}
	return curves
}

// rates returns the requests per second by result between consecutive samples. A counter
// that decreases means that an entry restarted; the rate of that interval is zero.
func rates(samples []Sample) []series {
	names := make(map[string]bool)
	for _, sample := range samples {
		for name := range sample.Requests {
			names[name] = true
		}
	}
	var curves []series
	for _, name := range slices.Sorted(maps.Keys(names)) {
		curve := series{name: name}
		for i := 1; i < len(samples); i++ {
			elapsed := samples[i].Time.Sub(samples[i-1].Time).Seconds()
			if elapsed <= 0 {
				continue
			}
			rate := max(0, samples[i].Requests[name]-samples[i-1].Requests[name]) / elapsed
			curve.points = append(curve.points, plotter.XY{X: samples[i].Time.Sub(samples[0].Time).Seconds(), Y: rate})
		}
		curves = append(curves, curve)
	}
	return curves
}

func (f figure) draw(path string) error {
	p := plot.New()
	p.Title.Text = f.title
	p.X.Label.Text = "seconds since the start of the run"
	p.Y.Label.Text = f.yLabel
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, curve := range f.curves {
		if len(curve.points) == 0 {
			continue
		}
		line, err := plotter.NewLine(curve.points)
		if err != nil {
			return fmt.Errorf("draw %s: %w", f.file, err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(curve.name, line)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save %s: %w", path, err)
	}
	return nil
}
