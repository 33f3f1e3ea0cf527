package hosted

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// connRequestsKey is the key of the number of requests on the connection of a caller.
type connRequestsKey struct{}

// withRequestCount is the ConnContext of the server of callers.
func withRequestCount(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connRequestsKey{}, new(atomic.Int64))
}

// countConnRequest counts a request on its connection. It reports whether the connection has
// carried another one before.
func countConnRequest(ctx context.Context) (reused bool) {
	count, ok := ctx.Value(connRequestsKey{}).(*atomic.Int64)
	return ok && count.Add(1) > 1
}

// logCut counts a response that was cut: its connection is closed although the response is not
// complete. It logs what tells a change of the configuration from other causes.
func (c *call) logCut(reason string) {
	c.metrics.cutResponse(reason).Inc()
	fields := []zap.Field{
		zap.String("request", c.in.ID), zap.String("reason", reason), zap.Bool("head_sent", c.headSent), zap.Int64("relayed", c.relayedBytes),
		zap.Duration("held", time.Since(c.started)), zap.Bool("reused_connection", c.reusedConn),
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
