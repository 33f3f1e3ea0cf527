package linkfake

import (
	"slices"
	"time"

	"laburnumgw/lib/swarm"
)

// Sizes of the fleets in the design's distribution table.
const (
	smallFleet = 100
	largeFleet = 750
)

// narrowLinkCopies is the rate of the inter-region link of the scenarios, in copies per V.
const narrowLinkCopies = 0.25

// Seed is the default seed of the scenarios.
const Seed = 1

// threeZones returns one region of VMs in three zones.
func threeZones(vms int) []Region { return []Region{{Name: "a", VMs: vms, Zones: 3}} }

// Plain is a burst without faults to one region.
func Plain(vms int) Scenario { return Scenario{Name: "plain", Seed: Seed, Regions: threeZones(vms)} }

// HalfLink is Plain with half of every link reserved for live requests.
func HalfLink(vms int) Scenario {
	return Scenario{Name: "half-link", Seed: Seed, Regions: threeZones(vms), LinkShare: 0.5}
}

// SmallModel is a burst of a small model to a few VMs in three regions with one zone each, as
// the first users run it: 48 chunks of 49,152 bytes, links of 9.4 Mbit/s, a store of 15
// Mbit/s and 27 Mbit/s between regions.
func SmallModel(vms ...int) Scenario {
	const linkMbit, storeMbit, regionMbit = 9.4, 15, 27
	s := Scenario{
		Name: "small", Seed: Seed, Chunks: 48, CopyTime: 2008 * time.Millisecond, OriginCopies: storeMbit / linkMbit,
	}
	for i, count := range vms {
		region := Region{Name: string(rune('a' + i)), VMs: count, Zones: 1}
		if i > 0 {
			region.LinkCopies = regionMbit / linkMbit
		}
		s.Regions = append(s.Regions, region)
	}
	return s
}

// TwoRegions is a burst without faults to two regions behind a narrow link.
func TwoRegions(home, other int) Scenario {
	return Scenario{Name: "two-regions", Seed: Seed, Regions: []Region{
		{Name: "a", VMs: home, Zones: 3},
		{Name: "b", VMs: other, Zones: 3, LinkCopies: narrowLinkCopies},
	}}
}

// RegionCut is TwoRegions with the regions cut off from each other for a time, in V, and
// with 5% of the VMs dying and 1% of the chunks corrupt.
func RegionCut(home, other int, from, to float64) Scenario {
	s := TwoRegions(home, other)
	s.Name = "region-cut"
	s.CorruptProbability = 0.01
	s.Faults = []Fault{
		{At: 0.2, Do: func(r *Run) {
			for _, v := range r.Pick((home + other) * 5 / 100) {
				r.Kill(v)
			}
			r.AnnounceMembers()
		}},
		{At: from, Do: func(r *Run) { r.Partition("b", 1) }},
		{At: to, Do: func(r *Run) { r.Partition("b", 0) }},
	}
	return s
}

// StaggeredStart is Plain with VMs that start within 10 s.
func StaggeredStart(vms int) Scenario {
	return Scenario{Name: "staggered-start", Seed: Seed, Regions: threeZones(vms), StartSpread: 1.0 / 6}
}

// MixedFaults is the table's row of faults: 5% of the VMs die mid-burst, 1% of the chunks
// are corrupt, and 2% of the links stall. Half of those stop sending until the end of
// the run; the other half stop in both directions for 0.2 V.
func MixedFaults(vms int) Scenario {
	const bursts = 8
	s := Scenario{Name: "mixed-faults", Seed: Seed, Regions: threeZones(vms), CorruptProbability: 0.01}
	dying := (vms*5 + 99) / 100
	for i := range bursts {
		at := 0.15 + 0.1*float64(i)
		s.Faults = append(s.Faults, Fault{At: at, Do: func(r *Run) {
			for _, v := range r.Pick(dying*(i+1)/bursts - dying*i/bursts) {
				r.Kill(v)
			}
			r.AnnounceMembers()
		}})
	}
	s.Faults = append(s.Faults, Fault{At: 0.3, Do: func(r *Run) {
		for i, v := range r.Pick(vms * 2 / 100) {
			r.SetUp(v, 0)
			if i%2 == 0 {
				continue
			}
			r.SetDown(v, 0)
			r.after(r.Scenario.CopyTime/5, func() {
				r.SetUp(v, 1)
				r.SetDown(v, 1)
			})
		}
	}})
	return s
}

// ZonePartition cuts one of three zones off and reconnects it later. Both sides can
// reach the store.
func ZonePartition(vms int, from, to float64) Scenario {
	return Scenario{Name: "zone-partition", Seed: Seed, Regions: threeZones(vms), Faults: []Fault{
		{At: from, Do: func(r *Run) { r.Partition("a-z1", 1) }},
		{At: to, Do: func(r *Run) { r.Partition("a-z1", 0) }},
	}}
}

// DishonestPeers has peers that claim every chunk: a part that holds none of them at
// first, a part that accepts requests and sends nothing, and a part that sends only
// corrupt chunks.
func DishonestPeers(vms int) Scenario {
	s := Scenario{Name: "dishonest-peers", Seed: Seed, Regions: threeZones(vms)}
	s.Faults = []Fault{{At: 0, Do: func(r *Run) {
		for i, v := range r.Pick(vms * 6 / 100) {
			switch i % 3 {
			case 0:
				v.AdvertisesAllChunks = true
			case 1:
				r.SetUp(v, 0)
			default:
				v.SendsCorruptChunks = true
			}
		}
	}}}
	return s
}

// LateJoiners adds VMs to a fleet that started earlier, in V.
func LateJoiners(first, more int, at float64) Scenario {
	s := Scenario{Name: "late-joiners", Seed: Seed, Regions: threeZones(first)}
	s.Faults = []Fault{{At: at, Do: func(r *Run) {
		for i := range more {
			member := swarm.Member{VM: "late-" + string(rune('a'+i/100)) + "-" + string(rune('0'+i/10%10)) +
				string(rune('0'+i%10)), Zone: "a-z" + string(rune('0'+i%3)), Region: "a"}
			r.AddVM(member, 0)
		}
		r.AnnounceMembers()
	}}}
	return s
}

// StoreDown refuses every request to the store for a time, in V.
func StoreDown(vms int, from, to float64) Scenario {
	return withOriginGate("store-down", vms, from, to, func(*Run) (swarm.Result, time.Duration) {
		return swarm.ResultFailed, 0
	})
}

// RateLimited lets the store answer half of the requests with 429 and Retry-After.
func RateLimited(vms int) Scenario {
	return withOriginGate("rate-limited", vms, 0, 0, func(r *Run) (swarm.Result, time.Duration) {
		if r.Rand.IntN(2) == 0 {
			return swarm.ResultRateLimited, 2 * time.Second
		}
		return swarm.ResultOK, 0
	})
}

// withOriginGate applies a decision to each request to the store, until the end of the run
// when to is 0.
func withOriginGate(name string, vms int, from, to float64, gate func(*Run) (swarm.Result, time.Duration)) Scenario {
	s := Scenario{Name: name, Seed: Seed, Regions: threeZones(vms)}
	s.Faults = append(s.Faults, Fault{At: from, Do: func(r *Run) {
		r.SetOriginGate(func() (swarm.Result, time.Duration) { return gate(r) })
	}})
	if to > 0 {
		s.Faults = append(s.Faults, Fault{At: to, Do: func(r *Run) { r.SetOriginGate(nil) }})
	}
	return s
}

// StoreUnresponsive lets the store of a scenario drop every request for a time, from a point in V.
func StoreUnresponsive(s Scenario, from float64, silence time.Duration) Scenario {
	s.Name += "-store-silent"
	to := from + silence.Seconds()/s.CopyTime.Seconds()
	s.Faults = append(slices.Clone(s.Faults),
		Fault{At: from, Do: func(r *Run) { r.SetOriginUnresponsive(true) }}, Fault{At: to, Do: func(r *Run) { r.SetOriginUnresponsive(false) }})
	return s
}

// StoreSlow gives the store's link a part of its rate for the whole run.
func StoreSlow(vms int, part float64) Scenario {
	return Scenario{Name: "store-slow", Seed: Seed, Regions: threeZones(vms), Faults: []Fault{
		{At: 0, Do: func(r *Run) { r.SetOrigin(part) }},
	}}
}

// SlowPeers gives a part of the VMs an up link of 2% of its rate, so that the last
// chunks are likely to wait for one of them.
func SlowPeers(vms int) Scenario {
	return Scenario{Name: "slow-peers", Seed: Seed, Regions: threeZones(vms), Faults: []Fault{
		{At: 0, Do: func(r *Run) {
			for _, v := range r.Pick(vms / 10) {
				r.SetUp(v, 0.02)
			}
		}},
	}}
}

// Scenarios returns all scenarios at their full size.
func Scenarios() []Scenario {
	return []Scenario{
		Plain(largeFleet),
		HalfLink(largeFleet),
		TwoRegions(largeFleet/2, largeFleet/2),
		RegionCut(largeFleet/2, largeFleet/2, 0.5, 1),
		StaggeredStart(largeFleet),
		MixedFaults(largeFleet),
		ZonePartition(largeFleet, 0.3, 0.7),
		DishonestPeers(largeFleet),
		LateJoiners(smallFleet, largeFleet-smallFleet, 0.5),
		StoreDown(largeFleet, 0.1, 0.6),
		StoreSlow(largeFleet, 0.2),
		RateLimited(largeFleet),
		SlowPeers(largeFleet),
	}
}

// Pick returns some of the live VMs at random that no earlier call has returned.
func (r *Run) Pick(count int) []*VM {
	var live []*VM
	for _, v := range r.VMs {
		if !v.Dead && !v.picked {
			live = append(live, v)
		}
	}
	r.Rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	picked := slices.Clone(live[:min(count, len(live))])
	for _, v := range picked {
		v.picked = true
	}
	return picked
}
