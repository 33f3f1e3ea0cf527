package hosted

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// observe records the log lines of the requests of a deployment.
func (d *deployment) observe() *observer.ObservedLogs {
	core, logs := observer.New(zap.InfoLevel)
	d.front.log = zap.New(core)
	d.front.detail = d.front.log
	return logs
}

// newerConfig returns the test configuration as a later version, with texts replaced.
func newerConfig(version string, replacements ...string) string {
	return strings.NewReplacer(append([]string{`"version":7`, `"version":` + version}, replacements...)...).Replace(testConfig)
}

// Guards against a cut response that the log can't relate to a change of the configuration: the
// incident could not be traced, since the log did not tell cuts beside a change from others.
func TestCutResponseIsLoggedWithTheConfiguration(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		logs := s.observe()
		s.worker("desk", "d1", 0, done)
		s.worker("llm", "w1", 1, func(e *workerExchange) {
			e.stream(1)
			e.events(1, 2)
			<-time.After(300 * time.Millisecond)
			s.put("config", "main", newerConfig("9"))
			<-time.After(100 * time.Millisecond)
			e.Close()
		})
		conn := s.connect()
		if got := conn.ask(requestText(http.MethodGet, "/view/x", "")); got.body != "done" {
			t.Fatalf("first request: %+v", got)
		}
		if got := conn.ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")); !got.cut {
			t.Fatalf("stream is not cut: %+v", got)
		}
		lines := logs.FilterMessage("response cut").All()
		if len(lines) != 1 {
			t.Fatalf("%d lines", len(lines))
		}
		fields := lines[0].ContextMap()
		for name, want := range map[string]any{
			"request": "r1", "reason": "stream_cut", "config": int64(7), "config_in_force": int64(9), "reused_connection": true,
			"head_sent": true, "relayed": int64(len(events(1, 2))),
		} {
			if fields[name] != want {
				t.Errorf("%s is %v, want %v", name, fields[name], want)
			}
		}
		held, left, age := fields["held"].(time.Duration), fields["left"].(time.Duration), fields["config_age"].(time.Duration)
		if held < 400*time.Millisecond || held+left != 6*time.Second || age < 100*time.Millisecond || age >= held {
			t.Errorf("held %v, left %v, configuration in force for %v", held, left, age)
		}
		if n := s.front.metrics.cutResponse("stream_cut").Get(); n != 1 {
			t.Errorf("%d cut responses counted", n)
		}
	})
}

// Guards against a cut response whose log can't tell a worker that was given up for its silence from one
// that broke off: the first is the entry's decision, the second is not.
func TestCutResponseIsLoggedWithTheSilenceOfItsWorker(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(e *workerExchange)
		silent int64
	}{
		"silent": {func(*workerExchange) { <-time.After(time.Minute) }, 1},
		"closed": {func(e *workerExchange) { e.Close() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				logs := s.observe()
				s.worker("llm", "w1", 1, func(e *workerExchange) { e.stream(1); e.events(1, 2); c.end(e) })
				if got := s.connect().ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")); !got.cut {
					t.Fatalf("stream is not cut: %+v", got)
				}
				fields := logs.FilterMessage("response cut").All()[0].ContextMap()
				if fields["silent_attempts"] != c.silent || fields["attempts"] != uint32(1) || fields["last_attempt"] == nil {
					t.Errorf("fields %v", fields)
				}
				if n := s.front.metrics.silentAttempts.Get(); int64(n) != c.silent {
					t.Errorf("%d attempts counted", n)
				}
			})
		})
	}
}
