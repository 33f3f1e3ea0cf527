package ctl

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/httpstatus"
	"laburnumgw/lib/report"
)

// addRecord adds the command that records a run.
func addRecord(parser *flags.Parser, session *Session) error {
	_, err := parser.AddCommand("record", "Record a run for a report",
		"Polls the status of an entry and the metrics of the entries at an interval and appends samples to a file.", &recordCommand{session: session})
	return err
}

// addReport adds the command that draws a recorded run.
func addReport(parser *flags.Parser, session *Session) error {
	_, err := parser.AddCommand("report", "Draw a recorded run as SVG plots",
		"Draws time to replicas, origin bytes and service during zone changes from a file of `record`.", &reportCommand{session: session})
	return err
}

type recordCommand struct {
	session *Session
	NodeOptions
	Metrics  []string       `long:"metrics" env:"LABURNUMCTL_METRICS" env-delim:"," value-name:"URL" description:"metrics URL of an entry; repeat for all entries"`
	File     flags.Filename `long:"file" required:"true" description:"file to append to"`
	Interval time.Duration  `long:"interval" default:"1s" description:"time between samples"`
	Duration time.Duration  `long:"duration" default:"1m" description:"length of the run"`
}

// Execute records samples until the duration has passed.
func (c *recordCommand) Execute([]string) error {
	if c.Interval < 100*time.Millisecond {
		return &usageError{text: "--interval must be at least 100ms"}
	}
	file, err := os.OpenFile(string(c.File), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errkind.Wrap(err, errkind.Invalid, "name a writable file with --file", "recorded run cannot be written")
	}
	defer file.Close()
	end := time.Now().Add(c.Duration)
	count := 0
	for ; time.Now().Before(end); count++ {
		sample, err := c.sample()
		if err != nil {
			return err
		}
		if err := report.Write(file, sample); err != nil {
			return err
		}
		time.Sleep(c.Interval)
	}
	return c.session.Output().Print(struct {
		Samples int `json:"samples"`
	}{count}, Table{Summary: fmt.Sprintf("recorded %d samples in %s", count, c.File)})
}

func (c *recordCommand) sample() (report.Sample, error) {
	status, err := c.status()
	if err != nil {
		return report.Sample{}, err
	}
	sample := sampleOf(status, time.Now())
	sample.Requests = make(map[string]float64)
	for _, url := range c.Metrics {
		if err := addMetrics(url, &sample); err != nil {
			fmt.Fprintf(c.session.environment.Stderr, "metrics of %s are missing in this sample: %v\n", url, err)
		}
	}
	return sample, nil
}

// sampleOf returns a sample without the values that come from metrics.
func sampleOf(status *laburnumgwv1.StatusResponse, now time.Time) report.Sample {
	sample := report.Sample{
		Time: now, Generation: status.GetConfigGeneration(), Complete: make(map[string]int),
		Assigned: make(map[string]int), ServingByZone: make(map[string]int),
	}
	for _, e := range status.GetEndpoints() {
		for _, p := range e.GetProgress() {
			name := p.GetModel() + "@" + shortDigest(p.GetVersionDigest())
			sample.Assigned[name]++
			sample.OriginBytes += p.GetOriginBytes()
			if p.GetChunksHave() == p.GetChunksTotal() {
				sample.Complete[name]++
			}
		}
		if !e.GetLoad().GetLeaving() && (len(e.GetServing()) > 0 || len(e.GetServices()) > 0) {
			sample.ServingByZone[e.GetZone()]++
		}
	}
	return sample
}

// metricsTimeout bounds one request for the metrics of an entry.
const metricsTimeout = 3 * time.Second

// addMetrics adds the metrics that are served at a URL to a sample.
func addMetrics(url string, sample *report.Sample) error {
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("build metrics request: %w", err)
	}
	response, err := httpstatus.NewClient(http.DefaultTransport).Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return parseMetrics(response.Body, sample)
}

func parseMetrics(r io.Reader, sample *report.Sample) error {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		name, text, ok := strings.Cut(scanner.Text(), " ")
		if !ok {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		if result, ok := label(name, "laburnumgw_entry_requests_total", "result"); ok {
			sample.Requests[result] += value
		}
		if quantile, ok := label(name, "laburnumgw_entry_request_duration_seconds", "quantile"); ok && quantile == "0.99" {
			sample.P99Seconds = max(sample.P99Seconds, value)
		}
	}
	return scanner.Err()
}

// label returns the value of the label key if name is the metric with this one label.
func label(name, metric, key string) (string, bool) {
	rest, ok := strings.CutPrefix(name, metric+"{"+key+`="`)
	if !ok {
		return "", false
	}
	return strings.CutSuffix(rest, `"}`)
}

type reportCommand struct {
	session *Session
	Out     flags.Filename `long:"out" default:"report" description:"directory for the plots"`
	Logs    []string       `long:"log" value-name:"FILE" description:"draw the day from a log of the users' platform, - for standard input; repeat for several"`
	Args    struct {
		File flags.Filename `positional-arg-name:"FILE" description:"file of a recorded run"`
	} `positional-args:"yes"`
}

// Execute draws the plots.
func (c *reportCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.fromLogs()
	}
	file, err := os.Open(string(c.Args.File))
	if err != nil {
		return errkind.Wrap(err, errkind.Invalid, "record a run with `laburnumctl record`", "recorded run cannot be read")
	}
	defer file.Close()
	samples, err := report.Read(file)
	if err != nil {
		return err
	}
	names, err := report.Draw(samples, string(c.Out))
	if err != nil {
		return err
	}
	return c.print(names, fmt.Sprintf("%d samples", len(samples)))
}

// fromLogs draws the plots from logs of processes on the users' platform.
func (c *reportCommand) fromLogs() error {
	if c.Args.File != "" {
		return errkind.New(errkind.Invalid, "pass either a recorded run or logs", "both FILE and --log are set")
	}
	var names []string
	err := withLogs(c.Logs, func(logs []io.Reader) (err error) {
		names, err = report.DrawLogs(string(c.Out), logs...)
		return err
	})
	if err != nil {
		return err
	}
	return c.print(names, fmt.Sprintf("%d logs", len(c.Logs)))
}

func (c *reportCommand) print(names []string, summary string) error {
	table := Table{Header: []string{"PLOT"}, Summary: summary}
	for _, name := range names {
		table.Rows = append(table.Rows, []string{name})
	}
	return c.session.Output().Print(names, table)
}
