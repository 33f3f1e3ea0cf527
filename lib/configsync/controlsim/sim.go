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
	// Seeds is the number of its entries that all processes know from settings.
	Seeds int
}

// Options describe a simulated fleet.
type Options struct {
	Zones []Zone
	// Loss is the probability that one message in one direction is lost.
	Loss float64
	Seed uint64
	// FileCount, FileBytes, ModelCount and ChunkCount size the configuration bundle.
	FileCount  int
	FileBytes  int
	ModelCount int
	ChunkCount int
	// NoConfig leaves configuration propagation out.
	NoConfig bool
	// NoTraffic leaves the sizes of messages out, which makes long runs faster.
	NoTraffic bool
}

// Fleet returns the zones of a fleet of 7 zones in 2 regions.
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
	// OnMembershipEvent is called for each event of an entry when it is set.
	OnMembershipEvent func(at *Node, event membership.Event)
	// OnActivate is called when a process starts to act on a generation.
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
	node := &Node{sim: s, Self: self, Entry: entry, index: uint64(len(s.Nodes)), kinds: make(map[string]int64)}
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

// At runs a function at a virtual time.
func (s *Sim) At(t time.Duration, run func()) { s.at(t, run) }

// StartAll starts all processes that are down, within 100 ms.
func (s *Sim) StartAll() {
	for _, node := range s.Nodes {
		s.at(s.now+time.Duration(s.Rng.Int64N(int64(100*time.Millisecond))), node.Start)
	}
}

// Cut cuts or heals the link between two zones, or between a zone and PlatformZone.
func (s *Sim) Cut(a, b string, cut bool) {
	s.cuts[[2]string{min(a, b), max(a, b)}] = cut
	if cut {
		s.Platform.dropWatches()
	}
}

// HealAll heals all links.
func (s *Sim) HealAll() { clear(s.cuts) }

// Reachable reports whether messages pass between two zones.
func (s *Sim) Reachable(a, b string) bool {
	return !s.cuts[[2]string{min(a, b), max(a, b)}]
}

// Node returns a node by VM.
func (s *Sim) Node(vm string) *Node { return s.byVM[vm] }
