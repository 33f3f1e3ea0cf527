package hosted

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// connOfCallerKey is the key of the connection of a caller.
type connOfCallerKey struct{}

// connOfCaller is the connection of a caller with the number of its requests.
type connOfCaller struct {
	net.Conn
	requests atomic.Int64
}

// withCallerConn is the ConnContext of the server of callers.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connOfCallerKey{}, &connOfCaller{Conn: conn})
}

// countConnRequest counts a request on its connection. It reports whether the connection has
// carried another one before.
func countConnRequest(ctx context.Context) (reused bool) {
	caller, ok := ctx.Value(connOfCallerKey{}).(*connOfCaller)
	return ok && caller.requests.Add(1) > 1
}

// resetUnmarked has the connection of a caller end with a reset if a close would look like the end of the
// response: HTTP/1.0 has no chunks.
func resetUnmarked(r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	caller, _ := r.Context().Value(connOfCallerKey{}).(*connOfCaller)
	if caller == nil {
		return
	}
	if tcp, ok := caller.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // it fails only on a closed connection
	}
}

// logCut counts a response that was cut: its connection is closed although the response is not
// complete. It logs what tells a change of the configuration from other causes.
func (c *call) logCut(reason string) {
	c.metrics.cutResponse(reason).Inc()
	fields := []zap.Field{
		zap.String("request", c.in.ID), zap.String("reason", reason), zap.Bool("head_sent", c.headSent), zap.Int64("relayed", c.relayedBytes),
		zap.Duration("held", time.Since(c.started)), zap.Bool("reused_connection", c.reusedConn),
		zap.Uint32("attempts", c.attempts), zap.Int("silent_attempts", c.silentAttempts), zap.NamedError("last_attempt", c.lastEnd),
	}
	if end, cause := c.limits.End(); !end.IsZero() {
		fields = append(fields, zap.Duration("left", time.Until(end)), zap.String("limit", string(cause)))
	}
	if c.snapshot != nil {
		fields = append(fields, zap.Int64("config", c.snapshot.Version))
	}
	if current := c.view.snapshot.Load(); current != nil {
		fields = append(fields, zap.Int64("config_in_force", current.Version), zap.Duration("config_age", c.view.configAge()))
	}
	c.log.Warn("response cut", fields...)
}

// configAge returns how long the configuration has been in force; zero without one.
func (v *view) configAge() time.Duration {
	if since := v.configuredAt.Load(); since != nil {
		return time.Since(*since)
	}
	return 0
}
