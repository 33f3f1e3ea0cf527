// Command swarmbench runs the weight distribution scenarios in virtual time and prints
// their results for each policy. A seed always gives the same results. Times are in V, the
// time in which a VM's entire link carries one copy of the model version.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"laburnumgw/lib/swarm"
	"laburnumgw/lib/swarm/linkfake"
)

type options struct {
	Seed     uint64   `long:"seed" default:"1" description:"seed of all scenarios"`
	Chunks   int      `long:"chunks" default:"256" description:"chunks of the model version"`
	Parallel int      `long:"parallel" default:"3" description:"scenarios to run at the same time"`
	Policies []string `long:"policy" description:"policy to run; all when omitted"`
	Only     []string `long:"scenario" description:"name of a scenario to run; all when omitted"`
	Deadline float64  `long:"deadline" default:"6" description:"V after which a run is ended"`
	Changes  bool     `long:"changes" description:"play changes of weights instead, and print the times to half and last, and the lowest capacity"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// row is one line of the table: a scenario under one policy, and its result.
type row struct {
	scenario linkfake.Scenario
	result   linkfake.Result
}

func run(opts options) error {
	if opts.Changes {
		return printChanges(opts.Seed)
	}
	rows := selectRows(opts)
	fmt.Fprintf(os.Stderr, "seed %d: %d runs, %d at a time\n", opts.Seed, len(rows), max(1, opts.Parallel))
	var done atomic.Int64
	var group errgroup.Group
	group.SetLimit(max(1, opts.Parallel))
	for i := range rows {
		group.Go(func() error {
			rows[i].result = linkfake.NewRun(rows[i].scenario).Execute()
			fmt.Fprintf(os.Stderr, "%d of %d done: %s, %s\n", done.Add(1), len(rows), rows[i].scenario.Name, rows[i].scenario.Policy)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return printTable(opts, rows)
}

func selectRows(opts options) []*row {
	policies := opts.Policies
	if len(policies) == 0 {
		for _, policy := range swarm.Policies() {
			policies = append(policies, string(policy))
		}
	}
	var rows []*row
	for _, scenario := range linkfake.Scenarios() {
		if !selected(opts.Only, scenario.Name) {
			continue
		}
		for _, policy := range policies {
			scenario.Policy = swarm.Policy(policy)
			scenario.Seed = opts.Seed
			scenario.Chunks = opts.Chunks
			scenario.Deadline = opts.Deadline
			rows = append(rows, &row{scenario: scenario})
		}
	}
	return rows
}

func selected(names []string, name string) bool {
	for _, candidate := range names {
		if candidate == name {
			return true
		}
	}
	return len(names) == 0
}

func printTable(opts options, rows []*row) error {
	fmt.Printf("seed %d, %d chunks; times in V, bytes in copies, control traffic per VM\n", opts.Seed, opts.Chunks)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "scenario\tpolicy\tVMs\tlast\tmedian\tincomplete\torigin\tlink\tKB/s mean\tKB/s peak\t")
	for _, r := range rows {
		vms := 0
		for _, region := range r.scenario.Regions {
			vms += region.VMs
		}
		var link float64
		for _, copies := range r.result.LinkCopies {
			link = max(link, copies)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%d\t%.3f\t%.3f\t%.1f\t%.1f\t\n",
			r.scenario.Name, r.scenario.Policy, vms, r.result.LastCompletion, r.result.MedianCompletion, r.result.Incomplete,
			r.result.OriginCopies, link, r.result.ControlMean/1000, r.result.ControlPeak/1000)
	}
	return table.Flush()
}
