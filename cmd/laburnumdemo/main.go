// Command laburnumdemo runs the complete system on loopback: it distributes a model to
// endpoint processes in three availability zones, sends chats and shift bookings, takes a
// zone out of service and back while requests arrive, and stops all processes.
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
	timeoutCtx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	d := &demo{options: o, out: out, dir: dir, started: time.Now()}
	d.printf("starting %d entries, %d model endpoints and %d booking endpoints in zones a, b (region north) and c (region south)", o.Entries, o.Models, o.Services)
	d.Fleet, err = fleet.Start(fleet.Options{
		Bin: o.Bin, Dir: dir, Zones: []fleet.Zone{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}, {Name: "c", Region: "south"}},
		Entries: o.Entries, Models: o.Models, Services: o.Services, Model: model, Service: service,
		TokenDelay: 5 * time.Millisecond, ServiceDelay: 5 * time.Millisecond, WeightsMemoryMB: o.SizeMB + 64, OriginBytes: 500e6,
	})
	if err != nil {
		return err
	}
	defer func() {
		d.printf("stopping all processes")
		if stopErr := d.Stop(); stopErr != nil && err == nil {
			err = stopErr
		}
		if err == nil {
			d.printf("done; all processes stopped cleanly. Logs of every process and the plots are in %s", dir)
		} else {
			d.printf("failed; logs of every process are in %s", dir)
		}
	}()
	if err := d.runSteps(timeoutCtx); err != nil {
		return err
	}
	if o.Keep {
		d.printf("running. The first entry takes requests on %s. For laburnumctl:", d.Entries[0].HTTP)
		for _, variable := range d.CtlEnvironment() {
			fmt.Fprintln(out, "export "+variable)
		}
		d.printf("interrupt to stop")
		<-ctx.Done()
	}
	return nil
}

func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "[%6.1fs] %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) ctl(ctx context.Context, args ...string) error {
	d.printf("$ laburnumctl %s", strings.Join(args, " "))
	return d.Ctl(ctx, d.out, args...)
}

func (d *demo) runSteps(ctx context.Context) error {
	path, err := d.modelFile()
	if err != nil {
		return err
	}
	config, err := d.writeConfiguration()
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
	if err := d.sendRequests(ctx); err != nil {
		return err
	}
	return d.changeZone(ctx)
}

func (d *demo) awaitPlatform(ctx context.Context) error {
	return fleet.Until(ctx, "stand-ins respond", func() bool {
		var calls map[string]int64
		return fleet.GetJSON(ctx, d.Platform.HTTP+"/admin/calls", &calls) == nil &&
			fleet.GetJSON(ctx, d.Origin.HTTP+"/admin/served", &calls) == nil
	})
}

// modelFile returns the path of the model to publish. It generates a file unless the
// options name one.
func (d *demo) modelFile() (string, error) {
	if d.options.Weights != "" {
		return d.options.Weights, nil
	}
	path := filepath.Join(d.dir, "weights.bin")
	d.printf("generating a model of %d MB", d.options.SizeMB)
	return path, writeRandomFile(path, int64(d.options.SizeMB)<<20)
}

func (d *demo) sendRequests(ctx context.Context) error {
	d.printf("chat through each entry")
	for i, entry := range d.Entries {
		response, err := fleet.Chat(ctx, entry, model, fmt.Sprintf("Draft the rota for week %d", i+1), 8)
		if err != nil {
			return err
		}
		if !response.Done {
			return fmt.Errorf("chat through %s ended with status %d: %s", entry.Name, response.Status, response.Body)
		}
		d.printf("  %s: %q from version %.12s", entry.Name, response.Text, response.Header.Get("X-Model-Version"))
	}
	address := d.Entries[0].HTTP
	response, err := fleet.Chat(ctx, d.Entries[0], model, "Explain the swap on Monday", 4)
	if err != nil {
		return err
	}
	d.printf("the routing decision for that request (through %s)", address)
	if err := d.ctl(ctx, "explain", response.Header.Get("X-Request-Id")); err != nil {
		return err
	}
	d.printf("the same booking through each entry, as a caller that retries would send it")
	return d.sendBookings(ctx)
}

func (d *demo) sendBookings(ctx context.Context) error {
	for _, entry := range d.Entries {
		var response fleet.Response
		err := fleet.Until(ctx, "booking is accepted", func() bool {
			var err error
			response, err = fleet.Book(ctx, entry, service, "demo-booking-1", "monday early")
			return err == nil && response.Status == 201
		})
		if err != nil {
			return err
		}
		d.printf("  %s: status %d replayed=%q %s", entry.Name, response.Status, response.Header.Get("Idempotent-Replayed"), response.Body)
	}
	runs := 0
	for _, backend := range d.Backends {
		var counts map[string]int
		if err := fleet.GetJSON(ctx, backend.HTTP+"/admin/runs", &counts); err != nil {
			return err
		}
		runs += counts["demo-booking-1"]
	}
	d.printf("the booking ran %d time(s)", runs)
	if runs != 1 {
		return fmt.Errorf("the booking ran %d times instead of once", runs)
	}
	return nil
}
