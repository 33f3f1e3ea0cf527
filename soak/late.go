package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"laburnumgw/standin/hosted"
)

const (
	// lateRequests is the number of silent connections that are opened before each planned stop.
	lateRequests = 9
	// maxBodyPause bounds the time between the header and the body of a late request.
	maxBodyPause = 2 * time.Second
	// Late requests have between minLateBudget and maxLateBudget of time.
	minLateBudget = 800 * time.Millisecond
	maxLateBudget = 6 * time.Second
	// lateTimeout bounds the wait for the answer to a late request.
	lateTimeout = 10 * time.Second
)

// errKilled is returned for an entry that has not ended at the end of its grace time.
var errKilled = errors.New("still runs at the end of the grace time")

// stop is the end of a planned stop.
type stop struct {
	entry string
	window
	err error
}

// recordStop records how the instance of an entry ended that was asked to stop.
func (r *run) recordStop(p *Process, asked *Instance, begun time.Time) {
	var err error
	switch {
	case asked == nil:
		return
	case !asked.Ended():
		err = errKilled
	case asked.command.ProcessState.ExitCode() != 0:
		err = fmt.Errorf("exit: %s", asked.command.ProcessState)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, stop{p.Name, window{begun, time.Now()}, err})
}

// checkLate checks that a late request that was refused has not run, and that entries stop within
// their grace time and well.
func (r *run) checkLate(outcomes []Outcome, runs func(id string) int, violation func(format string, args ...any)) {
	for _, o := range outcomes {
		if o.Late && o.Status == http.StatusServiceUnavailable && runs(o.ID) > 0 {
			violation("%s at %s came late, was answered %d and ran", o.ID, o.Entry, o.Status)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.stops {
		if s.err != nil && r.faultFree(s.from, s.to) {
			violation("planned stop of %s: %w", s.entry, s.err)
		}
	}
}

// lateRequest is a request that is sent on a connection some time after a stop has begun.
type lateRequest struct {
	message
	entry      *Process
	conn       net.Conn
	head, body []byte
	after      time.Duration
	pause      time.Duration
	budget     time.Duration
}

// sendLate opens silent connections to an entry that is about to stop. A request is sent on each
// at a moment of the grace time.
func (r *run) sendLate(p *Process) {
	for i := range lateRequests {
		kind := []string{kindChat, kindBook, kindView}[i%3]
		id := fmt.Sprintf("%d-late-%s-%d-%d", r.result.Seed, kind, len(r.result.Faults), i)
		extra := time.Duration(r.rng.Int64N(int64(maxExtraTime(kind))))
		budget := minLateBudget + time.Duration(r.rng.Int64N(int64(maxLateBudget-minLateBudget)))
		m := message{id: id, kind: kind, method: http.MethodPost, path: hosted.SlowPath("/"+kind+"/", extra) + id, body: "body-" + id, key: APIKey, deadlineMs: strconv.FormatInt(budget.Milliseconds(), 10)}
		if kind == kindView {
			m.method, m.body = http.MethodGet, ""
		}
		late := lateRequest{message: m, entry: p, after: time.Duration(r.rng.Int64N(int64(stopGracePeriod))), budget: budget}
		if r.rng.IntN(2) == 0 {
			late.pause = time.Duration(r.rng.Int64N(int64(maxBodyPause)))
		}
		if err := late.open(); err != nil {
			continue // the entry does not run
		}
		r.callers.done.Go(func() { r.callers.record(late.run()) })
	}
}

// maxExtraTime bounds the time that workers take longer for a late request. With a silence it stays within the
// patience for a request that entries repeat.
func maxExtraTime(kind string) time.Duration {
	switch kind {
	case kindBook:
		return 2 * time.Second
	case kindView:
		return 400 * time.Millisecond
	default:
		return patience - maxSilence
	}
}

// open opens the connection of a late request.
func (l *lateRequest) open() error {
	request, err := l.httpRequest(context.Background(), l.entry)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := request.Write(&text); err != nil {
		return fmt.Errorf("request %s: %w", l.id, err)
	}
	split := bytes.Index(text.Bytes(), []byte("\r\n\r\n")) + 4
	l.head, l.body = text.Bytes()[:split], text.Bytes()[split:]
	conn, err := net.DialTimeout("tcp", l.entry.Frontend(), time.Second)
	if err != nil {
		return fmt.Errorf("request %s: %w", l.id, err)
	}
	l.conn = conn
	return nil
}

// run sends the request and reads its answer, which may come before the body is sent.
func (l *lateRequest) run() (o Outcome) {
	defer l.conn.Close()
	time.Sleep(l.after)
	o = Outcome{ID: l.id, Kind: l.kind, Entry: l.entry.Name, Sent: time.Now(), Late: true}
	_ = l.conn.SetDeadline(time.Now().Add(lateTimeout)) // the read reports a closed connection
	var sent atomic.Pointer[time.Time]
	go func() {
		if _, err := l.conn.Write(l.head); err != nil {
			return
		}
		if len(l.body) > 0 {
			time.Sleep(l.pause)
			if _, err := l.conn.Write(l.body); err != nil {
				return
			}
		}
		now := time.Now()
		sent.Store(&now)
	}()
	o.Status, o.Err, o.Violation = l.receive()
	o.Ended = time.Now()
	o.Expired = o.Err != nil && o.Status == http.StatusOK && l.timeIsOver(o.Ended.Sub(o.Sent))
	if at := sent.Load(); at != nil && at.Before(o.Ended) {
		o.Sent = *at
	} else if o.Err != nil {
		// An entry has read no whole request.
		o.Sent = o.Ended
	}
	return o
}

// timeIsOver reports whether a stream that took some time ended at the end of its budget, or at that of a shorter
// timeout of its route, whichever configuration was in force.
func (l *lateRequest) timeIsOver(took time.Duration) bool {
	return took >= l.budget.Truncate(time.Millisecond) || (l.kind == kindChat && took >= minChatTimeout && took < minChatTimeout+readTime)
}

// receive reads the answer.
func (l *lateRequest) receive() (status int, err, violation error) {
	response, err := http.ReadResponse(bufio.NewReader(l.conn), nil)
	if err != nil {
		return 0, fmt.Errorf("late answer: %w", err), nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK {
		violation = l.check(response.Header, data)
	}
	return response.StatusCode, err, violation
}
