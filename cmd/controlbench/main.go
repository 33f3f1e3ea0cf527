// Command controlbench simulates the control plane in virtual time at several fleet sizes
// and prints the time in which a configuration spreads, bytes per second by role, platform
// calls, and the time in which a dead endpoint is detected.
package main

import (
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/jessevdk/go-flags"

	"laburnumgw/lib/configsync/controlsim"
	"laburnumgw/lib/membership"
)

type options struct {
	Seed    uint64        `long:"seed" default:"1" description:"seed of the random choices"`
	Loss    float64       `long:"loss" default:"0.05" description:"probability that a message is lost"`
	Changes int           `long:"changes" default:"5" description:"configuration changes to measure"`
	Period  time.Duration `long:"period" default:"20s" description:"virtual time of the traffic measurement"`
	Profile string        `long:"cpuprofile" description:"file to write a CPU profile to"`
	Sizes   []string      `long:"size" description:"entries+endpoints; may be repeated"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if len(opts.Sizes) == 0 {
		opts.Sizes = []string{"8+21", "35+77", "106+234", "340+0", "340+750"}
	}
	fmt.Printf("seed %d, loss %.1f%%, 40 files of 1 KB, 15 models of 256 chunks\n", opts.Seed, 100*opts.Loss)
	if opts.Profile != "" {
		file, err := os.Create(opts.Profile)
		if err != nil {
			fmt.Fprintf(os.Stderr, "create profile: %v; choose a writable path\n", err)
			os.Exit(1)
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			fmt.Fprintf(os.Stderr, "start profile: %v\n", err)
			os.Exit(1)
		}
		defer pprof.StopCPUProfile()
	}
	for _, size := range opts.Sizes {
		var entries, endpoints int
		if _, err := fmt.Sscanf(size, "%d+%d", &entries, &endpoints); err != nil {
			fmt.Fprintf(os.Stderr, "size %q: %v; write entries+endpoints\n", size, err)
			os.Exit(2)
		}
		measure(opts, entries, endpoints)
	}
}

func measure(opts options, entries, endpoints int) {
	started := time.Now()
	s := controlsim.New(controlsim.Options{Zones: controlsim.Fleet(entries, endpoints), Loss: opts.Loss, Seed: opts.Seed,
		FileCount: 40, FileBytes: 1024, ModelCount: 15, ChunkCount: 256})
	counts := countDetections(s)
	s.Platform.Apply(0)
	s.Platform.CountWaitingWatches()
	s.StartAll()
	s.Run(30 * time.Second)
	fmt.Printf("\n%d entries + %d endpoint processes\n", entries, endpoints)
	fmt.Printf("  full restart: %d of %d ready after 30 s, at most %d platform calls/s\n", s.ReadyCount(), len(s.Nodes), s.Platform.PeakCalls(0, s.Now()))
	fmt.Printf("    %d false deaths, %d suspicions while it settles\n", counts.falseDeaths, counts.suspicions)
	from := s.Now()
	s.Run(35 * time.Second)
	fmt.Printf("  idle: at most %d platform calls/s, %d waiting watches\n", s.Platform.PeakCalls(from, s.Now()), s.Platform.WaitingWatches())
	fmt.Printf("    %d false deaths, %d suspicions in 65 s\n", counts.falseDeaths, counts.suspicions)
	*counts = detections{}
	entry, endpoint := s.MeasureTraffic(opts.Period)
	printTraffic("entry", entry)
	printTraffic("endpoint", endpoint)
	measureSpread(opts, s)
	measureDetection(s, counts)
	fmt.Printf("  run time %s\n", time.Since(started).Round(time.Millisecond))
}

func printTraffic(role string, t controlsim.Traffic) {
	fmt.Printf("  %-8s bytes/s sent+received: mean %.0f, max %.0f (max sent %.0f, max received %.0f), peak second %d\n",
		role, t.Mean, t.Max, t.MaxSent, t.MaxReceived, t.PeakSecondBytes)
	for _, kind := range []string{"report", "probe", "gossip", "push", "pull"} {
		fmt.Printf("    %s %.0f", kind, t.ByKind[kind])
	}
	fmt.Println()
}

func measureSpread(opts options, s *controlsim.Sim) {
	for range opts.Changes {
		times, missing := s.MeasurePropagation(1, 10*time.Second)
		fmt.Printf("  spread: p50 %s, p90 %s, p99 %s, max %s, missing %d\n",
			controlsim.Percentile(times, 0.5), controlsim.Percentile(times, 0.9), controlsim.Percentile(times, 0.99),
			controlsim.Percentile(times, 1), missing)
	}
}

// detections counts the deaths and suspicions that entries report. detected counts the
// reports of endpoints that are down, longestSilence is the longest silence before one, and
// falseDeaths counts the reports of endpoints that are up.
type detections struct {
	longestSilence time.Duration
	detected       int
	falseDeaths    int
	suspicions     int
}

func countDetections(s *controlsim.Sim) *detections {
	d := &detections{}
	s.OnMembershipEvent = func(_ *controlsim.Node, event membership.Event) {
		node := s.Node(event.VM)
		switch {
		case event.Kind == membership.EndpointSuspect:
			d.suspicions++
		case event.Kind != membership.EndpointDead:
		case node.Up:
			d.falseDeaths++
		default:
			d.detected++
			d.longestSilence = max(d.longestSilence, event.SinceLastSeen)
		}
	}
	return d
}

func measureDetection(s *controlsim.Sim, d *detections) {
	suspicions := d.suspicions
	for _, node := range s.Nodes {
		if !node.Entry {
			node.Kill()
			break
		}
	}
	s.Run(5 * time.Second)
	fmt.Printf("  dead endpoint: %d entries, silent for at most %s; false deaths %d, false suspicions %d\n",
		d.detected, d.longestSilence, d.falseDeaths, suspicions)
}
