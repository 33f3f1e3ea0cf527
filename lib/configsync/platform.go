package configsync

import (
	"errors"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/platform"
)

const (
	// settleTime is the shortest time, plus jitter, for which an entry ranks as a watcher
	// before it calls the platform. Entries that have just joined do not know their
	// neighbours yet.
	settleTime = time.Second
	// backoffMin and backoffMax bound the delay after a failed call. The largest delay
	// leaves enough of the propagation bound of 4 s after an outage ends.
	backoffMin = 200 * time.Millisecond
	backoffMax = 1500 * time.Millisecond
	// confirmDelay separates the two reads that must both return an older generation before
	// an alarm is raised, so that a stale read is not taken for a restored platform.
	confirmDelay = time.Second
	// writeBackDelay is jittered and spreads the write-backs of the watchers.
	writeBackDelay = 2 * time.Second
)

// platformCall is a kind of call to the platform.
type platformCall int

const (
	callNone platformCall = iota
	callRead
	callWatch
	callWriteBack
)

// platformState is the state of a watcher's calls to the platform, of which at most one is
// in flight.
type platformState struct {
	watcher bool
	// eligible is set while the entry ranks among the watchers of its zone.
	eligible bool
	// startAt is when an eligible entry starts to watch.
	startAt    time.Duration
	inFlight   platformCall
	nextCall   platformCall
	nextCallAt time.Duration
	backoff    time.Duration
	// watchVersion is the version after which the next watch waits for changes.
	watchVersion int64
	headVersion  int64
	// lastReadGeneration is the generation that the last read returned.
	lastReadGeneration uint64
	// olderReads counts the consecutive reads that returned an older generation.
	olderReads int
}

func (p *platformState) nextAt() time.Duration {
	if p.watcher && p.inFlight == callNone {
		return p.nextCallAt
	}
	if p.eligible && !p.watcher {
		return p.startAt
	}
	return never
}

// updateWatcher schedules the start of watching, or stops watching, after a change of
// members.
func (n *Node) updateWatcher(now time.Duration) {
	p := &n.platform
	ranks := n.ranksAsWatcher()
	if ranks && !p.eligible {
		p.startAt = now + settleTime + jittered(n.rng, settleTime)
	}
	p.eligible = ranks
	if !ranks && p.watcher {
		p.watcher = false
		n.out.StopWatch = true
		p.inFlight = callNone
	}
}

func (n *Node) tickPlatform(now time.Duration) {
	p := &n.platform
	if p.eligible && !p.watcher && now >= p.startAt {
		p.watcher = true
		p.nextCall = callRead
		p.nextCallAt = now
		p.olderReads = 0
	}
	if !p.watcher || p.inFlight != callNone || now < p.nextCallAt {
		return
	}
	p.inFlight = p.nextCall
	switch p.inFlight {
	case callWatch:
		n.out.Watch = &Watch{After: p.watchVersion}
	case callWriteBack:
		n.out.WriteBack = &WriteBack{Bundle: n.current, HeadVersion: p.headVersion}
	default:
		p.inFlight = callRead
		n.out.Read = true
	}
}

// schedule ends the call in flight and sets the next one.
func (p *platformState) schedule(call platformCall, at time.Duration) {
	p.inFlight = callNone
	p.nextCall = call
	p.nextCallAt = at
}

// scheduleAfterFailure schedules the next call with backoff after a failure. It adds the
// platform's Retry-After to the delay.
func (n *Node) scheduleAfterFailure(now time.Duration, call platformCall, err error) {
	p := &n.platform
	p.backoff = min(max(backoffMin, 2*p.backoff), backoffMax)
	delay := jittered(n.rng, p.backoff)
	var limited *platform.RateLimitError
	if errors.As(err, &limited) {
		delay += limited.RetryAfter
	}
	p.schedule(call, now+delay)
}

// ReadResult handles the result of a read.
func (n *Node) ReadResult(now time.Duration, result ReadResult, err error) {
	p := &n.platform
	if !p.watcher || p.inFlight != callRead {
		n.acceptRead(now, result, err)
		return
	}
	if err != nil {
		n.scheduleAfterFailure(now, callRead, err)
		return
	}
	p.backoff = 0
	p.watchVersion = result.Version
	p.headVersion = result.HeadVersion
	p.lastReadGeneration = result.Bundle.GetGeneration()
	n.acceptRead(now, result, nil)
	if result.Bundle.GetGeneration() >= n.Generation() {
		p.olderReads = 0
		p.schedule(callWatch, now)
		return
	}
	n.handleOlderRead(now, result.Bundle)
}

// acceptRead accepts the bundle that was read, also when the process no longer watches.
func (n *Node) acceptRead(now time.Duration, result ReadResult, err error) {
	if err != nil || result.Bundle == nil {
		return
	}
	n.join.configFound = true
	before := n.Generation()
	newer := newerPlacements(n.newest(), result.Bundle)
	accepted := n.accept(now, "platform", result.Bundle)
	if accepted && n.join.done && n.Generation() == before && len(newer) > 0 {
		n.notify(now, placementNotice(n.current, newer))
	}
}

// handleOlderRead handles a read that returned an older generation than the active one. The
// first such read may have been stale; the second in a row raises the alarm, and the third
// leads to a write-back.
func (n *Node) handleOlderRead(now time.Duration, read *pb.ConfigBundle) {
	p := &n.platform
	p.olderReads++
	if p.olderReads < 2 {
		p.schedule(callRead, now+jittered(n.rng, confirmDelay))
		return
	}
	if p.olderReads == 2 {
		n.alarm(PlatformGenerationOlder, "platform", read.GetGeneration())
		p.schedule(callRead, now+jittered(n.rng, writeBackDelay))
		return
	}
	p.schedule(callWriteBack, now)
}

// WatchResult handles the end of a watch.
func (n *Node) WatchResult(now time.Duration, changed bool, version int64, err error) {
	p := &n.platform
	if !p.watcher || p.inFlight != callWatch {
		return
	}
	switch {
	case errors.Is(err, platform.ErrTooOld):
		p.schedule(callRead, now+jittered(n.rng, backoffMin))
	case err != nil:
		// A read after a failure also shows whether the platform was restored to an older
		// generation.
		n.scheduleAfterFailure(now, callRead, err)
	case changed || n.Generation() > p.lastReadGeneration:
		p.schedule(callRead, now)
	default:
		p.backoff = 0
		p.watchVersion = version
		p.schedule(callWatch, now)
	}
}

// WriteBackResult handles the result of a write-back. After a conflict or a lost
// response, a read shows whether the platform holds the newer generation.
func (n *Node) WriteBackResult(now time.Duration, err error) {
	p := &n.platform
	if !p.watcher || p.inFlight != callWriteBack {
		return
	}
	p.olderReads = 0
	if err != nil {
		n.scheduleAfterFailure(now, callRead, err)
		return
	}
	n.alarm(WroteBack, "platform", n.Generation())
	p.schedule(callRead, now)
}
