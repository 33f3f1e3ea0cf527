package hosted

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a request that is refused or closed by a bound of the server which is narrower than
// the limits of the configuration in force, also when these have changed: callers keep within them and
// reuse a connection that has been idle for up to four fifths of its limit.
func TestCallersWithinTheLimitsAreServed(t *testing.T) {
	const limits = `"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000`
	for name, c := range map[string]struct {
		limits string
		ask    func(conn *callerConn) callerResponse
	}{
		"long idle": {`"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":240000`, func(conn *callerConn) callerResponse {
			<-time.After(190 * time.Second)
			return conn.ask(requestText(http.MethodGet, "/view/x", ""))
		}},
		"large header": {`"header_bytes":200000,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000`, func(conn *callerConn) callerResponse {
			return conn.ask(requestText(http.MethodGet, "/view/x", "", "X-Large", strings.Repeat("h", 190000)))
		}},
		"slow header": {`"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":20000,"idle_timeout_ms":15000`, func(conn *callerConn) callerResponse {
			text := requestText(http.MethodGet, "/view/x", "")
			conn.send(text[:20])
			<-time.After(18 * time.Second)
			return conn.ask(text[20:])
		}},
	} {
		for _, change := range []bool{false, true} {
			t.Run(name+map[bool]string{false: "", true: ", changed on the open connection"}[change], func(t *testing.T) {
				withCallers(t, func(t *testing.T, s *callerServer) {
					s.worker("desk", "d1", 0, done)
					configure := func() { s.put("config", "main", newerConfig("8", limits, c.limits)) }
					if !change {
						configure()
					}
					conn := s.connect()
					conn.ask(requestText(http.MethodGet, "/view/x", ""))
					if change {
						configure()
					}
					if got := c.ask(conn); got.cut || got.status != http.StatusOK {
						t.Errorf("response %+v", got)
					}
				})
			})
		}
	}
}

// Guards against limits that this process can't honour and nobody hears of.
func TestLimitsBeyondTheServerAreLogged(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		core, logs := observer.New(zap.ErrorLevel)
		d.front.view.log = zap.New(core)
		for number, limits := range []string{`"idle_timeout_ms":15000`, `"idle_timeout_ms":600001`, `"idle_timeout_ms":15000,"header_bytes":1048577`} {
			d.put("config", "main", newerConfig(strconv.Itoa(8+number), `"idle_timeout_ms":15000`, limits))
			if got := logs.Len(); got != number {
				t.Errorf("%s: %d lines", limits, got)
			}
		}
	})
}
