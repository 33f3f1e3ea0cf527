package retry

import (
	"cmp"
	"errors"
	"time"

	"laburnumgw/lib/errkind"
)

// finalError builds the final answer from everything that the attempts did.
func (s *State) finalError(cause string) *errkind.Error {
	after := s.callerDelay()
	switch {
	case s.inProgress:
		return s.wrap(errkind.InProgress, "repeat the request with the same key to get its response", cause).
			WithRetryAfter(after)
	case s.notRun:
		return s.wrap(errkind.NotRun, "repeat the request after the time in Retry-After", cause).
			WithRetryAfter(after)
	case s.unknown && s.request.Idempotent:
		return s.wrap(errkind.OutcomeUnknown, "repeat the request, which is idempotent", cause).
			WithRetryAfter(after)
	case s.unknown:
		return s.wrap(errkind.OutcomeUnknown, "repeat the request with the same Idempotency-Key", cause).
			WithRetryAfter(after)
	}
	return s.wrap(errkind.Failed, "repeat the request only when it is idempotent", cause).
		WithRetryAfter(after)
}

func (s *State) wrap(kind errkind.Kind, remedy, cause string) *errkind.Error {
	return errkind.Wrap(s.lastErr, kind, remedy, "request ended after %d attempts: %s", s.attempts, cause)
}

// callerDelay returns the longest time that an endpoint or the routing asked for. The least
// time of the request applies when the routing names none.
func (s *State) callerDelay() time.Duration {
	var typed *errkind.Error
	if errors.As(s.lastErr, &typed) && typed.RetryAfter > 0 {
		return max(s.retryAfter, typed.RetryAfter)
	}
	return max(s.retryAfter, cmp.Or(s.request.RetryAfter, DefaultRetryAfter))
}
