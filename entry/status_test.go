package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a status of an endpoint process of another version that callers get as it is, or that net/http panics on.
func TestStatusThatIsNoneReachesNoCaller(t *testing.T) {
	for _, status := range []int32{0, 42, 99, 101, 199, 600, 999} {
		for path, c := range map[string]struct {
			body   string
			status int
			text   string
		}{"/free": {"{}", http.StatusBadGateway, `"run":"unknown"`}, "/v1/chat/completions": {chatBody, http.StatusOK, streamText}} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					a := &scriptedEndpoint{script: func(ctx context.Context, call *scriptedCall) error {
						header := headerFrame("text/event-stream", "other")
						header.GetHeader().HttpStatus = status
						if err := pause(ctx, 1500*time.Millisecond); err != nil {
							return err
						}
						if err := call.send(header); err != nil {
							return err
						}
						return call.complete()
					}}
					got, _ := newScriptedEntry(t, map[string]*scriptedEndpoint{"a": a, "b": {script: serveStream(0)}}).answer(http.MethodPost, path, c.body)
					if calls, _ := a.counts(); got.Code != c.status || !strings.Contains(got.Body.String(), c.text) || calls != 1 {
						t.Errorf("%d %q, %d calls", got.Code, got.Body, calls)
					}
				})
			})
		}
	}
}
