package configsync

import (
	"errors"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/platform"
)

const (
	// settleTime is how long an entry ranks as a watcher before it calls the platform.
	// Entries that have just joined do not know their neighbours yet.
	settleTime = time.Second
	// backoffMin and backoffMax bound the delay after a failed call. The largest delay
	// leaves enough of the 4 s for propagation after an outage ends.
	backoffMin = 200 * time.Millisecond
	backoffMax = 1500 * time.Millisecond
	// confirmDelay separates the two reads that show an older generation, so that a
	// stale read is not taken for a restored platform.
	confirmDelay = time.Second
	// writeBackDelay spreads the write-backs of the watchers.
	writeBackDelay = 2 * time.Second
)

// platformCall is the call that is under way.
type platformCall int

const (
	callNone platformCall = iota
	callRead
	callWatch
	callWriteBack
)

// platformState is the conversation of a watcher with the platform.
type platformState struct {
	watcher  bool
	ranks    bool
	ranksAt  time.Duration
	call     platformCall
	nextCall platformCall
	at       time.Duration
	backoff  time.Duration
	version  int64
	head     int64
	// shown is the generation of the last read.
	shown uint64
	// older counts the consecutive reads that showed an older generation.
	older int
}

func (p *platformState) nextAt() time.Duration {
	if p.watcher && p.call == callNone {
		return p.at
	}
	if p.ranks && !p.watcher {
		return p.ranksAt
	}
	return never
}

// updateWatcher starts or ends watching after a change of members.
func (n *Node) updateWatcher(now time.Duration) {
	p := &n.platform
	ranks := n.ranksAsWatcher()
	if ranks && !p.ranks {
		p.ranksAt = now + settleTime + jittered(n.rng, settleTime)
	}
	p.ranks = ranks
	if !ranks && p.watcher {
		p.watcher = false
		n.out.StopWatch = true
		p.call = callNone
	}
}

func (n *Node) tickPlatform(now time.Duration) {
	p := &n.platform
	if p.ranks && !p.watcher && now >= p.ranksAt {
		p.watcher = true
		p.nextCall = callRead
		p.at = now
		p.older = 0
	}
	if !p.watcher || p.call != callNone || now < p.at {
		return
	}
	p.call = p.nextCall
	switch p.call {
	case callWatch:
		n.out.Watch = &Watch{After: p.version}
	case callWriteBack:
		n.out.WriteBack = &WriteBack{Bundle: n.current, HeadVersion: p.head}
	default:
		p.call = callRead
		n.out.Read = true
	}
}

// then sets the next call.
func (p *platformState) then(call platformCall, at time.Duration) {
	p.call = callNone
	p.nextCall = call
	p.at = at
}

// failed sets the time of the next call after a failure. It obeys Retry-After.
func (n *Node) failed(now time.Duration, call platformCall, err error) {
	p := &n.platform
	p.backoff = min(max(backoffMin, 2*p.backoff), backoffMax)
	delay := jittered(n.rng, p.backoff)
	var limited *platform.RateLimitError
	if errors.As(err, &limited) {
		delay += limited.RetryAfter
	}
	p.then(call, now+delay)
}

// ReadResult handles the outcome of a read.
func (n *Node) ReadResult(now time.Duration, result ReadResult, err error) {
	p := &n.platform
	if !p.watcher || p.call != callRead {
		n.useRead(now, result, err)
		return
	}
	if err != nil {
		n.failed(now, callRead, err)
		return
	}
	p.backoff = 0
	p.version = result.Version
	p.head = result.HeadVersion
	p.shown = result.Bundle.GetGeneration()
	n.useRead(now, result, nil)
	if result.Bundle.GetGeneration() >= n.Generation() {
		p.older = 0
		p.then(callWatch, now)
		return
	}
	n.platformOlder(now, result.Bundle)
}

// useRead accepts what was read, also when the process no longer watches.
func (n *Node) useRead(now time.Duration, result ReadResult, err error) {
	if err != nil || result.Bundle == nil {
		return
	}
	n.join.sourced = true
	before := n.Generation()
	newer := newerPlacements(n.newest(), result.Bundle)
	fresh := n.accept(now, "platform", result.Bundle)
	if fresh && n.join.done && n.Generation() == before && len(newer) > 0 {
		n.notify(now, placementNotice(n.current, newer))
	}
}

// platformOlder decides on the write-back: the first read may have been stale, so that
// only the second one raises the alarm.
func (n *Node) platformOlder(now time.Duration, shown *pb.ConfigBundle) {
	p := &n.platform
	p.older++
	if p.older < 2 {
		p.then(callRead, now+jittered(n.rng, confirmDelay))
		return
	}
	if p.older == 2 {
		n.alarm(PlatformGenerationOlder, "platform", shown.GetGeneration())
		p.then(callRead, now+jittered(n.rng, writeBackDelay))
		return
	}
	p.then(callWriteBack, now)
}

// WatchResult handles the end of a watch.
func (n *Node) WatchResult(now time.Duration, changed bool, version int64, err error) {
	p := &n.platform
	if !p.watcher || p.call != callWatch {
		return
	}
	switch {
	case errors.Is(err, platform.ErrTooOld):
		p.then(callRead, now+jittered(n.rng, backoffMin))
	case err != nil:
		// A read after a failure also shows whether the platform went back.
		n.failed(now, callRead, err)
	case changed || n.Generation() > p.shown:
		p.then(callRead, now)
	default:
		p.backoff = 0
		p.version = version
		p.then(callWatch, now)
	}
}

// WriteBackResult handles the outcome of a write-back. After a conflict or a lost
// answer, a read shows whether the platform holds the newer generation.
func (n *Node) WriteBackResult(now time.Duration, err error) {
	p := &n.platform
	if !p.watcher || p.call != callWriteBack {
		return
	}
	p.older = 0
	if err != nil {
		n.failed(now, callRead, err)
		return
	}
	n.alarm(WroteBack, "platform", n.Generation())
	p.then(callRead, now)
}
