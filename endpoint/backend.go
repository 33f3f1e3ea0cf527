package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/dial"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/httpstatus"
)

const (
	// dataFrameBytes is the largest data frame of a response that is not an event stream.
	dataFrameBytes = 32 << 10
	// maxEventBytes bounds one server-sent event of an engine.
	maxEventBytes = 1 << 20
	// maxResponseBytes bounds the response body of one request.
	maxResponseBytes = 16 << 20
	// doneEvent ends an event stream by the convention of model APIs.
	doneEvent = "data: [DONE]"
	// backendRetryAfter is how long a caller should wait before a retry after the endpoint
	// failed.
	backendRetryAfter = time.Second
	// aliveCheck is how long a connection to the endpoint must stay open after a response that has ended with its
	// connection.
	aliveCheck = 50 * time.Millisecond
)

// call is one attempt of a request in the form in which it is sent to the endpoint.
type call struct {
	requestID      string
	workspace      string
	method         string
	path           string
	contentType    string
	body           []byte
	idempotencyKey string
	priority       int32
	resumeTokens   int64
	// engine is set if the endpoint is a model engine and not a plain service.
	engine bool
	// fingerprint must be part of every response of the engine; empty when the engine
	// reports none.
	fingerprint string
}

// sink receives the frames of a response.
type sink interface {
	header(status int, contentType string) error
	data(payload []byte) error
}

// result is the outcome of an attempt, as sent in the final frame.
type result struct {
	outcome    laburnumgwv1.Outcome
	kind       errkind.Kind
	message    string
	retryAfter time.Duration
	totalBytes int64
	checksum   uint64
	tokens     int64
	status     int
}

func notRunResult(err error) result {
	var typed *errkind.Error
	r := result{outcome: laburnumgwv1.Outcome_OUTCOME_NOT_RUN, kind: errkind.NotRun, message: err.Error()}
	if errors.As(err, &typed) {
		r.retryAfter = typed.RetryAfter
	}
	return r
}

func unknownResult(format string, args ...any) result {
	return result{
		outcome: laburnumgwv1.Outcome_OUTCOME_UNKNOWN, kind: errkind.OutcomeUnknown,
		message: fmt.Sprintf(format, args...), retryAfter: backendRetryAfter,
	}
}

// backend sends requests to the endpoint on this VM.
type backend struct {
	base string
	dial dial.Func
	http *httpstatus.Client
}

// newBackend returns a client that opens a new connection for each request.
// net/http repeats a request with an Idempotency-Key on its own when a reused
// connection breaks, which could run a non-idempotent request twice.
func newBackend(base string) *backend {
	// A response without length and chunks that is reset is not complete.
	dialer := new(net.Dialer).DialContext
	transport := &http.Transport{DialContext: dial.ReportingResets(dialer), DisableKeepAlives: true, MaxResponseHeaderBytes: 64 << 10}
	return &backend{base: base, dial: dialer, http: httpstatus.NewClient(transport)}
}

// run sends one call and relays the response. It reports NOT_RUN only when no
// connection to the endpoint was established.
func (b *backend) run(ctx context.Context, c call, out sink) result {
	var connected atomic.Pointer[string]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		address := info.Conn.RemoteAddr().String()
		connected.Store(&address)
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.method, b.base+c.path, bytes.NewReader(c.body))
	if err != nil {
		return notRunResult(errkind.Wrap(err, errkind.NotRun, "check the request's path", "request cannot be built"))
	}
	setHeaders(request, c)
	response, err := b.http.Do(request)
	if err != nil {
		if connected.Load() == nil {
			return notRunResult(errkind.Wrap(err, errkind.NotRun, "retry on another endpoint", "endpoint refused the connection").
				WithRetryAfter(backendRetryAfter))
		}
		return unknownResult("no response of the endpoint on its connection: %v", err)
	}
	defer response.Body.Close()
	if echoed := response.Header.Get("X-Request-Id"); echoed != "" && echoed != c.requestID {
		return unknownResult("endpoint sent the response to request %q on the connection of request %q", echoed, c.requestID)
	}
	if c.engine && response.StatusCode != http.StatusOK {
		return engineFailure(response)
	}
	return b.relay(ctx, response, *connected.Load(), c, out)
}

// endsWithConnection reports whether only the end of its connection ends a response.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed && response.Request.Method != http.MethodHead
}

// checkAlive returns an error unless the endpoint accepts a connection and keeps it open. The system closes the
// connections of a process that was killed in an orderly way, and resets those that it had not accepted.
func (b *backend) checkAlive(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, backendRetryAfter)
	defer cancel()
	conn, err := b.dial(ctx, "tcp", address)
	if err != nil {
		return err //nolint:wrapcheck // the error names the address
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(aliveCheck)); err != nil {
		return fmt.Errorf("bound the check: %w", err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("connection does not stay open: %w", err)
	}
	return ctx.Err() //nolint:wrapcheck // the cause is the end of the request
}

func setHeaders(request *http.Request, c call) {
	request.Header.Set("X-Request-Id", c.requestID)
	request.Header.Set("X-Workspace", c.workspace)
	request.Header.Set("X-Priority", strconv.Itoa(int(c.priority)))
	if c.contentType != "" {
		request.Header.Set("Content-Type", c.contentType)
	}
	if c.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	if c.resumeTokens > 0 {
		request.Header.Set("X-Resume-Tokens", strconv.FormatInt(c.resumeTokens, 10))
	}
}

// engineFailure returns the result for an error status of the engine. Engine requests have
// no side effects, so the entry may retry them on another endpoint.
func engineFailure(response *http.Response) result {
	text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	return result{
		outcome: laburnumgwv1.Outcome_OUTCOME_FAILED, kind: errkind.Failed, status: response.StatusCode,
		message:    fmt.Sprintf("engine responded with status %d: %s", response.StatusCode, strings.TrimSpace(string(text))),
		retryAfter: backendRetryAfter,
	}
}

// countingWriter forwards data frames and accumulates the size, the checksum and the token
// count for the final frame.
type countingWriter struct {
	out    sink
	total  int64
	digest *xxhash.Digest
	tokens int64
}

func (c *countingWriter) data(payload []byte) error {
	c.total += int64(len(payload))
	if c.total > maxResponseBytes {
		return errkind.New(errkind.TooLarge, "ask for a smaller response", "response exceeds %d bytes", maxResponseBytes)
	}
	_, _ = c.digest.Write(payload)
	return c.out.data(payload)
}

func (c *countingWriter) result(status int) result {
	return result{
		outcome: laburnumgwv1.Outcome_OUTCOME_COMPLETE, status: status,
		totalBytes: c.total, checksum: c.digest.Sum64(), tokens: c.tokens,
	}
}

func (b *backend) relay(ctx context.Context, response *http.Response, address string, c call, out sink) result {
	contentType := response.Header.Get("Content-Type")
	if strings.HasPrefix(contentType, "text/event-stream") {
		return relayEvents(response, c, out)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return unknownResult("response of the endpoint ended early: %v", err)
	}
	if endsWithConnection(response) {
		if err := b.checkAlive(ctx, address); err != nil {
			return unknownResult("response of the endpoint ended with its connection, and the endpoint does not run: %v", err)
		}
	}
	if err := checkFingerprint(body, c.fingerprint); err != nil {
		return wrongWeights(err)
	}
	if err := out.header(response.StatusCode, contentType); err != nil {
		return unknownResult("relay of the response failed: %v", err)
	}
	sum := &countingWriter{out: out, digest: xxhash.New()}
	for start := 0; start < len(body); start += dataFrameBytes {
		if err := sum.data(body[start:min(len(body), start+dataFrameBytes)]); err != nil {
			return unknownResult("relay of the response failed: %v", err)
		}
	}
	return sum.result(response.StatusCode)
}

// relayEvents relays complete events only, one data frame each, so that a broken
// stream can be resumed after the last relayed event.
func relayEvents(response *http.Response, c call, out sink) result {
	if err := out.header(response.StatusCode, response.Header.Get("Content-Type")); err != nil {
		return unknownResult("relay of the response failed: %v", err)
	}
	sum := &countingWriter{out: out, digest: xxhash.New()}
	reader := bufio.NewReaderSize(response.Body, dataFrameBytes)
	for {
		event, err := readEvent(reader)
		if err != nil {
			r := unknownResult("event stream of the engine ended early: %v", err)
			r.tokens = sum.tokens
			return r
		}
		if strings.HasPrefix(string(event), doneEvent) {
			if err := sum.data(event); err != nil {
				return unknownResult("relay of the response failed: %v", err)
			}
			return sum.result(response.StatusCode)
		}
		if payload, ok := bytes.CutPrefix(event, []byte("data:")); ok && c.engine {
			if err := checkFingerprint(payload, c.fingerprint); err != nil {
				return wrongWeights(err)
			}
			sum.tokens++
		}
		if err := sum.data(event); err != nil {
			return unknownResult("relay of the response failed: %v", err)
		}
	}
}

// readEvent reads one event with its closing blank line.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(event) > maxEventBytes {
			return nil, fmt.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		if bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\r\n\r\n")) {
			return event, nil
		}
	}
}

// checkFingerprint compares the weights that the engine names in its response with the
// weights that this process verified and sent to it.
func checkFingerprint(payload []byte, expected string) error {
	if expected == "" {
		return nil
	}
	var response struct {
		Fingerprint string `json:"system_fingerprint"`
	}
	if err := json.Unmarshal(payload, &response); err != nil {
		return fmt.Errorf("parse engine response: %w", err)
	}
	if response.Fingerprint != expected {
		return fmt.Errorf("engine responded from weights %q, expected %q", response.Fingerprint, expected)
	}
	return nil
}

func wrongWeights(err error) result {
	return result{
		outcome: laburnumgwv1.Outcome_OUTCOME_FAILED, kind: errkind.Corrupt,
		message: err.Error(), retryAfter: backendRetryAfter,
	}
}
