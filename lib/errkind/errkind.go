// Package errkind defines the error kinds of the system. Each error states what failed
// and the remedy, so that a caller or an operator knows what to do.
package errkind

import (
	"errors"
	"fmt"
	"time"
)

// Kind classifies an error, so that programs need not parse its text.
type Kind string

// Kinds of errors that callers, operators and peers see.
const (
	// NotRun means that the request was never sent to an endpoint.
	NotRun Kind = "not_run"
	// OutcomeUnknown means that the request may have run and its response was lost.
	OutcomeUnknown Kind = "outcome_unknown"
	// InProgress means that an earlier attempt with the same key is still running.
	InProgress Kind = "in_progress"
	// KeyExpired means that an idempotency key is older than its record's retention.
	KeyExpired Kind = "key_expired"
	// KeyMissing means that a non-idempotent request has no idempotency key.
	KeyMissing Kind = "key_missing"
	// KeyReused means that a key was used before with a different request.
	KeyReused Kind = "key_reused"
	// BadRequest means that the request is malformed.
	BadRequest Kind = "bad_request"
	// TooLarge means that a body or value exceeds its limit.
	TooLarge Kind = "too_large"
	// NotFound means that the named model, service or object does not exist.
	NotFound Kind = "not_found"
	// DeadlineExceeded means that the deadline passed.
	DeadlineExceeded Kind = "deadline_exceeded"
	// Conflict means that another writer changed the object first.
	Conflict Kind = "conflict"
	// Stale means that a fencing number or generation is older than one already seen.
	Stale Kind = "stale"
	// Denied means that the peer did not prove a role that the call accepts.
	Denied Kind = "denied"
	// Invalid means that a configuration or setting is not valid.
	Invalid Kind = "invalid"
	// Corrupt means that bytes do not match their digest.
	Corrupt Kind = "corrupt"
	// Unavailable means that a dependency cannot be reached.
	Unavailable Kind = "unavailable"
	// Failed means that the endpoint ran the request and reported a failure.
	Failed Kind = "failed"
)

// Error is an error with a kind, a remedy and an optional time to retry after.
type Error struct {
	Kind       Kind
	Message    string
	Remedy     string
	RetryAfter time.Duration
	Err        error
}

// New returns an error of the given kind.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Wrap returns an error of the given kind that wraps err.
func Wrap(err error, kind Kind, remedy, format string, args ...any) *Error {
	e := New(kind, remedy, format, args...)
	e.Err = err
	return e
}

// WithRetryAfter sets the time after which the caller may retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the message, the wrapped error and the remedy.
func (e *Error) Error() string {
	text := e.Message
	if e.Err != nil {
		text = fmt.Sprintf("%s: %v", text, e.Err)
	}
	if e.Remedy != "" {
		text = fmt.Sprintf("%s; %s", text, e.Remedy)
	}
	return text
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the kind of err, or the empty kind when err has none.
func Of(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return ""
}

// Is reports whether err has the given kind.
func Is(err error, kind Kind) bool { return Of(err) == kind }
