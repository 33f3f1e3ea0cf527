package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"laburnumgw/lib/rollout/zonefake"
)

// changeBound is the bound of versions in the table of changes.
const changeBound = 8 * time.Second

// printChanges plays changes of weights in virtual time and prints their table: one version, and two that are named 1 to
// 6 s apart.
func printChanges(seed uint64) error {
	fmt.Printf("seed %d, bound %s; seconds from the naming of the last version\n", seed, changeBound)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workers\tcopy\tversions\tload\thalf\tlast\tlowest zone\trefused\t")
	for _, zones := range [][]int{{5, 5, 4}, {19, 19, 19}, {100, 100, 100}, {200, 200, 200}} {
		for _, transit := range []time.Duration{2100 * time.Millisecond, 3300 * time.Millisecond} {
			for _, apart := range []int{0, 1, 2, 4, 6} {
				s := zonefake.Scenario{
					Zones: zones, Named: []time.Duration{0}, Transit: transit, Spread: 300 * time.Millisecond,
					Load: 1700 * time.Millisecond, LoadSpread: 500 * time.Millisecond, Bound: changeBound, Seed: seed,
				}
				versions := "one"
				if apart > 0 {
					s.Named = append(s.Named, time.Duration(apart)*time.Second)
					versions = fmt.Sprintf("two, %d s", apart)
				}
				for _, s.Utilization = range []float64{0.6, 0.9, 1.3, 1.7} {
					r := s.Execute()
					fmt.Fprintf(table, "%d\t%.1f\t%s\t%.1f\t%.2f\t%.2f\t%.2f\t%.3f\t\n", zones[0]+zones[1]+zones[2], transit.Seconds(), versions,
						s.Utilization, r.Half.Seconds(), r.Last.Seconds(), r.Lowest, r.Refused)
				}
			}
		}
	}
	return table.Flush()
}
