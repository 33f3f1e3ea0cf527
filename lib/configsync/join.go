package configsync

import (
	"math"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
)

const (
	// maxJoinFailures is the number of consecutive failed queries after which a process
	// counts as unreachable. With 5% loss in each direction, all eight queries to a reachable
	// process fail in about one of 10^8 joins.
	maxJoinFailures = 8
	// joinRetryDelay separates repeated queries to a process that did not respond. It is
	// jittered.
	joinRetryDelay = 50 * time.Millisecond
	// maxJoinNeighbours bounds the entries of the zone that a joining process queries in
	// addition to the seeds.
	maxJoinNeighbours = 16
	// joinRoundInterval separates the query rounds while no process has a configuration.
	joinRoundInterval = 2 * time.Second
	// maxJoinRoundQueries bounds the queries of such a round.
	maxJoinRoundQueries = 4
	// neighbourWait is how long a process that takes part in membership waits to learn of
	// its neighbours: one exchange with an entry of the zone and one repetition.
	neighbourWait = 1500 * time.Millisecond
	// neighbourWaitLong replaces neighbourWait while no entry of the zone has reported a
	// configuration: the entries queried so far may be restarting, while others that are not
	// known yet are not.
	neighbourWaitLong = 3 * time.Second
	// never is a time that is not reached.
	never = time.Duration(math.MaxInt64)
)

// joinState is the progress of a process that does not serve yet, after its start or a
// suspension of its machine.
type joinState struct {
	done bool
	// best is the newest bundle found so far.
	best *pb.ConfigBundle
	// configFound is set when another process, the platform or an operator has supplied or
	// reported a configuration.
	configFound bool
	queries     []*peerQuery
	byVM        map[string]*peerQuery
	// nextRoundAt is when queries are repeated if no configuration has been found.
	nextRoundAt time.Duration
	// foundInZone is set when a process of the own zone has reported a configuration.
	foundInZone bool
	// memberSince is when the process was first seen to take part in membership, or never.
	memberSince time.Duration
	// waitExpired is set when the wait for neighbours to become known has ended.
	waitExpired bool
}

// peerQuery is the query to one process.
type peerQuery struct {
	peer      Peer
	responded bool
	failures  int
	inFlight  bool
	// dueAt is when the query may be sent.
	dueAt time.Duration
}

// settled reports whether the process has responded or counts as unreachable.
func (q *peerQuery) settled() bool { return q.responded || q.failures >= maxJoinFailures }

func (j *joinState) nextAt() time.Duration {
	if j.done {
		return never
	}
	next := never
	if !j.configFound {
		next = j.nextRoundAt
	}
	if j.memberSince != never && !j.waitExpired {
		next = min(next, j.memberSince+j.wait())
	}
	for _, q := range j.queries {
		if !q.settled() && !q.inFlight {
			next = min(next, q.dueAt)
		}
	}
	return next
}

// wait returns how long to wait for neighbours to become known.
func (j *joinState) wait() time.Duration {
	if j.foundInZone {
		return neighbourWait
	}
	return neighbourWaitLong
}

// startJoin starts a joining phase with queries to all seeds. Queries to neighbours follow
// as they become known. Best is the newest bundle held, or nil.
func (n *Node) startJoin(now time.Duration, best *pb.ConfigBundle) {
	n.join = joinState{best: best, byVM: make(map[string]*peerQuery), memberSince: never, nextRoundAt: now + jittered(n.rng, joinRoundInterval)}
	for _, seed := range n.seeds {
		n.addQuery(now, seed)
	}
}

func (n *Node) addQuery(now time.Duration, peer Peer) {
	if n.join.byVM[peer.VM] != nil {
		return
	}
	q := &peerQuery{peer: peer, dueAt: now}
	n.join.byVM[peer.VM] = q
	n.join.queries = append(n.join.queries, q)
}

func (n *Node) tickJoin(now time.Duration) {
	if n.join.done {
		return
	}
	for _, peer := range n.sampleZone(maxJoinNeighbours) {
		if len(n.join.queries) < len(n.seeds)+maxJoinNeighbours {
			n.addQuery(now, peer)
		}
	}
	for _, q := range n.join.queries {
		if !q.settled() && !q.inFlight && now >= q.dueAt {
			q.inFlight = true
			n.out.Pulls = append(n.out.Pulls, query(q.peer))
		}
	}
	if n.joined && n.join.memberSince == never {
		n.join.memberSince = now
	}
	if now >= n.join.nextRoundAt && !n.join.configFound {
		n.startQueryRound(now)
	}
	n.finishJoin(now)
}

// startQueryRound repeats the queries to some random processes while no process that
// responded has a configuration.
func (n *Node) startQueryRound(now time.Duration) {
	n.join.nextRoundAt = now + jittered(n.rng, joinRoundInterval)
	for range min(maxJoinRoundQueries, len(n.join.queries)) {
		q := n.join.queries[n.rng.IntN(len(n.join.queries))]
		if q.settled() {
			q.responded = false
			q.failures = maxJoinFailures - 1
			q.dueAt = now
		}
	}
}

// finishJoin ends the joining phase when neighbours had time to become known, all queried
// processes have responded or are unreachable, and the bundle of the highest announced
// generation is held. After a suspension, a process that reaches no other process
// continues with the bundle it has.
func (n *Node) finishJoin(now time.Duration) {
	n.join.waitExpired = n.join.memberSince != never && now >= n.join.memberSince+n.join.wait()
	if !n.join.waitExpired {
		return
	}
	for _, q := range n.join.queries {
		if !q.settled() {
			return
		}
	}
	best := n.newest()
	if best == nil || (!n.join.configFound && n.current == nil) {
		return
	}
	if n.highestAnnounced() > best.GetGeneration() {
		return
	}
	n.join.done = true
	if best.GetGeneration() > n.current.GetGeneration() {
		n.activate(now, best)
	}
}

// joinQueryResult handles the response to a query during the joining phase; nil means
// that the call failed.
func (n *Node) joinQueryResult(now time.Duration, vm string, response *pb.ConfigBundle) {
	q := n.join.byVM[vm]
	if q == nil || n.join.done {
		return
	}
	q.inFlight = false
	if response == nil {
		q.failures++
		q.dueAt = now + jittered(n.rng, joinRetryDelay)
		return
	}
	q.responded = true
	q.failures = 0
	if response.GetGeneration() > 0 {
		n.join.configFound = true
		n.join.foundInZone = n.join.foundInZone || q.peer.Zone == n.self.Zone
	}
}
