package controlsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumgw/lib/membership"
)

// Zone is one availability zone of a simulated fleet.
type Zone struct {
	Name      string
	Region    string
	Entries   int
	Endpoints int
	// Seeds is the number of the zone's entries that all processes know from settings.
	Seeds int
}

// Options describes a simulated fleet.
type Options struct {
	Zones []Zone
	// Loss is the probability, from 0 to 1, that one message in one direction is lost.
	Loss float64
	Seed uint64
	// FileCount, FileBytes (per file), ModelCount and ChunkCount (per model) set the size of
	// the configuration bundle.
	FileCount  int
	FileBytes  int
	ModelCount int
	ChunkCount int
	// NoConfig disables configuration propagation.
	NoConfig bool
	// NoTraffic counts membership messages with size 0, which makes long runs faster.
	NoTraffic bool
}

// Fleet returns 7 zones in 2 regions over which the entries and endpoint processes are
// spread evenly.
func Fleet(entries, endpoints int) []Zone {
	var zones []Zone
	for i := range 7 {
		region := "north"
		if i >= 4 {
			region = "south"
		}
		zone := Zone{Name: fmt.Sprintf("zone-%d", i), Region: region, Entries: entries / 7, Endpoints: endpoints / 7, Seeds: 2}
		if i < entries%7 {
			zone.Entries++
		}
		if i < endpoints%7 {
			zone.Endpoints++
		}
		zones = append(zones, zone)
	}
	return zones
}

// Sim is a simulated fleet.
type Sim struct {
	queue
	Options  Options
	Nodes    []*Node
	Platform *Platform
	Rng      *rand.Rand
	// OnMembershipEvent, if set, is called for each membership event of an entry.
	OnMembershipEvent func(at *Node, event membership.Event)
	// OnActivate, if set, is called when a process activates a bundle.
	OnActivate func(at *Node, generation uint64)

	byVM  map[string]*Node
	seeds []membership.Peer
	cuts  map[[2]string]bool
}

// New returns a fleet whose processes are all down.
func New(options Options) *Sim {
	s := &Sim{
		Options: options,
		Rng:     rand.New(rand.NewPCG(options.Seed, 1)),
		byVM:    make(map[string]*Node),
		cuts:    make(map[[2]string]bool),
	}
	s.Platform = newPlatform(s)
	for i, zone := range options.Zones {
		for j := range zone.Entries {
			s.addNode(zone, true, fmt.Sprintf("10.%d.0.%d", i, j), j < zone.Seeds)
		}
		for j := range zone.Endpoints {
			s.addNode(zone, false, fmt.Sprintf("10.%d.1.%d", i, j), false)
		}
	}
	return s
}

func (s *Sim) addNode(zone Zone, entry bool, vm string, seed bool) {
	self := membership.Self{VM: vm, Zone: zone.Name, Region: zone.Region, Address: vm + ":7443"}
	node := &Node{sim: s, Self: self, Entry: entry, index: uint64(len(s.Nodes)), bytesByKind: make(map[string]int64)}
	s.Nodes = append(s.Nodes, node)
	s.byVM[vm] = node
	if seed {
		s.seeds = append(s.seeds, membership.Peer(self))
	}
}

// Now returns the virtual time.
func (s *Sim) Now() time.Duration { return s.now }

// Run advances the virtual time.
func (s *Sim) Run(d time.Duration) { s.runUntil(s.now + d) }

// At schedules a function for a virtual time.
func (s *Sim) At(t time.Duration, run func()) { s.at(t, run) }

// StartAll starts all processes that are down, at random times within 100 ms.
func (s *Sim) StartAll() {
	for _, node := range s.Nodes {
		s.at(s.now+time.Duration(s.Rng.Int64N(int64(100*time.Millisecond))), node.Start)
	}
}

// Cut cuts or heals the link between two zones, or between a zone and PlatformZone. Any cut
// also ends all waiting watches with an error.
func (s *Sim) Cut(a, b string, cut bool) {
	s.cuts[[2]string{min(a, b), max(a, b)}] = cut
	if cut {
		s.Platform.dropWatches()
	}
}

// HealAll heals all links.
func (s *Sim) HealAll() { clear(s.cuts) }

// Reachable reports whether the link between two zones is intact.
func (s *Sim) Reachable(a, b string) bool {
	return !s.cuts[[2]string{min(a, b), max(a, b)}]
}

// Node returns the node of a VM, or nil.
func (s *Sim) Node(vm string) *Node { return s.byVM[vm] }
