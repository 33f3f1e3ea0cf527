package configsync

import (
	"math"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
)

const (
	// joinTries is the number of failed queries after which a process is unreachable.
	// With 5% loss in each direction, a reachable one fails eight times in 10^8 joins.
	joinTries = 8
	// joinRetry separates queries to one process that did not answer.
	joinRetry = 50 * time.Millisecond
	// joinNeighbours bounds the entries of the zone that a joining process asks.
	joinNeighbours = 16
	// joinAgain separates the rounds of queries while no process has a configuration.
	joinAgain = 2 * time.Second
	// joinAgainPeers bounds the queries of such a round.
	joinAgainPeers = 4
	// neighbourWait is how long a process that takes part in membership waits for news of
	// neighbours: one exchange with an entry of the zone and its repetition. It is long when no entry of the zone has a configuration, because those
	// that were asked may be restarting while others, not known yet, are not.
	neighbourWait     = 1500 * time.Millisecond
	neighbourWaitLong = 3 * time.Second
	never             = time.Duration(math.MaxInt64)
)

// joinState is the progress of a process that does not serve yet.
type joinState struct {
	done bool
	// best is the newest bundle found so far.
	best *pb.ConfigBundle
	// sourced is set when a neighbour or the platform has a configuration.
	sourced bool
	asks    []*ask
	byVM    map[string]*ask
	againAt time.Duration
	// local is set when an entry of the own zone has a configuration.
	local bool
	// memberAt is when the process was first seen to take part in membership.
	memberAt time.Duration
	// waited is set when the wait for news of neighbours is over.
	waited bool
}

// ask is the query to one process.
type ask struct {
	peer     Peer
	answered bool
	failures int
	waiting  bool
	at       time.Duration
}

func (a *ask) settled() bool { return a.answered || a.failures >= joinTries }

func (j *joinState) nextAt() time.Duration {
	if j.done {
		return never
	}
	next := never
	if !j.sourced {
		next = j.againAt
	}
	if j.memberAt != never && !j.waited {
		next = min(next, j.memberAt+j.wait())
	}
	for _, a := range j.asks {
		if !a.settled() && !a.waiting {
			next = min(next, a.at)
		}
	}
	return next
}

// wait returns how long to wait for news of neighbours.
func (j *joinState) wait() time.Duration {
	if j.local {
		return neighbourWait
	}
	return neighbourWaitLong
}

// startJoin starts to ask all seeds and neighbours.
func (n *Node) startJoin(now time.Duration, best *pb.ConfigBundle) {
	n.join = joinState{best: best, byVM: make(map[string]*ask), memberAt: never, againAt: now + jittered(n.rng, joinAgain)}
	for _, seed := range n.seeds {
		n.addAsk(now, seed)
	}
}

func (n *Node) addAsk(now time.Duration, peer Peer) {
	if n.join.byVM[peer.VM] != nil {
		return
	}
	a := &ask{peer: peer, at: now}
	n.join.byVM[peer.VM] = a
	n.join.asks = append(n.join.asks, a)
}

func (n *Node) tickJoin(now time.Duration) {
	if n.join.done {
		return
	}
	for _, peer := range n.sampleZone(joinNeighbours) {
		if len(n.join.asks) < len(n.seeds)+joinNeighbours {
			n.addAsk(now, peer)
		}
	}
	for _, a := range n.join.asks {
		if !a.settled() && !a.waiting && now >= a.at {
			a.waiting = true
			n.out.Pulls = append(n.out.Pulls, query(a.peer))
		}
	}
	if n.joined && n.join.memberAt == never {
		n.join.memberAt = now
	}
	if now >= n.join.againAt && !n.join.sourced {
		n.askAgain(now)
	}
	n.finishJoin(now)
}

// askAgain repeats some queries while no process that answered has a configuration.
func (n *Node) askAgain(now time.Duration) {
	n.join.againAt = now + jittered(n.rng, joinAgain)
	for range min(joinAgainPeers, len(n.join.asks)) {
		a := n.join.asks[n.rng.IntN(len(n.join.asks))]
		if a.settled() {
			a.answered = false
			a.failures = joinTries - 1
			a.at = now
		}
	}
}

// finishJoin ends the phase when neighbours had time to become known, all asked
// processes have answered or are unreachable, and the highest generation heard of is at hand. A process that returns from a pause
// and reaches no one continues with what it has.
func (n *Node) finishJoin(now time.Duration) {
	n.join.waited = n.join.memberAt != never && now >= n.join.memberAt+n.join.wait()
	if !n.join.waited {
		return
	}
	for _, a := range n.join.asks {
		if !a.settled() {
			return
		}
	}
	best := n.newest()
	if best == nil || (!n.join.sourced && n.current == nil) {
		return
	}
	if n.highestHeard() > best.GetGeneration() {
		return
	}
	n.join.done = true
	if best.GetGeneration() > n.current.GetGeneration() {
		n.act(now, best)
	}
}

// joinAnswer handles the answer to a query of the joining phase.
func (n *Node) joinAnswer(now time.Duration, vm string, answer *pb.ConfigBundle) {
	a := n.join.byVM[vm]
	if a == nil || n.join.done {
		return
	}
	a.waiting = false
	if answer == nil {
		a.failures++
		a.at = now + jittered(n.rng, joinRetry)
		return
	}
	a.answered = true
	a.failures = 0
	if answer.GetGeneration() > 0 {
		n.join.sourced = true
		n.join.local = n.join.local || a.peer.Zone == n.self.Zone
	}
}
