// Package zonefake plays changes of weights in availability zones in virtual time, with the decisions of lib/rollout. A
// seed always gives the same results.
package zonefake

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumgw/lib/rollout"
	"laburnumgw/lib/startwait"
)

const (
	step = 50 * time.Millisecond
	// listed is how long after a load the list names it.
	listed = 1500 * time.Millisecond
	// longest is after the last naming when a run ends in any case.
	longest = 30 * time.Second
	chunks  = 480
)

// start is when the first version is named.
var start = time.Unix(1_000_000, 0)

// Scenario is a fleet and the versions that are named.
type Scenario struct {
	// Zones are the numbers of workers by availability zone.
	Zones []int
	// Named holds when versions 2, 3 and so on are named.
	Named []time.Duration
	// Transit is how long a copy takes over the links, which carry one at a time. The last worker has it Spread later.
	Transit, Spread time.Duration
	// Load is how long an order takes, and LoadSpread by how much more it takes some workers.
	Load, LoadSpread time.Duration
	// Bound is the bound of versions.
	Bound time.Duration
	// Utilization is the share of the capacity that requests ask for.
	Utilization float64
	// Lost holds workers, counted from the first zone on, that never load, and when they leave the list.
	Lost map[int]time.Duration
	Seed uint64
}

// Result is what a run has shown. Times count from the naming of the last version, and are zero if it did not come to that.
type Result struct {
	Half, Last time.Duration
	// Lowest is the least share of the workers of a zone that served at any moment.
	Lowest float64
	// Refused is the share of the requests from the first naming to Last for which there was no capacity, of those that all
	// workers together could have served.
	Refused float64
	Whole   int
}

type worker struct {
	vm      string
	version int
	// target is the version being loaded until wholeAt, or the one that is loaded.
	target     int
	wholeAt    time.Duration
	late, load time.Duration
	isLost     bool
	leaves     time.Duration
	listed     int
}

// Execute plays a scenario.
func (s Scenario) Execute() Result {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	zones := make([][]*worker, len(s.Zones))
	total := 0
	for z, count := range s.Zones {
		for i := range count {
			w := &worker{vm: fmt.Sprintf("10.%d.%d.%d", z, i/250, i%250), version: 1, target: 1, late: share(rng, s.Spread), load: s.Load + share(rng, s.LoadSpread)}
			w.leaves, w.isLost = s.Lost[total]
			zones[z] = append(zones[z], w)
			total++
		}
	}
	result, newest, last := Result{Lowest: 1}, len(s.Named)+1, s.Named[len(s.Named)-1]
	lost := total - len(s.Lost)
	asked, refused := 0.0, 0.0
	for now := time.Duration(0); now < last+longest && result.Whole < lost; now += step {
		result.Whole = 0
		serving := 0
		for _, zone := range zones {
			members, inZone := s.members(zone, now), 0
			for _, w := range zone {
				s.advance(w, members, now)
				if !w.isLost && w.target == w.version && now < s.sendingEnds(w.version) {
					inZone++
				}
				if w.version == newest {
					result.Whole++
				}
			}
			result.Lowest = min(result.Lowest, float64(inZone)/float64(len(zone)))
			serving += inZone
		}
		asked += min(1, s.Utilization)
		refused += max(0, min(1, s.Utilization)-float64(serving)/float64(total))
		if result.Half == 0 && 2*result.Whole >= total {
			result.Half = now - last
		}
		if result.Whole == lost {
			result.Last = now - last
		}
	}
	result.Refused = refused / asked
	return result
}

func share(rng *rand.Rand, of time.Duration) time.Duration {
	return time.Duration(rng.Float64() * float64(of))
}

// members returns the workers of a zone as the list names them.
func (s Scenario) members(zone []*worker, now time.Duration) []rollout.Member {
	list := make([]rollout.Member, 0, len(zone))
	for _, w := range zone {
		if w.version > w.listed && now >= w.wholeAt+listed {
			w.listed = w.version
		}
		if !w.isLost || now < w.leaves {
			list = append(list, rollout.Member{VM: w.vm, Version: w.listed})
		}
	}
	return list
}

// advance ends the order of a worker that is whole, and gives it the one that is due.
func (s Scenario) advance(w *worker, members []rollout.Member, now time.Duration) {
	if w.target != w.version && now >= w.wholeAt {
		w.version = w.target
	}
	if w.isLost {
		return
	}
	// A worker that gets no more requests has none that run.
	idle := now >= s.sendingEnds(w.version)+w.load
	state := rollout.Worker{Version: w.version, Complete: true, Busy: w.target != w.version, LoadTime: s.Load + s.LoadSpread/2, IdleLoadTime: s.Load / 4, Idle: idle}
	decision := rollout.Decide(rollout.DefaultSettings(s.Bound), state, s.targets(w, now), w.vm, members, start.Add(now))
	if decision.Load == 0 {
		return
	}
	w.target, w.wholeAt = decision.Load, now+w.load
	if idle {
		w.wholeAt = now + w.load/4
	}
}

// targets returns the versions that are named, as the process beside a worker knows them.
func (s Scenario) targets(w *worker, now time.Duration) []rollout.Target {
	var list []rollout.Target
	free := time.Duration(0)
	for i, named := range s.Named {
		opened := max(named, free)
		arrives := opened + s.Transit + w.late
		free = arrives
		if now < named {
			continue
		}
		t := rollout.Target{Version: i + 2, NamedAt: start.Add(named), Chunks: chunks, OpenedAt: start.Add(opened), HeldAt: start.Add(now)}
		if now >= opened {
			t.Held = min(chunks, int(chunks*(now-opened)/(arrives-opened)))
		}
		if now >= arrives {
			t.Complete, t.CompleteAt = true, start.Add(arrives)
		}
		list = append(list, t)
	}
	return list
}

// sendingEnds returns when a version gets no more requests.
func (s Scenario) sendingEnds(version int) time.Duration {
	if version > len(s.Named) {
		return time.Hour
	}
	return startwait.SendingEnds(start.Add(s.Named[version-1]), s.Bound).Sub(start)
}
