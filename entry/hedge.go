package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/routing"
	"laburnumgw/lib/rpc"
)

const (
	// liveFrameAge is the age of the last frame of an attempt below which its endpoint process counts as alive,
	// although it sends no reports.
	liveFrameAge = time.Second
	// hedgeInterval is the pause before another endpoint is asked beside one that is taken for dead, and between two checks
	// whether one can be asked. After a pause of the entry's own process all endpoints are taken for dead until they answer
	// their probes.
	hedgeInterval = membership.CallTimeout
)

var (
	// errSilent is the error of an attempt whose endpoint process sends nothing.
	errSilent = errors.New("endpoint sends neither reports nor frames")
	// errSuperseded ends an attempt when another one gives the response.
	errSuperseded = errors.New("another attempt gives the response")
)

// relay passes the response of the attempt that leads on to the caller. Another attempt that runs beside it takes
// the lead with the first payload that it brings, and is ended when the one that leads brings a frame before.
type relay struct {
	mu   sync.Mutex
	out  responder
	lead *lane
}

// lane is the responder of one attempt.
type lane struct {
	*relay
	cancel context.CancelCauseFunc
	// other is the attempt that runs beside this one; nil for none.
	other *lane
	// held is the last header, which is passed on when the attempt leads.
	held   *laburnumgwv1.Header
	passed bool
	// superseded is set once the other attempt gives the response.
	superseded bool
	// lastFrame is when a frame last arrived, at first when the attempt began.
	lastFrame time.Time
}

// join adds an attempt, beside the one that leads if there is one, and returns the tokens that the caller has.
func (r *relay) join(cancel context.CancelCauseFunc) (*lane, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &lane{relay: r, cancel: cancel, lastFrame: time.Now()}
	if r.lead == nil {
		r.lead = l
	} else {
		l.other, r.lead.other = r.lead, l
	}
	_, tokens := r.out.relayedCounts()
	return l, tokens
}

// leave ends an attempt. The one beside it, if any, leads from then on.
func (r *relay) leave(l *lane) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lead == l {
		r.lead = l.other
	}
	if l.other != nil {
		l.other.other, l.other = nil, nil
	}
}

// takeLead ends the other attempt, and passes the header on that was held. The caller holds the lock.
func (l *lane) takeLead() error {
	l.lastFrame = time.Now()
	if l.superseded {
		return errSuperseded
	}
	if !l.passed && l.held != nil {
		if err := l.out.header(l.held); err != nil {
			return err
		}
		l.passed = true
	}
	l.lead = l
	if l.other != nil {
		l.other.superseded = true
		l.other.cancel(errSuperseded)
	}
	return nil
}

// header implements responder.
func (l *lane) header(header *laburnumgwv1.Header) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.passed, l.lastFrame = header, false, time.Now()
	if l.lead != l {
		return nil
	}
	return l.takeLead()
}

// data implements responder.
func (l *lane) data(payload []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.takeLead(); err != nil {
		return err
	}
	return l.out.data(payload)
}

// complete implements responder.
func (l *lane) complete() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.takeLead(); err != nil {
		return err
	}
	return l.out.complete()
}

// relayedCounts implements responder.
func (l *lane) relayedCounts() (payload, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.relayedCounts()
}

// silentFor returns how long no frame has arrived.
func (l *lane) silentFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastFrame)
}

// isSuperseded reports whether another attempt gives the response.
func (l *lane) isSuperseded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.superseded
}

// ifEndedNow describes the attempt as if it ended now.
func (l *lane) ifEndedNow(sent bool) retry.Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	payload, _ := l.out.relayedCounts()
	return retry.Attempt{
		Outcome: laburnumgwv1.Outcome_OUTCOME_UNKNOWN, Sent: sent, RelayedBytes: payload,
		VersionDigest: l.held.GetVersionDigest(), Err: errSilent,
	}
}

// runningAttempt is an attempt that has not ended.
type runningAttempt struct {
	*lane
	decision routing.Decision
	number   uint32
	sent     *atomic.Bool
	// silent is set while membership takes the endpoint for dead, and wake is signalled when that begins.
	silent atomic.Bool
	wake   chan struct{}
	// done is closed at the end of the attempt. ended describes it, and panicked is what its code panicked with; neither is
	// to be read before.
	done     chan struct{}
	ended    retry.Attempt
	panicked any
}

// setSilent records whether membership takes the endpoint for dead.
func (a *runningAttempt) setSilent(silent bool) {
	a.silent.Store(silent)
	if !silent {
		return
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// isSilent reports whether the endpoint has sent neither reports nor frames for a while.
func (a *runningAttempt) isSilent() bool {
	return a.silent.Load() && a.silentFor(time.Now()) >= liveFrameAge
}

// stop ends the attempt and waits for that.
func (a *runningAttempt) stop() {
	a.cancel(errSuperseded)
	<-a.done
}

// start begins an attempt.
func (t *requestTarget) start(ctx context.Context, r *relay, decision routing.Decision, number uint32) *runningAttempt {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, sent := rpc.TrackSent(ctx)
	l, tokens := r.join(cancel)
	a := &runningAttempt{lane: l, decision: decision, number: number, sent: sent, wake: make(chan struct{}, 1), done: make(chan struct{})}
	unregister := t.register(a)
	go func() {
		defer close(a.done)
		defer cancel(nil)
		defer unregister()
		defer func() { a.panicked = recover() }()
		a.ended = t.attempt(ctx, t.request, a, tokens, t.generation)
	}()
	return a
}

// race is the attempt of a request that the loop waits for, and the one beside it.
type race struct {
	*requestTarget
	relay  *relay
	hedges *dispatch.Hedges
	first  *runningAttempt
	// second is nil while there is none.
	second *runningAttempt
}

// Attempt implements dispatch.Target. An attempt whose endpoint is silent goes on, and the request is sent to
// another one as well: the response comes from the one that brings the next frame.
func (t *requestTarget) Attempt(ctx context.Context, decision routing.Decision, number uint32, hedges *dispatch.Hedges) retry.Attempt {
	r := &race{requestTarget: t, relay: &relay{out: t.out}, hedges: hedges}
	r.first = t.start(ctx, r.relay, decision, number)
	select {
	case <-r.first.done:
		return r.result(r.first)
	case <-r.first.wake:
	}
	check := time.NewTicker(hedgeInterval)
	defer check.Stop()
	for {
		var secondDone chan struct{}
		if r.second != nil {
			secondDone = r.second.done
		}
		select {
		case <-r.first.done:
			if r.second == nil || !r.firstEnded() {
				return r.result(r.first)
			}
		case <-secondDone:
			if r.secondEnded() {
				return r.result(r.first)
			}
		case <-check.C:
			r.hedge(ctx)
		}
	}
}

// result returns the end of an attempt.
func (r *race) result(a *runningAttempt) retry.Attempt {
	if a.panicked != nil {
		panic(a.panicked) // the handler of the request recovers
	}
	return a.ended
}

// firstEnded reports whether the second attempt goes on in place of the first one, which has ended.
func (r *race) firstEnded() bool {
	ended := r.first
	if ended.panicked != nil || (!ended.isSuperseded() && !r.hedges.MayGoOn(ended.ended)) {
		r.second.stop()
		r.hedges.Ended(r.second.ended)
		return false
	}
	r.relay.leave(ended.lane)
	r.hedges.Ended(ended.ended)
	r.first, r.second = r.second, nil
	return true
}

// secondEnded reports whether the request ends with the second attempt, which has ended and given the response.
// Otherwise the first one goes on.
func (r *race) secondEnded() bool {
	ended := r.second
	if ended.panicked != nil || r.first.isSuperseded() {
		r.first.stop()
		r.hedges.Ended(r.first.ended)
		r.first, r.second = ended, nil
		return true
	}
	r.relay.leave(ended.lane)
	r.hedges.Ended(ended.ended)
	r.second = nil
	return false
}

// hedge sends the request to another endpoint beside the first one if that is silent and the attempts and the
// retry budget allow it.
func (r *race) hedge(ctx context.Context) {
	if r.second != nil || ctx.Err() != nil || !r.first.isSilent() {
		return
	}
	var decision routing.Decision
	var chosen uint32
	pick := func(number uint32, digest string, tried []string) (routing.Decision, error) {
		var err error
		chosen = number
		decision, err = r.routes.pick(r.request, number, digest, tried)
		return decision, err
	}
	if !r.hedges.Send(r.first.ifEndedNow(r.first.sent.Load()), pick, func() {}) {
		return
	}
	r.metrics.retries.Inc()
	r.log.Info("endpoint is silent; the request is sent to another one as well", zap.String("request", r.request.id),
		zap.Uint32("attempt", chosen), zap.String("silent", r.first.decision.VM), zap.String("vm", decision.VM))
	r.second = r.start(ctx, r.relay, decision, chosen)
}
