// Command laburnumsoak runs the daemon on loopback under random faults and checks the
// promises that it makes to callers and operators. It prints the result of each seed with
// the promises that were broken.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"laburnumgw/soak"
)

type options struct {
	Binary   string        `long:"binary" default:"bin/laburnumgw" description:"daemon to run"`
	Dir      string        `long:"dir" description:"directory for settings and logs; a temporary one when omitted"`
	Seed     uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds    int           `long:"seeds" default:"1" description:"number of seeds"`
	Parallel int           `long:"parallel" default:"1" description:"seeds to run at the same time"`
	Duration time.Duration `long:"duration" default:"20s" description:"length of a run"`
	Entries  int           `long:"entries" default:"3" description:"entry processes"`
	Models   int           `long:"models" default:"6" description:"model workers with their processes"`
	Plain    int           `long:"plain" default:"3" description:"workers of each of the two plain services"`
	Network  int           `long:"network" default:"10" description:"second byte of the loopback addresses of the first of the parallel seeds"`
	Planned  bool          `long:"planned" description:"only planned work and silent workers, no faults"`
	Silence  time.Duration `long:"silence-max" description:"longest silence of sound model workers, which then goes with all planned work; 1.5 s beside some of it when omitted"`
	Staging  bool          `long:"staging" description:"only faults of staging, ordering and loading weights"`
	Configs  bool          `long:"configurations" description:"only changes of the configuration while processes and their connections to the store fail"`
	Versions bool          `long:"versions" description:"only versions that reach workers late, which keep requests waiting and stand still about the bounds of their old weights"`
	Drop     bool          `long:"drop-closed" description:"with --versions, no worker runs a request whose connection was closed while it waited"`
	Ignore   bool          `long:"ignore-deadlines" description:"with --versions, half of the slow workers ignore the deadlines of requests"`
	Shares   bool          `long:"shares" description:"only too little room for two workspaces that differ in rank, and workers that state nonsense of their load"`
	Overload bool          `long:"overload" description:"more callers than the model workers have room for"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	broken, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "laburnumsoak:", err)
		os.Exit(2)
	}
	if broken > 0 {
		os.Exit(1)
	}
}

func run(o options) (int, error) {
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "laburnumsoak")
		if err != nil {
			return 0, fmt.Errorf("create directory: %w", err)
		}
		o.Dir = dir
	}
	results := make([]soak.Result, o.Seeds)
	networks := make(chan int, o.Parallel)
	for i := range o.Parallel {
		networks <- o.Network + i
	}
	var group errgroup.Group
	group.SetLimit(o.Parallel)
	for i := range o.Seeds {
		group.Go(func() error {
			network := <-networks
			defer func() { networks <- network }()
			seed := o.Seed + uint64(i)
			dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return fmt.Errorf("create directory: %w", err)
			}
			play := soak.Run
			switch {
			case o.Configs:
				play = soak.RunConfigurations
			case o.Versions:
				play = soak.RunVersions
			case o.Shares:
				play = soak.RunShares
			}
			result, err := play(soak.Options{
				Binary: o.Binary, Dir: dir, Network: network, Entries: o.Entries, Models: o.Models, Plain: o.Plain, Model: soak.SmallModel(), PlannedOnly: o.Planned, SilenceMax: o.Silence, Overload: o.Overload, Staging: o.Staging, DropClosed: o.Drop, IgnoreDeadlines: o.Ignore,
			}, seed, o.Duration)
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			results[i] = result
			fmt.Println(result)
			if o.Versions {
				fmt.Printf("  %s; %d streams cut, %d requests ran and got no answer\n", result.Bounds, result.Cut, result.Unanswered)
			}
			for _, problem := range result.Violations {
				fmt.Println("  broken:", problem)
			}
			if err := os.WriteFile(filepath.Join(dir, "faults.txt"), []byte(strings.Join(result.Faults, "\n")+"\n"), 0o600); err != nil {
				return fmt.Errorf("write faults: %w", err)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	broken := 0
	for _, result := range results {
		if len(result.Violations) > 0 {
			broken++
		}
	}
	fmt.Printf("%d of %d seeds broke a promise; logs in %s\n", broken, o.Seeds, o.Dir)
	return broken, nil
}
