package soak

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"laburnumgw/standin/hosted"
)

// Guards against checks of late requests and of planned stops that pass whatever an entry does.
func TestLateChecksFail(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	plain := &ProxiedWorker{Worker: &hosted.Worker{ID: "p-0"}, Proxy: &Proxy{}}
	for name, c := range map[string]struct {
		outcome Outcome
		stop    error
		runs    int
		want    bool
	}{
		"an answer":                        {Outcome{Status: http.StatusOK}, nil, 1, false},
		"a refusal":                        {Outcome{Status: http.StatusServiceUnavailable}, nil, 0, false},
		"an unknown outcome":               {Outcome{Status: http.StatusBadGateway}, nil, 1, false},
		"a refusal of a request that ran":  {Outcome{Status: http.StatusServiceUnavailable}, nil, 1, true},
		"no answer":                        {Outcome{Err: io.EOF}, nil, 1, true},
		"a stream that is cut":             {Outcome{Status: http.StatusOK, Err: io.ErrUnexpectedEOF}, nil, 1, true},
		"a stream whose budget has passed": {Outcome{Status: http.StatusOK, Err: io.ErrUnexpectedEOF, Expired: true}, nil, 1, false},
		"an entry that is killed":          {Outcome{Status: http.StatusOK}, errKilled, 1, true},
		"an entry that fails":              {Outcome{Status: http.StatusOK}, errors.New("exit status 1"), 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := &run{fleet: &Fleet{PlainWorkers: []*ProxiedWorker{plain}}, stops: []stop{{"front-0", window{start, start.Add(stopGracePeriod)}, c.stop}}}
			c.outcome.ID, c.outcome.Kind, c.outcome.Entry, c.outcome.Late = "r", kindView, "front-0", true
			c.outcome.Sent, c.outcome.Ended = start, start.Add(time.Second)
			got := 0
			r.checkLate([]Outcome{c.outcome}, func(string) int { return c.runs }, func(string, ...any) { got++ })
			r.checkAnswers([]Outcome{c.outcome}, func(string) int { return c.runs }, func(string, ...any) { got++ })
			if (got > 0) != c.want {
				t.Errorf("%d violations", got)
			}
		})
	}
}

// Guards against late requests whose workers are as fast as ever.
func TestSlowPathTakesItsTime(t *testing.T) {
	if path := hosted.SlowPath("/book/", 1500*time.Millisecond); path != "/book/slow-1500/" {
		t.Errorf("path %q", path)
	}
}

// Guards against a late stream that counts as cut when the timeout of its route is over before its budget, and
// against one that is excused at any other time.
func TestLateStreamEndsWithTheTimeoutOfItsRoute(t *testing.T) {
	for _, c := range []struct {
		kind         string
		budget, took time.Duration
		want         bool
	}{
		{kindChat, 5 * time.Second, 4 * time.Second, true},
		{kindChat, 5 * time.Second, 3990 * time.Millisecond, false},
		{kindChat, 5 * time.Second, 4200 * time.Millisecond, false},
		{kindChat, 5 * time.Second, 5 * time.Second, true},
		{kindChat, 3 * time.Second, 3 * time.Second, true},
		{kindView, 5 * time.Second, 4 * time.Second, false},
		// The header of the budget holds milliseconds.
		{kindChat, 1440*time.Millisecond + 900*time.Microsecond, 1440*time.Millisecond + 100*time.Microsecond, true},
	} {
		late := lateRequest{message: message{kind: c.kind}, budget: c.budget}
		if got := late.timeIsOver(c.took); got != c.want {
			t.Errorf("%s with %s after %s: over %t, want %t", c.kind, c.budget, c.took, got, c.want)
		}
	}
}
