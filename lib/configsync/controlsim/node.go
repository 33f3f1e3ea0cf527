package controlsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/configsync"
	"laburnumgw/lib/membership"
)

// refreshInterval separates the updates of an endpoint process's load and entry list.
const refreshInterval = time.Second

// Kinds of Report calls in the traffic figures.
const (
	kindReport = "report"
	kindProbe  = "probe"
)

// Node is one simulated process.
type Node struct {
	Self   membership.Self
	Entry  bool
	Up     bool
	Paused bool
	// Member is the membership state machine of an entry, Endpoint that of an endpoint
	// process. The other one is nil.
	Member   *membership.Entry
	Endpoint *membership.Endpoint
	Sync     *configsync.Node
	// Alarms counts the alarms of the current incarnation.
	Alarms map[configsync.AlarmKind]int
	// SentBytes and ReceivedBytes count the traffic since the last ResetTraffic.
	SentBytes, ReceivedBytes int64
	// PeakBytes is the largest sum of both within one second.
	PeakBytes int64
	// DownSince is the time at which the process was last killed.
	DownSince time.Duration

	// bytesByKind counts the sent and received bytes by kind of call.
	bytesByKind map[string]int64
	sim         *Sim
	index       uint64
	// incarnation changes with each start and kill.
	incarnation int
	// clockOffset is the difference between the process's clock and the virtual time.
	clockOffset time.Duration
	wakeAt      time.Duration
	refreshAt   time.Duration
	// deferred holds what arrived during a pause.
	deferred []func()
	// currentSecond is the virtual second in which secondBytes were counted.
	currentSecond int64
	secondBytes   int64
	// watchID is the latest watch, or 0 after a watch was dropped.
	watchID int
}

// Start starts the process if it is down. It keeps no state of earlier incarnations, and its
// clock starts at a random value.
func (n *Node) Start() {
	if n.Up {
		return
	}
	n.incarnation++
	n.Up = true
	n.Paused = false
	n.deferred = nil
	rng := rand.New(rand.NewPCG(n.sim.Options.Seed, n.index<<20+uint64(n.incarnation)))
	n.clockOffset = time.Duration(rng.Int64N(int64(time.Hour)))
	n.Alarms = make(map[configsync.AlarmKind]int)
	role := configsync.RoleEndpoint
	if n.Entry {
		role = configsync.RoleEntry
		n.Member = membership.NewEntry(n.Self, n.sim.seeds, n.clock(), rng)
	} else {
		n.Endpoint = membership.NewEndpoint(n.Self, n.sim.seeds, n.clock(), rng)
	}
	if !n.sim.Options.NoConfig {
		n.Sync = configsync.NewNode(n.Self, role, n.sim.seeds, n.clock(), rng)
	}
	n.refreshAt = 0
	n.wakeAt = -1
	n.step()
}

// Kill ends the process without notice.
func (n *Node) Kill() {
	n.Up = false
	n.incarnation++
	n.DownSince = n.sim.now
	n.sim.Platform.dropWatch(n)
}

// Pause stops the process until Resume. Messages that arrive meanwhile are deferred.
func (n *Node) Pause() { n.Paused = true }

// Resume continues a paused process. Deferred messages are handled before its timers run.
func (n *Node) Resume() {
	if !n.Paused {
		return
	}
	n.Paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, run := range deferred {
		run()
	}
	n.step()
}

// whenRunning calls run now or, when the process is paused, on Resume. It calls down when
// the process is down. It calls neither when a paused process ends before Resume.
func (n *Node) whenRunning(run, down func()) {
	if !n.Up {
		down()
		return
	}
	if !n.Paused {
		run()
		return
	}
	incarnation := n.incarnation
	n.deferred = append(n.deferred, func() {
		if n.incarnation == incarnation {
			run()
		}
	})
}

// clock returns the time on the process's own clock.
func (n *Node) clock() time.Duration { return n.sim.now + n.clockOffset }

func (n *Node) sent(bytes int) {
	n.SentBytes += int64(bytes)
	n.count(bytes)
}

func (n *Node) received(bytes int) {
	n.ReceivedBytes += int64(bytes)
	n.count(bytes)
}

// count adds bytes to the traffic of the current second.
func (n *Node) count(bytes int) {
	if second := int64(n.sim.now / time.Second); second != n.currentSecond {
		n.currentSecond = second
		n.secondBytes = 0
	}
	n.secondBytes += int64(bytes)
	n.PeakBytes = max(n.PeakBytes, n.secondBytes)
}

// ResetTraffic sets the traffic counters to 0.
func (n *Node) ResetTraffic() {
	n.SentBytes, n.ReceivedBytes, n.PeakBytes, n.secondBytes = 0, 0, 0, 0
	n.bytesByKind = make(map[string]int64)
}

// step runs the state machines and schedules the next run.
func (n *Node) step() {
	if !n.Up || n.Paused {
		return
	}
	now := n.clock()
	var next time.Duration
	if n.Entry {
		n.stepEntry(now)
		next = n.Member.Next()
	} else {
		n.stepEndpoint(now)
		next = min(n.Endpoint.Next(), n.refreshAt)
	}
	if n.Sync != nil {
		n.stepSync(now)
		next = min(next, n.Sync.Next())
	}
	n.schedule(next - n.clockOffset)
}

// schedule schedules the next step, at the earliest after 1 ms, unless one is due sooner.
func (n *Node) schedule(at time.Duration) {
	at = max(at, n.sim.now+time.Millisecond)
	if n.wakeAt > n.sim.now && n.wakeAt <= at {
		return
	}
	n.wakeAt = at
	incarnation := n.incarnation
	n.sim.at(at, func() {
		if n.incarnation == incarnation && n.wakeAt == at {
			n.wakeAt = -1
			n.step()
		}
	})
}

func (n *Node) stepEntry(now time.Duration) {
	if n.Sync != nil {
		n.Member.SetConfigGeneration(n.Sync.Generation())
	}
	joined := n.Member.Joined()
	out := n.Member.Tick(now)
	membersChanged := joined != n.Member.Joined()
	for _, e := range out.Events {
		membersChanged = membersChanged || e.Kind >= membership.EntryAlive
		if n.sim.OnMembershipEvent != nil {
			n.sim.OnMembershipEvent(n, e)
		}
	}
	if membersChanged && n.Sync != nil {
		n.Sync.SetMembers(now, n.Member.Joined(), liveEntries(n.Member))
	}
	for _, send := range out.Gossip {
		n.gossip(send)
	}
	for _, send := range out.Probes {
		n.report(kindProbe, send, func(response *pb.ReportResponse) { n.Member.ProbeResult(n.clock(), send.To.VM, response) })
	}
}

func liveEntries(e *membership.Entry) []membership.Peer {
	var live []membership.Peer
	for view := range e.Entries {
		if (view.State == membership.Alive || view.State == membership.Suspect) && !view.Leaving {
			live = append(live, view.Peer)
		}
	}
	return live
}

func (n *Node) stepEndpoint(now time.Duration) {
	if now >= n.refreshAt {
		n.refreshAt = now + refreshInterval
		n.Endpoint.SetLoad(n.load())
		if n.Sync != nil {
			n.Sync.SetMembers(now, n.Endpoint.Joined(), n.Endpoint.Entries())
		}
	}
	if n.Sync != nil {
		n.Endpoint.SetConfigGeneration(n.Sync.Generation())
	}
	for _, send := range n.Endpoint.Tick(now) {
		n.report(kindReport, send, func(response *pb.ReportResponse) {
			n.Endpoint.ReportResult(n.clock(), send, response)
			n.observeGeneration(send.To, response.GetConfigGeneration())
			if n.Endpoint.Next() < n.clock()+time.Millisecond || n.wakeAt < n.sim.now {
				n.step()
			}
		})
	}
}

// load returns the random load of an endpoint process that serves two models.
func (n *Node) load() membership.Load {
	digest := fmt.Sprintf("%064x", 7)
	return membership.Load{
		Load: &pb.Load{InFlight: int32(n.sim.Rng.IntN(200)), Queued: int32(n.sim.Rng.IntN(100)), Limit: 256,
			ServiceTimeUs: 900_000, ModelVersions: []string{digest, digest}},
		Serving:  map[string]string{"model-large": digest, "model-small": digest},
		Services: []string{"bookings"},
	}
}

// report makes a Node.Report call and passes the response, or nil when the call failed, to
// done.
func (n *Node) report(kind string, send membership.ReportSend, done func(*pb.ReportResponse)) {
	to := n.sim.byVM[send.To.VM]
	timeout := membership.ReportTimeout
	if kind == kindProbe {
		timeout = membership.CallTimeout
	}
	var response *pb.ReportResponse
	n.sim.send(&call{kind: kind, from: n, to: to, size: n.sim.size(send.Request), timeout: timeout,
		handle: func() int {
			response = to.handleReport(n, send.Request)
			return n.sim.size(response)
		},
		done: func(ok bool) {
			if !ok {
				response = nil
			}
			done(response)
		}})
}

func (n *Node) handleReport(from *Node, request *pb.ReportRequest) *pb.ReportResponse {
	if !n.Entry {
		n.observeGeneration(membership.Peer(from.Self), request.GetConfigGeneration())
		return n.Endpoint.Probe(request)
	}
	response := n.Member.Report(n.clock(), request)
	n.observeGeneration(membership.Peer(from.Self), request.GetConfigGeneration())
	return response
}

func (n *Node) gossip(send membership.GossipSend) {
	to := n.sim.byVM[send.To.VM]
	var response *pb.GossipResponse
	n.sim.send(&call{kind: "gossip", from: n, to: to, size: n.sim.size(send.Request), timeout: membership.CallTimeout,
		handle: func() int {
			response = to.Member.Gossip(to.clock(), send.Request)
			to.observeGeneration(membership.Peer(n.Self), send.Request.GetConfigGeneration())
			return n.sim.size(response)
		},
		done: func(ok bool) {
			if !ok {
				response = nil
			}
			n.Member.GossipResult(n.clock(), send.To.VM, response)
			n.observeGeneration(send.To, response.GetConfigGeneration())
		}})
}

// size returns the encoded size of a message in bytes, or 0 when traffic is not measured.
func (s *Sim) size(message proto.Message) int {
	if s.Options.NoTraffic {
		return 0
	}
	return proto.Size(message)
}

// observeGeneration passes a generation that a peer announced to the propagation, and runs
// the state machines when it is higher than the active one.
func (n *Node) observeGeneration(from membership.Peer, generation uint64) {
	if n.Sync == nil || generation == 0 {
		return
	}
	n.Sync.ObserveGeneration(n.clock(), from, generation)
	if generation > n.Sync.Generation() {
		n.step()
	}
}
