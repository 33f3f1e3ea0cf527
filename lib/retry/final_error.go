package retry

import (
	"cmp"
	"errors"
	"time"

	"laburnumgw/lib/errkind"
)

// finalError returns the error of the final response. Its kind follows from the outcomes
// of all attempts.
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

// callerDelay returns the longest Retry-After that an endpoint or the last error, for
// example of the routing, asked for. The minimum of the request applies when the last error
// has none.
func (s *State) callerDelay() time.Duration {
	var typed *errkind.Error
	if errors.As(s.lastErr, &typed) && typed.RetryAfter > 0 {
		return max(s.retryAfter, typed.RetryAfter)
	}
	return max(s.retryAfter, cmp.Or(s.request.RetryAfter, DefaultRetryAfter))
}
