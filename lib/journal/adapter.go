package journal

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

// Options configures a Journal.
type Options struct {
	Store platform.Store
	Self  Identity
	// Shards returns the number of shards of a service, or zero for unknown services.
	Shards func(service string) int
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// ShardID names one shard.
type ShardID struct {
	Service string
	Number  int
}

// Journal runs the shards of one process over a platform store. It is safe for
// concurrent use.
type Journal struct {
	options Options
	stop    context.CancelFunc
	ctx     context.Context
	work    sync.WaitGroup

	mu      sync.Mutex
	shards  map[ShardID]*worker
	waiters uint64
	closed  bool
}

// worker performs the platform calls of one shard, one after the other.
type worker struct {
	journal *Journal
	mu      sync.Mutex
	shard   *Shard
	replies map[uint64]chan Reply
	wakeup  chan struct{}
	// released is closed when the process has released the shard.
	released chan struct{}
}

// New returns a journal that owns no shard yet.
func New(options Options) *Journal {
	if options.Now == nil {
		options.Now = time.Now
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Journal{options: options, ctx: ctx, stop: stop, shards: make(map[ShardID]*worker)}
}

// Ticket permits its holder to run a request exactly once. Exactly one of its methods
// must be called; further calls have no effect.
type Ticket struct {
	worker  *worker
	key     Key
	attempt uint64
}

// Begin asks to run a request. It returns a ticket, or the recorded response of an
// earlier run, or an error of one of the kinds NotRun, InProgress, OutcomeUnknown,
// KeyReused, KeyExpired, KeyMissing and NotFound.
func (j *Journal) Begin(ctx context.Context, key Key, bodyDigest Digest) (*Ticket, *RecordedResponse, error) {
	if key.IdempotencyKey == "" {
		return nil, nil, errkind.New(errkind.KeyMissing, "send an Idempotency-Key", "the request has no Idempotency-Key")
	}
	shards := j.options.Shards(key.Service)
	if shards <= 0 {
		return nil, nil, errkind.New(errkind.NotFound, "name a configured service", "service %q has no journal", key.Service)
	}
	w, waiter, err := j.worker(ShardID{key.Service, ShardOf(key.Service, key.IdempotencyKey, shards)})
	if err != nil {
		return nil, nil, err
	}
	reply := w.begin(ctx, Call{Waiter: waiter, Key: key, Body: bodyDigest})
	switch reply.Kind {
	case Granted:
		return &Ticket{w, key, reply.Attempt}, nil, nil
	case Replayed:
		return nil, reply.Response, nil
	default:
		return nil, nil, reply.Err
	}
}

// worker returns the worker of a shard and a new waiter number.
func (j *Journal) worker(id ShardID) (*worker, uint64, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.waiters++
	w, ok := j.shards[id]
	if ok {
		return w, j.waiters, nil
	}
	if j.closed {
		return nil, 0, notRun(time.Second, "the process is leaving")
	}
	w = &worker{
		journal:  j,
		shard:    NewShard(j.options.Self, id.Service, id.Number),
		replies:  make(map[uint64]chan Reply),
		wakeup:   make(chan struct{}, 1),
		released: make(chan struct{}),
	}
	j.shards[id] = w
	j.work.Go(w.run)
	return w, j.waiters, nil
}

// Claim makes the process take over the shards of a service that no live process owns,
// without waiting for a request. Endpoint processes call it when they start.
func (j *Journal) Claim(service string) {
	for number := range j.options.Shards(service) {
		w, _, err := j.worker(ShardID{service, number})
		if err != nil {
			return
		}
		w.update(func(s *Shard, now time.Time) []Reply {
			s.Claim(now)
			return nil
		})
	}
}

// OwnedShards lists the owned shards in order.
func (j *Journal) OwnedShards() []ShardID {
	j.mu.Lock()
	defer j.mu.Unlock()
	var owned []ShardID
	for id, w := range j.shards {
		w.mu.Lock()
		if w.shard.Owned() {
			owned = append(owned, id)
		}
		w.mu.Unlock()
	}
	slices.SortFunc(owned, func(a, b ShardID) int {
		if a.Service != b.Service {
			if a.Service < b.Service {
				return -1
			}
			return 1
		}
		return a.Number - b.Number
	})
	return owned
}

// Close refuses new keys, waits for the running requests, writes their responses and
// releases the shards. When ctx ends first, it returns its error; the outcomes of
// requests that still run are then unknown to the next owner.
func (j *Journal) Close(ctx context.Context) error {
	j.mu.Lock()
	j.closed = true
	workers := make([]*worker, 0, len(j.shards))
	for _, w := range j.shards {
		workers = append(workers, w)
	}
	j.mu.Unlock()
	for _, w := range workers {
		w.update(func(s *Shard, _ time.Time) []Reply { return s.Release() })
	}
	var err error
	for _, w := range workers {
		select {
		case <-w.released:
		case <-ctx.Done():
			err = fmt.Errorf("release journal shards: %w", ctx.Err())
		}
	}
	j.stop()
	j.work.Wait()
	return err
}

// Complete records the response. The caller may forward it before the record is written.
func (t *Ticket) Complete(response Response) {
	t.worker.update(func(s *Shard, now time.Time) []Reply {
		s.Complete(t.key, t.attempt, response, now)
		return nil
	})
}

// OutcomeUnknown records that the request may have run and its response is lost.
func (t *Ticket) OutcomeUnknown() {
	t.worker.update(func(s *Shard, _ time.Time) []Reply {
		s.OutcomeUnknown(t.key, t.attempt)
		return nil
	})
}

// NotStarted records that the request was provably never sent.
func (t *Ticket) NotStarted() {
	t.worker.update(func(s *Shard, now time.Time) []Reply {
		s.NotStarted(t.key, t.attempt, now)
		return nil
	})
}

func (w *worker) begin(ctx context.Context, call Call) Reply {
	wait := make(chan Reply, 1)
	var reply Reply
	w.update(func(s *Shard, now time.Time) []Reply {
		reply = s.Begin(call, now)
		if reply.Kind == Waiting {
			w.replies[call.Waiter] = wait
		}
		return nil
	})
	if reply.Kind != Waiting {
		return reply
	}
	select {
	case reply = <-wait:
		return reply
	case <-ctx.Done():
		return w.cancelWait(ctx, call, wait)
	}
}

// cancelWait ends the wait of a call whose context has ended. A grant that was issued at
// the same moment is returned unused.
func (w *worker) cancelWait(ctx context.Context, call Call, wait chan Reply) Reply {
	var reply Reply
	w.update(func(s *Shard, now time.Time) []Reply {
		if s.CancelWait(call.Waiter, call.Key) {
			delete(w.replies, call.Waiter)
			err := errkind.Wrap(ctx.Err(), errkind.NotRun, "repeat with the same Idempotency-Key",
				"the request was not run: its context ended before its intent was recorded")
			reply = refused(call.Waiter, err)
			return nil
		}
		reply = <-wait
		if reply.Kind == Granted {
			s.NotStarted(call.Key, reply.Attempt, now)
			err := errkind.Wrap(ctx.Err(), errkind.NotRun, "repeat with the same Idempotency-Key",
				"the request was not run: its context ended when its intent was recorded")
			reply = refused(call.Waiter, err)
		}
		return nil
	})
	return reply
}

// update applies an event, delivers the replies and wakes the worker.
func (w *worker) update(event func(*Shard, time.Time) []Reply) {
	w.mu.Lock()
	w.deliver(event(w.shard, w.journal.options.Now()))
	w.mu.Unlock()
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// deliver sends replies to the callers that wait for them. w.mu must be held.
func (w *worker) deliver(replies []Reply) {
	for _, reply := range replies {
		if wait, ok := w.replies[reply.Waiter]; ok {
			delete(w.replies, reply.Waiter)
			wait <- reply
		}
	}
}

// run performs the platform calls of the shard until the journal is closed or the
// shard is released.
func (w *worker) run() {
	for w.journal.ctx.Err() == nil {
		w.mu.Lock()
		op, wake := w.shard.NextOp(w.journal.options.Now())
		released := w.shard.Released()
		w.mu.Unlock()
		switch {
		case released:
			close(w.released)
			return
		case op == nil:
			w.sleep(wake)
		default:
			result := perform(w.journal.ctx, w.journal.options.Store, *op)
			w.mu.Lock()
			w.deliver(w.shard.HandleResult(result, w.journal.options.Now()))
			w.mu.Unlock()
		}
	}
}

// sleep waits for an event or the wake time; the zero time means events only.
func (w *worker) sleep(wake time.Time) {
	var due <-chan time.Time
	if !wake.IsZero() {
		timer := time.NewTimer(wake.Sub(w.journal.options.Now()))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-w.wakeup:
	case <-due:
	case <-w.journal.ctx.Done():
	}
}

// perform makes one platform call.
func perform(ctx context.Context, store platform.Store, op Op) Result {
	var result Result
	switch op.Kind {
	case OpGet:
		result.Object, result.Err = store.Get(ctx, op.Key)
	case OpList:
		result.Objects, _, result.Err = store.List(ctx, op.Key)
	case OpCreate:
		result.Object, result.Err = store.Create(ctx, op.Key, op.Value)
	case OpUpdate:
		result.Object, result.Err = store.Update(ctx, op.Key, op.Value, op.Version)
	case OpDelete:
		result.Err = store.Delete(ctx, op.Key, op.Version)
	}
	return result
}
