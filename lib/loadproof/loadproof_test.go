package loadproof

import (
	"testing"
	"time"
)

// loadAndProve has a worker take a version, with all chunks verified before and whole after, until the layers are proven. It returns
// the number of orders.
func loadAndProve(l *Ledger, h Holdings, version int, now time.Duration) (orders int) {
	for orders = range 10 {
		layers := l.Reload(model, version)
		chunks := model.ChunksOf(layers)
		for c := chunks.From; c < chunks.To; c++ {
			l.Verified(c, version, now)
		}
		l.Observe(h, now)
		order := l.BeginOrder(model, version, layers)
		l.Accepted(order, now)
		unread, _ := l.Unread()
		for _, c := range unread {
			l.ReadBack(c, true)
		}
		h = Holdings{StartedAtMs: h.StartedAtMs, Sequence: order.Sequence + 1, Version: version, Layers: layers}
		l.Observe(h, now)
		if layers == model.All() && l.State(h) == Whole {
			return orders + 1
		}
	}
	return 0
}

// Guards against a worker that stays out for good after one report with an odd start or number of orders, or after its clock
// was set back before it started again.
func TestOddReportDoesNotKeepAWorkerOut(t *testing.T) {
	whole := Holdings{StartedAtMs: 1000, Version: 1, Layers: model.All()}
	for name, odd := range map[string]Holdings{
		"sequence":      {StartedAtMs: 1000, Sequence: 1 << 30, Version: 1, Layers: model.All()},
		"start":         {StartedAtMs: 1 << 50, Version: 1, Layers: model.All()},
		"earlier start": {StartedAtMs: 500, Sequence: 3, Version: 2, Layers: model.All()},
	} {
		l := New(grace)
		l.Observe(whole, 0)
		l.Observe(odd, time.Second)
		for i := range 10 {
			l.Observe(whole, time.Second+time.Duration(i)*150*time.Millisecond)
		}
		if state := l.State(whole); state != Whole {
			t.Errorf("odd %s: state %d", name, state)
		}
	}
}

// Guards against a worker that loads whole weights again and again without end, since writes of one of its chunks were lost with
// their connections: they count as outstanding until the worker has answered polls for long enough.
func TestLostWritesDoNotPreventProofsForGood(t *testing.T) {
	for name, versions := range map[string][]int{"of two versions": {1, 2}, "after a restart of the process": {2}} {
		l := New(grace)
		h := Holdings{StartedAtMs: 1}
		l.Observe(h, 0)
		for _, version := range versions {
			l.BeginWrite(1, version)
		}
		if loadAndProve(l, h, 2, time.Second) != 0 {
			t.Errorf("%s: proven while the writes may still be executed", name)
		}
		now := time.Second
		for range int(executionBound / maxPollGap) {
			now += maxPollGap
			l.Observe(Holdings{StartedAtMs: 1, Sequence: l.sequence, Busy: true}, now)
		}
		h = Holdings{StartedAtMs: 1, Sequence: l.sequence, Busy: true}
		if orders := loadAndProve(l, h, 2, now); orders == 0 {
			t.Errorf("%s: not proven after the writes have expired", name)
		}
	}
}

// Guards against writes that count as executed because time has passed in which the worker did not run.
func TestWritesDoNotExpireWhileTheWorkerIsSilent(t *testing.T) {
	l := New(grace)
	l.Observe(Holdings{StartedAtMs: 1}, 0)
	l.BeginWrite(1, 1)
	for i := range 10 {
		l.Observe(Holdings{StartedAtMs: 1}, time.Duration(i)*time.Hour)
	}
	if len(l.writes) != 1 || !l.predecessor {
		t.Error("writes have expired after ten polls")
	}
}

// Guards against loads of a chunk that is known to be corrupt, because it was verified shortly before.
func TestChunkThatWasReadBackCorruptIsStale(t *testing.T) {
	l := New(grace)
	l.Observe(Holdings{StartedAtMs: 1}, 0)
	for c := range model.Chunks {
		l.Verified(c, 2, 0)
	}
	order := l.BeginOrder(model, 2, model.All())
	l.Accepted(order, 0)
	l.ReadBack(1, false)
	if stale := l.Stale(Range{To: model.Chunks}, 2, 0, time.Second); len(stale) != 1 || stale[0] != 1 {
		t.Errorf("stale chunks %v", stale)
	}
}
