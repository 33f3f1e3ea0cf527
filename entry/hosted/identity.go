package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/quarantine"
	"laburnumgw/lib/workerconn"
	"laburnumgw/platform"
)

const (
	// identityTimeout bounds the first question to a worker who it is. Each further one may take twice as long: the
	// first packet of a connection may be lost, and a plain worker that is busy answers late.
	identityTimeout = 200 * time.Millisecond
	// identityPause separates the first question that failed from the next one, and is doubled with the timeout.
	identityPause = 50 * time.Millisecond
)

var (
	// errRefusesConnections marks a worker whose machine refuses connections, and errAnotherStart one whose address
	// another start of it has, or another worker.
	errRefusesConnections = errors.New("its machine refuses connections")
	errAnotherStart       = errors.New("another start or another worker has its address")
	// errNotIdentified marks an answer that does not tell who gave it.
	errNotIdentified = errors.New("the answer does not name its sender")
)

// workerStart is a start of a worker with what names it.
type workerStart struct {
	quarantine.Start
	vm string
	// healthPath is empty for a model worker.
	healthPath string
}

// answers returns nil once a start of a worker has answered a question that was sent after the call, which shows that its process
// runs. It asks for as long as silence while nothing answers, and as failure while questions fail otherwise, unless it is
// known before that the start has ended.
func (f *frontend) answers(ctx context.Context, w workerStart, silence, failure time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	since := time.Now()
	for timeout, pause := identityTimeout, identityPause; ; timeout, pause = 2*timeout, 2*pause {
		err := f.ask(ctx, w, timeout)
		switch {
		case err == nil, errors.Is(err, errRefusesConnections), errors.Is(err, errAnotherStart):
			return err
		case !errors.Is(err, context.DeadlineExceeded) && time.Since(since) >= failure, !dispatch.Sleep(ctx, pause):
			return err
		}
	}
}

// ask asks a worker once who it is. The question is sent on a connection of its own, on which no other response can
// be due.
func (f *frontend) ask(ctx context.Context, w workerStart, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.metrics.identityQuestions.Inc()
	target, header := platform.IdentityRequest(w.vm, w.healthPath)
	request := &workerconn.Request{Method: http.MethodGet, Target: target, Host: w.Address, Header: header, NewConnection: true}
	response, _, err := f.conns.Send(ctx, w.Address, request, func(*http.Response, bool) bool { return true })
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", errRefusesConnections, err)
	}
	if err != nil {
		return fmt.Errorf("ask the worker who it is: %w", err)
	}
	defer response.Abort()
	body, err := io.ReadAll(io.LimitReader(response.Body, platform.MaxIdentityBytes))
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		return fmt.Errorf("read who the worker is: %w", err)
	}
	return w.check(platform.ParseIdentity(response.StatusCode, response.Header, body))
}

// check compares a start of a worker with the identity in its answer. The health check of a plain worker states its name,
// a report its start.
func (w *workerStart) check(got platform.Identity) error {
	switch {
	case got.Misdirected, got.VM != "" && got.VM != w.vm, got.StartedAtMs != 0 && got.StartedAtMs != w.StartedAtMs:
		return errAnotherStart
	case got.VM == "" && got.StartedAtMs == 0:
		return errNotIdentified
	}
	return nil
}
