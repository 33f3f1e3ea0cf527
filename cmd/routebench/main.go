// Command routebench prints a comparison of the routing policies in virtual time:
// imbalance of the endpoints' loads, latency, retries and refusals.
package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/routing"
	"laburnumgw/lib/routing/routetest"
)

type options struct {
	Seed      uint64        `long:"seed" default:"1" description:"seed of the run"`
	Entries   int           `long:"entries" default:"8" description:"number of entries"`
	Endpoints int           `long:"endpoints" default:"24" description:"number of endpoints"`
	Load      float64       `long:"load" default:"16" description:"offered requests in flight for each endpoint"`
	Limit     int           `long:"limit" default:"64" description:"requests that an endpoint runs at once"`
	ReportLag time.Duration `long:"report-lag" default:"1s" description:"age of a report at its arrival"`
	Duration  time.Duration `long:"duration" default:"60s" description:"virtual time of each run"`
	Prefixes  int           `long:"prefixes" default:"0" description:"number of prompt prefixes"`
	NoFrames  bool          `long:"no-frame-loads" description:"response frames carry no load"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tworst 1 s\tp99 ratio\tmean ratio\tp50\tp99\trefused\tfailed\tretries\tcache hits\tsame zone\t")
	for _, policy := range routing.Policies() {
		result, err := routetest.Run(routetest.Scenario{
			Policy:       policy,
			Seed:         opts.Seed,
			Entries:      opts.Entries,
			Endpoints:    opts.Endpoints,
			Load:         opts.Load,
			Limit:        opts.Limit,
			ReportLag:    opts.ReportLag,
			Duration:     opts.Duration,
			Prefixes:     opts.Prefixes,
			NoFrameLoads: opts.NoFrames,
		})
		if err != nil {
			return err
		}
		refused := result.Errors[errkind.NotRun]
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%v\t%v\t%d\t%d\t%d\t%.0f%%\t%.0f%%\t\n", policy,
			result.WorstWindow, result.P99Ratio, result.MeanRatio,
			result.P50.Round(time.Millisecond), result.P99.Round(time.Millisecond),
			refused, result.Requests-result.Answered-refused, result.Retries,
			percent(result.CacheHits, result.Attempts), percent(result.SameZone, result.Attempts))
	}
	return w.Flush()
}

func percent(part, total int) float64 { return 100 * float64(part) / float64(max(total, 1)) }
