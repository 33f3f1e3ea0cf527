package linkfake

import (
	"slices"
	"time"

	"laburnumgw/lib/swarm"
)

// Fleet sizes of the distribution table in the design.
const (
	smallFleet = 100
	largeFleet = 750
)

// narrowLinkCopies is the rate of the inter-region link of the scenarios, in copies per V.
const narrowLinkCopies = 0.25

// Seed is the default seed of the scenarios.
const Seed = 1

// threeZones returns one region with VMs in three zones.
func threeZones(vms int) []Region { return []Region{{Name: "a", VMs: vms, Zones: 3}} }

// Plain distributes a version to one region without faults.
func Plain(vms int) Scenario { return Scenario{Name: "plain", Seed: Seed, Regions: threeZones(vms)} }

// HalfLink is Plain with half of every link reserved for live requests.
func HalfLink(vms int) Scenario {
	return Scenario{Name: "half-link", Seed: Seed, Regions: threeZones(vms), LinkShare: 0.5}
}

// SmallModel distributes a small model to the given number of VMs per region, with one zone
// in each, as the first users run it: 48 chunks of 49,152 bytes, VM links of 9.4 Mbit/s,
// 15 Mbit/s from the store and 27 Mbit/s between regions.
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

// TwoRegions distributes a version without faults to two regions joined by a narrow link.
func TwoRegions(home, other int) Scenario {
	return Scenario{Name: "two-regions", Seed: Seed, Regions: []Region{
		{Name: "a", VMs: home, Zones: 3},
		{Name: "b", VMs: other, Zones: 3, LinkCopies: narrowLinkCopies},
	}}
}

// RegionCut is TwoRegions with the regions partitioned from each other between two points in
// time, in V, with 5% of the VMs killed at 0.2 V, and with 1% of the chunks corrupt.
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

// StaggeredStart is Plain with VMs that start at random within 10 s.
func StaggeredStart(vms int) Scenario {
	return Scenario{Name: "staggered-start", Seed: Seed, Regions: threeZones(vms), StartSpread: 1.0 / 6}
}

// MixedFaults is the row of faults in the design's table: 5% of the VMs are killed during the
// distribution, 1% of the chunks are corrupt, and the links of 2% of the VMs stall. Half of
// those VMs stop sending until the end of the run; the others stop in both directions for
// 0.2 V.
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

// ZonePartition partitions one of three zones off and reconnects it later, at points in
// time in V. Both sides can reach the store.
func ZonePartition(vms int, from, to float64) Scenario {
	return Scenario{Name: "zone-partition", Seed: Seed, Regions: threeZones(vms), Faults: []Fault{
		{At: from, Do: func(r *Run) { r.Partition("a-z1", 1) }},
		{At: to, Do: func(r *Run) { r.Partition("a-z1", 0) }},
	}}
}

// DishonestPeers has 6% misbehaving VMs in three equal groups: VMs that advertise every
// chunk although they hold none at first, VMs that accept requests and send nothing, and
// VMs that send only corrupt chunks.
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

// LateJoiners adds VMs to a fleet that started earlier, at a point in time in V.
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

// StoreDown fails every request to the store between two points in time, in V.
func StoreDown(vms int, from, to float64) Scenario {
	return withOriginGate("store-down", vms, from, to, func(*Run) (swarm.Result, time.Duration) {
		return swarm.ResultFailed, 0
	})
}

// RateLimited makes the store respond to half of the requests with 429 and Retry-After.
func RateLimited(vms int) Scenario {
	return withOriginGate("rate-limited", vms, 0, 0, func(r *Run) (swarm.Result, time.Duration) {
		if r.Rand.IntN(2) == 0 {
			return swarm.ResultRateLimited, 2 * time.Second
		}
		return swarm.ResultOK, 0
	})
}

// withOriginGate returns a scenario in which gate decides on each request to the store
// between two points in time, in V, or until the end of the run when to is 0.
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

// StoreUnresponsive adds to a scenario a store that responds to no request for a duration,
// from a point in time in V.
func StoreUnresponsive(s Scenario, from float64, outage time.Duration) Scenario {
	s.Name += "-store-silent"
	to := from + outage.Seconds()/s.CopyTime.Seconds()
	s.Faults = append(slices.Clone(s.Faults),
		Fault{At: from, Do: func(r *Run) { r.SetOriginUnresponsive(true) }}, Fault{At: to, Do: func(r *Run) { r.SetOriginUnresponsive(false) }})
	return s
}

// StoreSlow reduces the store's link to a fraction of its rate for the entire run.
func StoreSlow(vms int, fraction float64) Scenario {
	return Scenario{Name: "store-slow", Seed: Seed, Regions: threeZones(vms), Faults: []Fault{
		{At: 0, Do: func(r *Run) { r.SetOrigin(fraction) }},
	}}
}

// SlowPeers reduces the up link of a tenth of the VMs to 2% of its rate, so that the last
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

// NarrowLinks is SmallModel with the links of some VMs of the home region narrowed to a fraction in both directions
// at a time in V, to its end. They do not count in the result.
func NarrowLinks(count int, fraction, at float64, vms ...int) Scenario {
	s := SmallModel(vms...)
	s.Name = "narrow-links"
	s.Faults = []Fault{{At: at, Do: func(r *Run) {
		for _, v := range r.Pick(vms[0])[:count] {
			v.Excluded = true
			r.setRate(v.up, fraction*v.up.rate)
			r.setRate(v.down, fraction*v.down.rate)
		}
	}}}
	return s
}

// Scenarios returns the scenarios that swarmbench runs, at full size. SmallModel and
// StoreUnresponsive are not among them.
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

// Pick returns up to count random live VMs that no earlier call has returned.
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
