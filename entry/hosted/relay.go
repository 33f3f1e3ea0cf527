package hosted

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/quarantine"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/workerconn"
	"laburnumgw/platform"
)

const (
	// streamBufferBytes is the size of one read from a stream; an event has about 65 bytes.
	streamBufferBytes = 2 << 10
	// maxEventBytes bounds one event. Events of a few tokens have a few hundred bytes.
	maxEventBytes = 64 << 10
)

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// relayBuffered buffers a response until it is complete, then decides whether it is sent to the
// caller.
func (c *call) relayBuffered(response *workerconn.Response, workerResponse platform.WorkerResponse) retry.Attempt {
	body, release, err := c.buffers.readAll(response.Body)
	defer release()
	if err != nil {
		return c.attemptResult(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, true, "", fmt.Errorf("%w: %w", errTruncated, err))
	}
	if !response.EndMarked() && c.endedInCrash() {
		return c.attemptResult(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, true, "", fmt.Errorf("%w: %w", errTruncated, io.ErrUnexpectedEOF))
	}
	response.Finish(workerResponse.KeepAlive)
	c.responseBegan()
	buffered := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	switch {
	case c.headSent:
		return c.attemptResult(laburnumgwv1.Outcome_OUTCOME_FAILED, true, "", errWorkerFailed)
	case meansNotRun(buffered.status):
		// The worker ran the request, although callers take its status as "not run".
		return c.attemptResult(laburnumgwv1.Outcome_OUTCOME_FAILED, true, "", errWorkerFailed)
	case buffered.status >= http.StatusInternalServerError && c.route.Repeatable():
		c.lastFailure = buffered
		return c.attemptResult(laburnumgwv1.Outcome_OUTCOME_FAILED, true, "", errWorkerFailed)
	}
	if err := c.sendBuffered(buffered); err != nil {
		return c.attemptResult(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, true, "", err)
	}
	return c.attemptResult(laburnumgwv1.Outcome_OUTCOME_COMPLETE, true, "", nil)
}

// meansNotRun reports whether callers take a status as "not run".
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// sendBuffered writes a complete response to the caller.
func (c *call) sendBuffered(buffered *bufferedResponse) error {
	c.copyHeader(buffered.header)
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	}
	c.w.WriteHeader(buffered.status)
	c.metrics.firstByte.UpdateDuration(c.started)
	if _, err := c.w.Write(buffered.body); err != nil {
		return fmt.Errorf("write response to the caller: %w", err)
	}
	return nil
}

// copyHeader copies the headers of a worker's response to the caller's.
func (c *call) copyHeader(header http.Header) {
	c.headSent = true
	out := c.w.Header()
	for name, values := range platform.EndToEndHeaders(header) {
		if name != "Content-Length" {
			out[name] = values
		}
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil list keeps the server from guessing a content type.
		out["Content-Type"] = nil
	}
	if _, ok := header["Date"]; !ok {
		out["Date"] = nil
	}
}

// relayStream relays the complete events of a stream as they arrive, and calls onFirstEvent
// after the first read that completes an event. It returns nil when the stream is complete.
func (c *call) relayStream(response *workerconn.Response, workerResponse platform.WorkerResponse, first, next workerconn.TimeoutFunc, onFirstEvent func()) error {
	contentType := response.Header.Get("Content-Type")
	if c.headSent && isEventStream(contentType) != isEventStream(c.w.Header().Get("Content-Type")) {
		return fmt.Errorf("%w: its type is %q", errNotContinued, contentType)
	}
	check := &eventCheck{resumes: c.headSent, lastID: c.lastEventID}
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	var pending []byte
	timeout, since := first, time.Now()
	for {
		if err := response.Await(timeout, since); err != nil {
			return fmt.Errorf("%w: %w", errTruncated, err)
		}
		n, err := response.Body.Read(buffer[:])
		pending = append(pending, buffer[:n]...)
		if end := lastEventEnd(pending); end > 0 {
			accepted, foreign := end, error(nil)
			if check.resumes || isEventStream(contentType) {
				accepted, foreign = check.accept(pending[:end])
			}
			if err := c.sendEvents(response, pending[:accepted]); err != nil {
				return err
			}
			if accepted > 0 && onFirstEvent != nil {
				onFirstEvent()
				onFirstEvent = nil
			}
			if foreign != nil {
				return fmt.Errorf("%w: %w", errTruncated, foreign)
			}
			pending = append(pending[:0], pending[end:]...)
			timeout, since = next, time.Now()
		}
		if errors.Is(err, io.EOF) {
			if response.EndMarked() && len(pending) > 0 && (check.resumes || isEventStream(contentType)) {
				return fmt.Errorf("%w: it ends inside an event", errTruncated)
			}
			if !response.EndMarked() && c.isBrokenOff(pending, onFirstEvent == nil) {
				return fmt.Errorf("%w: %w", errTruncated, io.ErrUnexpectedEOF)
			}
			if err := c.sendEvents(response, pending); err != nil {
				return err
			}
			response.Finish(workerResponse.KeepAlive)
			return c.ensureHeadSent(response)
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errTruncated, err)
		}
		if len(pending) > maxEventBytes {
			return fmt.Errorf("%w: event exceeds %d bytes", errTruncated, maxEventBytes)
		}
	}
}

// isBrokenOff reports whether a stream that has ended with its connection is incomplete. It must
// end after an event, and its worker must not have crashed.
func (c *call) isBrokenOff(pending []byte, hasEvents bool) bool {
	if lastEventEnd(pending) < len(pending) || (len(pending) == 0 && !hasEvents) {
		return true
	}
	return c.endedInCrash()
}

// endedInCrash reports whether the worker of a response that has ended with its connection may have
// crashed, so that the response may be incomplete.
func (c *call) endedInCrash() bool {
	start := quarantine.Start{Address: c.trackedAddress, StartedAtMs: c.trackedWorker}
	if c.view.leaving(start) {
		return false
	}
	ctx := c.r.Context()
	if errors.Is(c.view.connect(ctx, start.Address), syscall.ECONNREFUSED) {
		c.view.workerCrashed(start, "its machine")
		return true
	}
	// The end of the request leaves it unknown.
	return ctx.Err() != nil
}

// lastEventEnd returns the end of the last complete event, or zero without one.
func lastEventEnd(data []byte) int {
	at := bytes.LastIndex(data, []byte("\n\n"))
	if crlf := bytes.LastIndex(data, []byte("\r\n\r\n")); crlf > at {
		return crlf + 4
	}
	if at < 0 {
		return 0
	}
	return at + 2
}

// sendEvents sends events to the caller, the first ones after the head of the response.
func (c *call) sendEvents(response *workerconn.Response, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if !c.headSent {
		if c.firstEventTimer != nil && !c.firstEventTimer.Stop() {
			return errTimeout
		}
		c.copyHeader(response.Header)
		c.w.WriteHeader(response.StatusCode)
		c.metrics.firstByte.UpdateDuration(c.started)
	}
	if _, err := c.w.Write(events); err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	c.relayedBytes += int64(len(events))
	if id := lastEventID(events); id != "" {
		c.lastEventID = id
	}
	if version := platform.ChangedVersion(events); version > 0 {
		c.weightVersion = version
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	return nil
}

// ensureHeadSent sends the head of a stream that had no events.
func (c *call) ensureHeadSent(response *workerconn.Response) error {
	if !c.headSent {
		c.copyHeader(response.Header)
		c.w.WriteHeader(response.StatusCode)
	}
	return nil
}

// lastEventID returns the id of the last event that names one.
func lastEventID(events []byte) string {
	for len(events) > 0 {
		at := bytes.LastIndexByte(events[:len(events)-1], '\n')
		line := bytes.TrimRight(events[at+1:], "\r\n")
		if name, value, ok := bytes.Cut(line, []byte(":")); ok && string(name) == "id" {
			return string(bytes.TrimPrefix(value, []byte(" ")))
		}
		if at < 0 {
			break
		}
		events = events[:at+1]
	}
	return ""
}
