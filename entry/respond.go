package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"laburnumgw/lib/errkind"
)

// errorBody is the JSON form of an error in responses to callers.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind      errkind.Kind `json:"kind"`
	Message   string       `json:"message"`
	RequestID string       `json:"request_id"`
	// Run says whether the request was executed: "no", "unknown" or "yes".
	Run          string `json:"run"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// statusOf maps error kinds to HTTP statuses.
var statusOf = map[errkind.Kind]int{
	errkind.NotRun:           http.StatusServiceUnavailable,
	errkind.OutcomeUnknown:   http.StatusBadGateway,
	errkind.InProgress:       http.StatusConflict,
	errkind.KeyExpired:       http.StatusGone,
	errkind.KeyMissing:       http.StatusBadRequest,
	errkind.KeyReused:        http.StatusUnprocessableEntity,
	errkind.BadRequest:       http.StatusBadRequest,
	errkind.TooLarge:         http.StatusRequestEntityTooLarge,
	errkind.NotFound:         http.StatusNotFound,
	errkind.DeadlineExceeded: http.StatusGatewayTimeout,
	errkind.Failed:           http.StatusBadGateway,
	errkind.Corrupt:          http.StatusBadGateway,
	errkind.Unavailable:      http.StatusServiceUnavailable,
}

// runStateOf returns what an error kind implies about the execution of the request, as
// errorDetail.Run has it.
func runStateOf(kind errkind.Kind) string {
	switch kind {
	case errkind.NotRun, errkind.KeyMissing, errkind.KeyReused, errkind.BadRequest, errkind.TooLarge, errkind.NotFound:
		return "no"
	case errkind.Failed:
		return "yes"
	default:
		return "unknown"
	}
}

// asTypedError returns err as a typed error. An untyped error becomes one of the kind
// OutcomeUnknown.
func asTypedError(err error) *errkind.Error {
	var found *errkind.Error
	if errors.As(err, &found) {
		return found
	}
	return errkind.Wrap(err, errkind.OutcomeUnknown, "repeat the request with the same Idempotency-Key", "request failed")
}

func newErrorDetail(err *errkind.Error, requestID string) errorDetail {
	return errorDetail{
		Kind: err.Kind, Message: err.Error(), RequestID: requestID, Run: runStateOf(err.Kind),
		RetryAfterMs: err.RetryAfter.Milliseconds(),
	}
}

// writeError sends the error response of a failed request.
func writeError(w http.ResponseWriter, requestID string, err error) {
	failure := asTypedError(err)
	status, ok := statusOf[failure.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	if failure.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds(failure.RetryAfter)))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequestID, requestID)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: newErrorDetail(failure, requestID)})
}

// retryAfterSeconds rounds up, because the Retry-After header has whole seconds.
func retryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// writeErrorEvent ends an event stream, whose status has been sent already, with an error event.
func writeErrorEvent(w http.ResponseWriter, requestID string, err error) {
	body, encodeErr := json.Marshal(errorBody{Error: newErrorDetail(asTypedError(err), requestID)})
	if encodeErr != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", body)
	_ = http.NewResponseController(w).Flush()
}
