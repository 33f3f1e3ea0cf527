// Command laburnumdemo runs the whole system on loopback: it distributes a model to
// endpoint processes in three availability zones, asks it questions, books shifts,
// takes a zone out and back while requests flow, and stops everything.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"laburnumgw/fleet"
)

type options struct {
	Bin      string        `long:"bin" default:"bin" description:"directory of the programs"`
	Weights  string        `long:"weights" description:"file or folder to use as the model; generated when empty"`
	SizeMB   int           `long:"size-mb" default:"256" description:"size of the generated model"`
	Entries  int           `long:"entries" default:"6" description:"entry processes"`
	Models   int           `long:"models" default:"12" description:"model endpoints"`
	Services int           `long:"services" default:"3" description:"booking endpoints"`
	Keep     bool          `long:"keep" description:"keep running until interrupted"`
	Timeout  time.Duration `long:"timeout" default:"5m" description:"time after which the demonstration gives up"`
}

const (
	model   = "rota"
	version = "v1"
	service = "bookings"
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "laburnumdemo:", err)
		os.Exit(1)
	}
}

// demo is one run of the demonstration.
type demo struct {
	*fleet.Fleet
	options options
	out     io.Writer
	dir     string
	started time.Time
}

func run(ctx context.Context, o options, out io.Writer) (err error) {
	dir, err := os.MkdirTemp("", "laburnumdemo-")
	if err != nil {
		return fmt.Errorf("create working directory: %w", err)
	}
	limited, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	d := &demo{options: o, out: out, dir: dir, started: time.Now()}
	d.say("starting %d entries, %d model endpoints and %d booking endpoints in zones a, b (region north) and c (region south)", o.Entries, o.Models, o.Services)
	d.Fleet, err = fleet.Start(fleet.Options{
		Bin: o.Bin, Dir: dir, Zones: []fleet.Zone{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}, {Name: "c", Region: "south"}},
		Entries: o.Entries, Models: o.Models, Services: o.Services, Model: model, Service: service,
		TokenDelay: 5 * time.Millisecond, ServiceDelay: 5 * time.Millisecond, WeightsMemoryMB: o.SizeMB + 64, OriginBytes: 500e6,
	})
	if err != nil {
		return err
	}
	defer func() {
		d.say("stopping all processes")
		if stopErr := d.Stop(); stopErr != nil && err == nil {
			err = stopErr
		}
		if err == nil {
			d.say("done; all processes stopped cleanly. Logs of every process and the plots are in %s", dir)
		} else {
			d.say("failed; logs of every process are in %s", dir)
		}
	}()
	if err := d.job(limited); err != nil {
		return err
	}
	if o.Keep {
		d.say("running. The first entry takes requests on %s. For laburnumctl:", d.Entries[0].HTTP)
		for _, variable := range d.CtlEnvironment() {
			fmt.Fprintln(out, "export "+variable)
		}
		d.say("interrupt to stop")
		<-ctx.Done()
	}
	return nil
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "[%6.1fs] %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) ctl(ctx context.Context, args ...string) error {
	d.say("$ laburnumctl %s", strings.Join(args, " "))
	return d.Ctl(ctx, d.out, args...)
}

func (d *demo) job(ctx context.Context) error {
	path, err := d.weights()
	if err != nil {
		return err
	}
	config, err := d.configuration()
	if err != nil {
		return err
	}
	if err := d.awaitPlatform(ctx); err != nil {
		return err
	}
	for _, args := range [][]string{
		{"model", "publish", model, version, path},
		{"config", "check", config},
		{"config", "apply", config},
		{"status", "rollout", "--wait", "--model", model, "--vms", fmt.Sprint(d.options.Models), "--timeout", d.options.Timeout.String()},
		{"status", "endpoints"},
	} {
		if err := d.ctl(ctx, args...); err != nil {
			return err
		}
	}
	if err := d.requests(ctx); err != nil {
		return err
	}
	return d.zoneChange(ctx)
}

func (d *demo) awaitPlatform(ctx context.Context) error {
	return fleet.Until(ctx, "stand-ins answer", func() bool {
		var calls map[string]int64
		return fleet.GetJSON(ctx, d.Platform.HTTP+"/admin/calls", &calls) == nil &&
			fleet.GetJSON(ctx, d.Origin.HTTP+"/admin/served", &calls) == nil
	})
}

// weights returns the model to publish; it is generated unless a path was given.
func (d *demo) weights() (string, error) {
	if d.options.Weights != "" {
		return d.options.Weights, nil
	}
	path := filepath.Join(d.dir, "weights.bin")
	d.say("generating a model of %d MB", d.options.SizeMB)
	return path, generate(path, int64(d.options.SizeMB)<<20)
}

func (d *demo) requests(ctx context.Context) error {
	d.say("chat through each entry")
	for i, entry := range d.Entries {
		answer, err := fleet.Chat(ctx, entry, model, fmt.Sprintf("Draft the rota for week %d", i+1), 8)
		if err != nil {
			return err
		}
		if !answer.Done {
			return fmt.Errorf("chat through %s ended with status %d: %s", entry.Name, answer.Status, answer.Body)
		}
		d.say("  %s: %q from version %.12s", entry.Name, answer.Text, answer.Header.Get("X-Model-Version"))
	}
	last := d.Entries[0].HTTP
	answer, err := fleet.Chat(ctx, d.Entries[0], model, "Explain the swap on Monday", 4)
	if err != nil {
		return err
	}
	d.say("why did that request (through %s) go where it went?", last)
	if err := d.ctl(ctx, "explain", answer.Header.Get("X-Request-Id")); err != nil {
		return err
	}
	d.say("the same booking through each entry, as an impatient caller would repeat it")
	return d.book(ctx)
}

func (d *demo) book(ctx context.Context) error {
	for _, entry := range d.Entries {
		var answer fleet.Response
		err := fleet.Until(ctx, "booking is accepted", func() bool {
			var err error
			answer, err = fleet.Book(ctx, entry, service, "demo-booking-1", "monday early")
			return err == nil && answer.Status == 201
		})
		if err != nil {
			return err
		}
		d.say("  %s: status %d replayed=%q %s", entry.Name, answer.Status, answer.Header.Get("Idempotent-Replayed"), answer.Body)
	}
	runs := 0
	for _, backend := range d.Backends {
		var counts map[string]int
		if err := fleet.GetJSON(ctx, backend.HTTP+"/admin/runs", &counts); err != nil {
			return err
		}
		runs += counts["demo-booking-1"]
	}
	d.say("the booking ran %d time(s)", runs)
	if runs != 1 {
		return fmt.Errorf("the booking ran %d times", runs)
	}
	return nil
}
