package membership

import (
	"math/rand/v2"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
)

const (
	// gossipInterval is the interval between the gossip rounds of an entry.
	gossipInterval = time.Second
	// joinQueryInterval is the interval between the query rounds of a joining entry.
	joinQueryInterval = 500 * time.Millisecond
	// joinQueries is the number of entries that a joining entry queries per round.
	joinQueries = 2
	// joinJitter is the time over which processes that join a running system spread their
	// joins.
	joinJitter = 500 * time.Millisecond
	// intervalJitter is the largest relative deviation of an interval.
	intervalJitter = 0.1
	// checkInterval is the longest time between two ticks, each of which checks for
	// unresponsive endpoints.
	checkInterval = 100 * time.Millisecond
	// entryCheckInterval is the interval between checks for unresponsive entries, whose time
	// limits are longer.
	entryCheckInterval = 500 * time.Millisecond
	// chunkPeersEvery is the number of reports of which one is answered with chunk peers.
	chunkPeersEvery = 64
	// maxChunkPeers is the largest number of chunk peers in one response.
	maxChunkPeers = 4
)

// Entry is the membership state machine of an entry process.
type Entry struct {
	self        Self
	incarnation Incarnation
	heartbeat   uint64
	leaving     bool
	joined      bool
	started     time.Duration
	joinAt      time.Duration
	// systemRunning is set when a response has shown that the system is running, so that the
	// join need not be spread over JoinSpread.
	systemRunning   bool
	nextGossip      time.Duration
	nextSampleProbe time.Duration
	// nextEntryCheck is the time of the next check for unresponsive entries.
	nextEntryCheck time.Duration
	lastTick       time.Duration
	ticked         bool
	generation     uint64
	rng            *rand.Rand
	events         []Event

	endpoints        map[string]*endpointRecord
	endpointOrder    []*endpointRecord
	reporters        int
	sample           map[string]*endpointRecord
	sampleOrder      []string
	nextRelay        int
	chunkPeerReports int

	entries       map[string]*entryRecord
	entryOrder    []*entryRecord
	nextItem      int
	nextRemote    int
	listedReports int
	nextFull      int
	// changes lists the VMs of the entries of this zone that changed, in the order of
	// their last changes; entryListVersion is the number of changes so far.
	changes          []string
	entryListVersion uint64
}

// NewEntry returns the state machine of an entry process that starts at now. Seeds are
// entries known from settings.
func NewEntry(self Self, seeds []Peer, now time.Duration, rng *rand.Rand) *Entry {
	e := &Entry{
		self:        self,
		incarnation: Incarnation{Counter: 1, ID: rng.Uint64()},
		started:     now,
		joinAt:      now + spread(rng, JoinSpread),
		nextGossip:  now + spread(rng, joinQueryInterval),
		rng:         rng,
		endpoints:   make(map[string]*endpointRecord),
		sample:      make(map[string]*endpointRecord),
		entries:     make(map[string]*entryRecord),
	}
	for _, seed := range seeds {
		if record := e.addEntry(now, seed); record != nil {
			record.seed = true
		}
	}
	return e
}

// spread returns a random duration in [0, width).
func spread(rng *rand.Rand, width time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(width)))
}

// jittered returns the interval changed by a random relative deviation of at most
// intervalJitter.
func jittered(rng *rand.Rand, interval time.Duration) time.Duration {
	return jitteredBy(rng, interval, intervalJitter)
}

// jitteredBy returns the interval changed by a random relative deviation of at most
// deviation.
func jitteredBy(rng *rand.Rand, interval time.Duration, deviation float64) time.Duration {
	return time.Duration(float64(interval) * (1 + deviation*(2*rng.Float64()-1)))
}

func (e *Entry) emit(kind EventKind, vm string, sinceLastSeen time.Duration) {
	e.events = append(e.events, Event{Kind: kind, VM: vm, SinceLastSeen: sinceLastSeen})
}

// SetConfigGeneration sets the configuration generation that the process uses; all
// messages carry it.
func (e *Entry) SetConfigGeneration(generation uint64) { e.generation = generation }

// Incarnation returns the incarnation of this process.
func (e *Entry) Incarnation() Incarnation { return e.incarnation }

// Joined reports whether the entry has joined and takes part in gossip under its own
// incarnation.
func (e *Entry) Joined() bool { return e.joined }

// settled reports whether joining processes may join at once: this entry has joined, and
// either joined a running system or started at least JoinSpread ago.
func (e *Entry) settled(now time.Duration) bool {
	return e.joined && (e.systemRunning || now-e.started >= JoinSpread)
}

// Leave marks the entry as leaving in all its messages and schedules a gossip round at
// once.
func (e *Entry) Leave(now time.Duration) {
	e.leaving = true
	e.nextGossip = now
}

// Next returns the time at which Tick is due.
func (e *Entry) Next() time.Duration {
	next := e.lastTick + checkInterval
	return min(next, e.nextGossip)
}

// Tick advances the clock and returns the messages that are due and the events since the
// last tick.
func (e *Entry) Tick(now time.Duration) Output {
	var out Output
	e.checkEndpoints(now, &out)
	e.probeSample(now, &out)
	if now >= e.nextEntryCheck {
		e.nextEntryCheck = now + entryCheckInterval
		e.checkEntries(now)
	}
	if !e.joined && now >= e.joinAt {
		e.joined = true
		e.nextGossip = now
	}
	if now >= e.nextGossip {
		e.gossip(now, &out)
	}
	e.lastTick = now
	e.ticked = true
	out.Events = e.events
	e.events = nil
	return out
}

// ApplyPlatformList handles the platform's list of VMs, which lags behind the real
// state. It adds unknown entries. It marks endpoints that are not alive as leaving until
// their next report, which is newer than the list.
func (e *Entry) ApplyPlatformList(now time.Duration, list []VM) {
	for _, vm := range list {
		if vm.Entry && vm.VM != e.self.VM && e.entries[vm.VM] == nil {
			e.addEntry(now, vm.Peer)
		}
		record := e.endpoints[vm.VM]
		if vm.Entry || record == nil || !vm.Leaving || record.view.Leaving {
			continue
		}
		if record.view.State != Alive {
			record.view.Leaving = true
			e.emit(EndpointLeaving, vm.VM, now-record.view.LastSeen)
		}
	}
}

func (e *Entry) selfInfo() *pb.EntryInfo {
	return &pb.EntryInfo{Vm: e.self.VM, Zone: e.self.Zone, Region: e.self.Region, Address: e.self.Address,
		Incarnation: e.incarnation.Proto(), Leaving: e.leaving, Heartbeat: e.heartbeat}
}

// chunkPeers returns a few live endpoints of the zone, other than vm, that may hold chunks.
// It does so for one in chunkPeersEvery reports only, so that the responses stay within
// the traffic bound.
func (e *Entry) chunkPeers(zone, vm string) []*pb.PeerInfo {
	if e.chunkPeerReports++; e.chunkPeerReports%chunkPeersEvery != 0 || len(e.endpointOrder) == 0 {
		return nil
	}
	start := e.rng.IntN(len(e.endpointOrder))
	var peers []*pb.PeerInfo
	for i := range e.endpointOrder {
		view := &e.endpointOrder[(start+i)%len(e.endpointOrder)].view
		if view.State == Alive && view.Zone == zone && view.VM != vm {
			peers = append(peers, &pb.PeerInfo{Vm: view.VM, Zone: view.Zone, Region: view.Region, Address: view.Address})
		}
		if len(peers) == maxChunkPeers {
			break
		}
	}
	return peers
}
