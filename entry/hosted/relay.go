package hosted

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
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
	if size := int64(len(buffered.body)); size > usualEventBytes {
		c.unread.Add(c.party(), size)
		defer c.unread.Add(c.party(), -size)
	}
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

// piece is what one read of a stream has brought.
type piece struct {
	// events are complete events. They are valid until the next read.
	events []byte
	// last is set when the stream is complete after them.
	last bool
}

// stream is the response of an attempt that writes events.
type stream struct {
	a              *attempt
	response       *workerconn.Response
	workerResponse platform.WorkerResponse
	isEvents       bool
	check          *eventCheck
	buffer         *[streamBufferBytes]byte
	// pending holds what was read: consumed bytes that were returned, and bytes that follow them.
	pending  []byte
	consumed int
	// since is when the next event was first expected; zero before it is read for.
	since time.Time
	// held is the memory that is reserved for pending.
	held int64
	// readErr is the result of the last read, which counts once all events before it were returned.
	readErr   error
	hasEvents bool
	// first is what was read before the stream was relayed, and firstErr the error behind it.
	first    piece
	firstErr error
}

// newStream returns the stream of a response. It fails if the response does not go on with the
// stream that the caller has.
func (a *attempt) newStream(response *workerconn.Response, workerResponse platform.WorkerResponse) (*stream, error) {
	s := &stream{
		a: a, response: response, workerResponse: workerResponse, isEvents: isEventStream(response.Header.Get("Content-Type")),
		check: &eventCheck{resumes: a.continues, lastID: a.lastEventID}, buffer: streamBuffers.Get().(*[streamBufferBytes]byte),
	}
	if a.continues && s.isEvents != a.continuesEvents {
		return s, fmt.Errorf("%w: its type is %q", errNotContinued, response.Header.Get("Content-Type"))
	}
	return s, nil
}

// next reads until an event is complete, or the stream. Events before an error are returned with it.
func (s *stream) next(timeout workerconn.TimeoutFunc) (piece, error) {
	events, ended, err := s.nextEvents(timeout)
	switch {
	case !ended:
		return piece{events: events}, err
	case !errors.Is(s.readErr, io.EOF):
		return piece{}, fmt.Errorf("%w: %w", errTruncated, s.readErr)
	}
	return s.end()
}

// nextEvents reads until an event is complete. ended is set when the response has ended before another one.
func (s *stream) nextEvents(timeout workerconn.TimeoutFunc) (events []byte, ended bool, err error) {
	s.pending = append(s.pending[:0], s.pending[s.consumed:]...)
	s.consumed = 0
	if s.since.IsZero() {
		s.since = time.Now()
	}
	for s.readErr == nil {
		if err := s.response.Await(timeout, s.since); err != nil {
			return nil, false, fmt.Errorf("%w: %w", errTruncated, err)
		}
		n, err := s.response.Body.Read(s.buffer[:])
		s.readErr = err
		s.pending = append(s.pending, s.buffer[:n]...)
		if err := s.hold(); err != nil {
			return nil, false, err
		}
		if end := lastEventEnd(s.pending); end > 0 {
			s.since = time.Time{}
			events, err := s.accept(end)
			return events, false, err
		}
		if err == nil && len(s.pending) > maxEventBytes {
			return nil, false, fmt.Errorf("%w: event exceeds %d bytes", errTruncated, maxEventBytes)
		}
	}
	return nil, true, nil
}

// accept returns the events up to an end, as far as they belong to the stream.
func (s *stream) accept(end int) ([]byte, error) {
	accepted, foreign := end, error(nil)
	if s.check.resumes || s.isEvents {
		accepted, foreign = s.check.accept(s.pending[:end])
	}
	s.consumed = end
	if accepted > 0 && !s.hasEvents {
		s.hasEvents = true
		s.a.firstEventWait = time.Since(s.a.sentAt)
	}
	if foreign != nil {
		foreign = fmt.Errorf("%w: %w", errTruncated, foreign)
	}
	return s.pending[:accepted], foreign
}

// end returns the rest of a stream whose end was read.
func (s *stream) end() (piece, error) {
	if s.response.EndMarked() && len(s.pending) > 0 && (s.check.resumes || s.isEvents) {
		return piece{}, fmt.Errorf("%w: it ends inside an event", errTruncated)
	}
	if !s.response.EndMarked() {
		if err := s.checkEnd(); err != nil {
			return piece{}, fmt.Errorf("%w: %w", errTruncated, err)
		}
	}
	s.consumed = len(s.pending)
	return piece{s.pending, true}, nil
}

// checkEnd is attempt.checkEnd for a stream, which must also end after an event. One that goes on with another may have
// no more events.
func (s *stream) checkEnd() error {
	switch {
	case lastEventEnd(s.pending) < len(s.pending):
		s.a.recordEnd(false, "inside an event")
		return fmt.Errorf("%w inside an event: %w", errUnmarkedEnd, io.ErrUnexpectedEOF)
	case len(s.pending) == 0 && !s.hasEvents && !s.a.continues:
		s.a.recordEnd(false, "no event")
		return fmt.Errorf("%w before the first event: %w", errUnmarkedEnd, io.ErrUnexpectedEOF)
	}
	return s.a.checkEnd()
}

// recordBegin records that the stream has had its first event.
func (s *stream) recordBegin() {
	if s.a.began || !s.hasEvents {
		return
	}
	s.a.view.attemptAccepted(s.a)
	s.a.view.startWaitEnded(s.a.startWait, waitBegun)
	s.a.responseBegan()
}

// close ends a stream, and its connection unless the stream is complete.
func (s *stream) close() {
	if s.buffer != nil {
		streamBuffers.Put(s.buffer)
		s.buffer = nil
	}
	s.a.heldResponses.Release(s.held)
	s.pending, s.held = nil, 0
	s.response.Abort()
}

// relay relays what an attempt has brought to the caller, and then what follows.
func (c *call) relay(a *attempt, o opened) retry.Attempt {
	switch {
	case o.buffered != nil:
		defer o.close()
		c.dropHedge()
		defer c.trialSurvived()
		// The worker is done with it, also where the caller reads slowly.
		ended := a.finish(a.result(laburnumgwv1.Outcome_OUTCOME_COMPLETE, true, "", nil))
		if err := c.sendBuffered(o.buffered); err != nil {
			return a.result(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, true, "", err)
		}
		return ended
	case o.stream != nil:
		defer o.close()
		err := c.relayStream(a, o.stream)
		outcome := laburnumgwv1.Outcome_OUTCOME_COMPLETE
		if err != nil {
			outcome = laburnumgwv1.Outcome_OUTCOME_UNKNOWN
		}
		return c.relayed(outcome, err)
	}
	return o.ended
}

// relayed returns the end of an attempt by what the caller has of its stream.
func (c *call) relayed(outcome laburnumgwv1.Outcome, err error) retry.Attempt {
	return retry.Attempt{Outcome: outcome, Sent: true, RelayedBytes: c.relayedBytes, VersionDigest: versionDigest(c.weightVersion), Err: err}
}

// relayStream relays the complete events of a stream as they arrive. It returns nil when the stream is
// complete.
func (c *call) relayStream(a *attempt, s *stream) error {
	c.weightVersion = a.weightVersion
	timeout := a.eventTimeout()
	ahead := newReadAhead(s)
	defer ahead.stop()
	for next, err := s.first, s.firstErr; ; next, err = ahead.next(timeout) {
		if len(next.events) > 0 || next.last {
			c.dropHedge()
			ahead.writeBegins()
			err := c.sendEvents(s.response, next.events)
			if ahead.writeEnded(); err != nil {
				return ahead.explain(err)
			}
			s.recordBegin()
			c.trialSurvived()
		}
		if err != nil {
			return err
		}
		if next.last {
			s.response.Finish(s.workerResponse.KeepAlive)
			return c.ensureHeadSent(s.response)
		}
	}
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
