package hosted

import (
	"context"
	"net/http"
	"testing"
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/workerlimit"
)

// silentPeers are entries that respond to nothing.
type silentPeers struct{}

func (silentPeers) Announce(workerlimit.Limit) {}

func (silentPeers) Lend(ctx context.Context, _, _ string, _ int64) (*laburnumgwv1.LendResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (silentPeers) ListLimits(ctx context.Context, _ string) (*laburnumgwv1.ListLimitsResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a request that waits for something of the entry itself (the retry budget, news of a
// crash, another entry) and is forgotten, or ends with a closed connection, when the configuration
// changes meanwhile.
func TestWaitingRequestIsAnsweredWhateverChanges(t *testing.T) {
	closes := func(e *workerExchange) { e.Close() }
	waits := map[string]struct {
		prepare func(s *callerServer)
		request string
		// waits is the least time that the request waits, and most the most.
		waits, most time.Duration
	}{
		"retry budget": {
			func(s *callerServer) {
				s.withoutRetryBudget()
				s.worker("desk", "d1", 0, closes)
				s.worker("desk", "d2", 0, closes)
			},
			requestText(http.MethodGet, "/view/x", "", deadlineHeader, "2500"), 400 * time.Millisecond, 1300 * time.Millisecond,
		},
		"news of a crash": {
			func(s *callerServer) {
				s.worker("llm", "w1", 1, closes)
				s.worker("llm", "w2", 1, closes)
			},
			requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000", prefixHeader, "aa:9,cc:1"), crashWait, 3 * crashWait,
		},
		"another entry": {
			func(s *callerServer) {
				s.front.view.limitPeers = silentPeers{}
				s.worker("desk", "d1", 0, func(e *workerExchange) {
					e.head(http.StatusOK, sealHeader, "s", limitHeader, "1", "Content-Length", "0")
				})
				for _, name := range []string{"front-2", "front-3", "front-4"} {
					s.put("entries", name, `{"zone":"a","address":"10.0.0.9:1"}`)
				}
				for range 8 {
					s.connect().ask(requestText(http.MethodGet, "/view/x", "", deadlineHeader, "2500"))
				}
				<-time.After(2 * minBorrowPause)
			},
			requestText(http.MethodGet, "/view/x", "", deadlineHeader, "2500"), borrowTimeout, 1300 * time.Millisecond,
		},
	}
	for waiting, c := range waits {
		for name, change := range silentChanges() {
			t.Run(waiting+", "+name, func(t *testing.T) {
				withCallers(t, func(t *testing.T, s *callerServer) {
					c.prepare(s)
					conn := s.connect()
					started := time.Now()
					time.AfterFunc(50*time.Millisecond, func() { change(s) })
					got := conn.ask(c.request)
					if got.cut || got.status == 0 || time.Since(started) > c.most {
						t.Errorf("response %+v", got)
					}
					if time.Since(started) < c.waits {
						t.Errorf("did not wait: %+v", got)
					}
					// The connection is kept, and a change is no reason to close it.
					if got := conn.ask(requestText(http.MethodGet, "/view/x", "")); got.cut {
						t.Errorf("next response %+v", got)
					}
				})
			})
		}
	}
}
