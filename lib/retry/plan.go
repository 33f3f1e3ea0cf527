package retry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/timelimit"
)

// DefaultMaxAttempts bounds the attempts of one request, the first one included.
const DefaultMaxAttempts = 4

// DefaultRetryAfter is the minimum Retry-After of final responses when neither the request
// nor the last error names one.
const DefaultRetryAfter = time.Second

const (
	// waitInterval is the mean time between two checks of a waiting request.
	waitInterval = 50 * time.Millisecond
	// maxWait bounds the time for which a request waits for the retry budget. After a
	// complete window, the burst that used it up no longer counts.
	maxWait = budgetWindow
)

// Action is what follows an attempt.
type Action uint8

// Actions.
const (
	// Respond ends the request at once with the attempt's response or Next.Err.
	Respond Action = iota
	// Retry sends the request to another endpoint.
	Retry
	// Resume continues the stream on an endpoint that serves Next.VersionDigest.
	Resume
	// Wait asks the caller to wait Next.After and then to call Planner.NextAfterWait,
	// because the retry budget allows no retry yet.
	Wait
)

// Request describes what the plan needs to know about a request.
type Request struct {
	Idempotent bool
	// Resumable streams can continue after the tokens already relayed.
	Resumable bool
	Deadline  time.Time
	// Shutdown is the planned stop of the process, whose end bounds the attempts like Deadline; nil for none.
	Shutdown *timelimit.Shutdown
	// MaxSent bounds the attempts that are sent to an endpoint; zero for no bound other
	// than the planner's MaxAttempts. Attempts that were never sent do not count.
	MaxSent int
	// RetryAfter is the minimum Retry-After of a final response when the last error names
	// none; zero for DefaultRetryAfter.
	RetryAfter time.Duration
}

// end returns when the request has to be over.
func (r *Request) end() time.Time {
	end, _ := timelimit.Limits{Deadline: r.Deadline, Shutdown: r.Shutdown}.End()
	return end
}

// Attempt is the end of one attempt.
type Attempt struct {
	Outcome laburnumgwv1.Outcome
	// Sent is false when the request was never sent by the entry. The outcome is then
	// NOT_RUN regardless of Outcome.
	Sent bool
	// RelayedBytes counts the payload bytes that reached the caller.
	RelayedBytes int64
	// VersionDigest is the digest of the response's header, empty without one.
	VersionDigest string
	// MayHaveCrashed is set when the request may have crashed its endpoint. It is not sent to
	// another one.
	MayHaveCrashed bool
	// RetryAfter is the time that the endpoint asked for.
	RetryAfter time.Duration
	// Err describes the failure for the final response.
	Err error
}

// State accumulates the attempts of one request.
type State struct {
	request  Request
	attempts int
	// sent counts the attempts that were sent.
	sent    int
	relayed bool
	digest  string
	// notRun is true while every attempt was never sent or refused with NOT_RUN.
	notRun bool
	// unknown is set when an attempt's outcome is unknown.
	unknown bool
	// inProgress is set when an earlier attempt with the same key is running.
	inProgress bool
	// mayHaveCrashed is set when the request may have crashed an endpoint.
	mayHaveCrashed bool
	// action is what follows once the budget allows it. When mayWait is set, it waits for
	// the budget until waitUntil.
	action     Action
	mayWait    bool
	waitUntil  time.Time
	retryAfter time.Duration
	lastErr    error
}

// NewState returns the state of a request before its first attempt.
func NewState(request Request) *State {
	return &State{request: request, notRun: true}
}

// Attempts returns the number of attempts that ended.
func (s *State) Attempts() int { return s.attempts }

// NotRun reports whether every attempt was never sent or refused with NOT_RUN.
func (s *State) NotRun() bool { return s.notRun }

// AcceptsVersion reports whether a response of the given version digest may be relayed.
// Once bytes were relayed, only the version that produced them may continue.
func (s *State) AcceptsVersion(digest string) bool {
	return !s.relayed || digest == s.digest
}

// Next states what follows an attempt.
type Next struct {
	Action Action
	// After is the time to wait before the next attempt.
	After time.Duration
	// VersionDigest must be served by the endpoint that resumes the stream.
	VersionDigest string
	// Err is the error of the final response; nil when the attempt completed. Its
	// RetryAfter is set when the caller may repeat the request.
	Err error
}

// Settings configure a Planner.
type Settings struct {
	// MaxAttempts includes the first attempt; zero for DefaultMaxAttempts.
	MaxAttempts int
	Backoff     Backoff
}

// Planner decides what follows each attempt.
type Planner struct {
	settings Settings
	budget   *Budget
	rng      *rand.Rand
	// waiting holds the requests that wait for the budget, the oldest first.
	waiting []*State
}

// NewPlanner returns a planner that draws on the given budget.
func NewPlanner(settings Settings, budget *Budget, rng *rand.Rand) *Planner {
	settings.MaxAttempts = cmp.Or(settings.MaxAttempts, DefaultMaxAttempts)
	settings.Backoff.Base = cmp.Or(settings.Backoff.Base, DefaultBaseDelay)
	settings.Backoff.Max = cmp.Or(settings.Backoff.Max, DefaultMaxDelay)
	return &Planner{settings: settings, budget: budget, rng: rng}
}

// Next records the end of an attempt and decides what follows it. The budget is
// consumed only when another attempt follows.
func (p *Planner) Next(s *State, a Attempt, now time.Time) Next {
	s.record(a)
	if a.outcome() == laburnumgwv1.Outcome_OUTCOME_COMPLETE {
		return Next{Action: Respond}
	}
	action, cause := s.nextAction(a)
	if action == Respond {
		return s.giveUp(cause)
	}
	if p.attemptsUsedUp(s) {
		return s.giveUp("the attempts are used up")
	}
	s.action = action
	s.mayWait = !a.refused()
	return p.proceed(s, p.delay(s, action), now)
}

// attemptsUsedUp reports whether no further attempt may be sent.
func (p *Planner) attemptsUsedUp(s *State) bool {
	return s.attempts >= p.settings.MaxAttempts || (s.request.MaxSent > 0 && s.sent >= s.request.MaxSent)
}

// NextAfterWait repeats the decision of a request that waited for the retry budget.
func (p *Planner) NextAfterWait(s *State, now time.Time) Next {
	return p.proceed(s, 0, now)
}

func (p *Planner) proceed(s *State, after time.Duration, now time.Time) Next {
	if !now.Add(after).Before(s.request.end()) {
		p.removeWaiting(s)
		return s.giveUp("the deadline leaves no time for another attempt")
	}
	if !p.budget.tryRetry(p.ahead(s, now), now) {
		return p.wait(s, now)
	}
	p.removeWaiting(s)
	next := Next{Action: s.action, After: after}
	if s.action == Resume {
		next.VersionDigest = s.digest
	}
	return next
}

// wait lets a request wait for the budget. When many attempts fail at once, the first
// attempts that raise the budget enough for their retries arrive only afterwards. A request
// that an endpoint refused does not wait: after the response "not run" it is safe to repeat,
// and waiting requests would pile up during overload.
func (p *Planner) wait(s *State, now time.Time) Next {
	if !s.mayWait {
		return s.giveUp("the retry budget is used up")
	}
	if s.waitUntil.IsZero() {
		s.waitUntil = now.Add(min(maxWait, s.request.end().Sub(now)/2))
	}
	after := waitInterval/2 + time.Duration(p.rng.Int64N(int64(waitInterval)))
	if now.Add(after).After(s.waitUntil) {
		p.removeWaiting(s)
		return s.giveUp("the retry budget is used up")
	}
	if !slices.Contains(p.waiting, s) {
		p.waiting = append(p.waiting, s)
	}
	return Next{Action: Wait, After: after}
}

// ahead returns the number of requests that have waited longer. Requests whose wait
// has expired without a further call no longer count.
func (p *Planner) ahead(s *State, now time.Time) int {
	p.waiting = slices.DeleteFunc(p.waiting, func(other *State) bool {
		return other != s && now.After(other.waitUntil)
	})
	if i := slices.Index(p.waiting, s); i >= 0 {
		return i
	}
	return len(p.waiting)
}

// removeWaiting removes a request from those that wait for the budget.
func (p *Planner) removeWaiting(s *State) {
	if i := slices.Index(p.waiting, s); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}

// Abandon tells the planner that the caller of a waiting request has disconnected.
func (p *Planner) Abandon(s *State) { p.removeWaiting(s) }

// delay returns the backoff before the next attempt. The first resumption follows at
// once, because the caller is waiting for the next token.
func (p *Planner) delay(s *State, action Action) time.Duration {
	if action == Resume && s.attempts == 1 {
		return 0
	}
	return p.settings.Backoff.Delay(s.attempts, p.rng)
}

// NoEndpoint returns the final response of a request for which no endpoint is eligible.
// It is "not run" only when no earlier attempt may have run.
func (s *State) NoEndpoint(err error) Next {
	s.lastErr = err
	return s.giveUp("no endpoint is eligible")
}

// refused reports whether an endpoint refused the attempt.
func (a Attempt) refused() bool {
	return a.Sent && a.Outcome == laburnumgwv1.Outcome_OUTCOME_NOT_RUN
}

func (a Attempt) outcome() laburnumgwv1.Outcome {
	if !a.Sent {
		return laburnumgwv1.Outcome_OUTCOME_NOT_RUN
	}
	return a.Outcome
}

func (s *State) record(a Attempt) {
	s.attempts++
	if a.Sent {
		s.sent++
	}
	s.lastErr = a.Err
	s.mayHaveCrashed = s.mayHaveCrashed || a.MayHaveCrashed
	s.retryAfter = max(s.retryAfter, a.RetryAfter)
	if a.RelayedBytes > 0 && s.digest == "" {
		// An attempt beside the one that has begun may end first, without a version.
		s.relayed = true
		s.digest = a.VersionDigest
	}
	switch a.outcome() {
	case laburnumgwv1.Outcome_OUTCOME_NOT_RUN:
	case laburnumgwv1.Outcome_OUTCOME_COMPLETE, laburnumgwv1.Outcome_OUTCOME_FAILED:
		s.notRun = false
	case laburnumgwv1.Outcome_OUTCOME_IN_PROGRESS:
		s.notRun = false
		s.inProgress = true
	default:
		s.notRun = false
		s.unknown = true
	}
}

// nextAction returns the action that the outcome permits, or Respond and the reason.
func (s *State) nextAction(a Attempt) (Action, string) {
	if s.inProgress {
		return Respond, "an earlier attempt with the same key is still running"
	}
	if s.mayHaveCrashed {
		return Respond, "the request may have crashed its endpoint"
	}
	if s.relayed {
		return s.nextStreamAction()
	}
	if a.outcome() == laburnumgwv1.Outcome_OUTCOME_NOT_RUN || s.request.Idempotent {
		return Retry, ""
	}
	return Respond, "the request is not idempotent"
}

// nextStreamAction permits a resumption on the same version only: the caller has already
// received a part of that version's response.
func (s *State) nextStreamAction() (Action, string) {
	switch {
	case !s.request.Idempotent:
		return Respond, "the request is not idempotent"
	case !s.request.Resumable:
		return Respond, "the stream cannot be resumed"
	case s.digest == "":
		return Respond, "the version of the stream is not known"
	}
	return Resume, ""
}

// giveUp returns the final response. Its error kind depends on what the attempts may have
// done and not on why the request was given up.
func (s *State) giveUp(cause string) Next {
	return Next{Action: Respond, Err: s.finalError(cause)}
}

// Configure replaces the maximum number of attempts and keeps everything else.
func (p *Planner) Configure(maxAttempts int) {
	p.settings.MaxAttempts = cmp.Or(maxAttempts, DefaultMaxAttempts)
}
