package hosted

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/errkind"
	"laburnumgw/platform"
)

const (
	// provenShare is the share of the time within which a configuration must be in force. While the
	// one in force was known to be the newest within it, any newer one may still take effect later.
	provenShare = 0.9
	// confirmTimeout bounds how long a request waits until it is known whether the configuration is
	// the newest.
	confirmTimeout = 700 * time.Millisecond
)

// mirrored tells how current the copy of the store is.
type mirrored interface {
	CompleteWithin(kind string, age time.Duration) bool
	EnsureComplete(ctx context.Context, kind string, age time.Duration) bool
	ReceivesStoreState() bool
}

// matchCurrent finds the route and the workspace of a request. An entry that cannot know whether its
// configuration is the newest finds out before it denies a request. It serves one that it can route
// unless the store, or a source that receives its state, could tell that there is a newer one.
func (f *frontend) matchCurrent(c *call) error {
	err := c.match()
	age := time.Duration(provenShare * float64(f.view.bounds().ConfigApply))
	if c.snapshot == nil || age <= 0 {
		return err
	}
	if !isDenial(err) && (f.mirrored.CompleteWithin(platform.KindConfig, age) || !f.mirrored.ReceivesStoreState()) {
		return err
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), confirmTimeout)
	defer cancel()
	confirmed := f.mirrored.EnsureComplete(ctx, platform.KindConfig, age)
	if err = c.match(); !isDenial(err) || confirmed {
		return err
	}
	f.metrics.deniedUnconfirmed.Inc()
	f.log.Info("denial is not confirmed", zap.String("request", c.in.ID), zap.Int64("config", c.snapshot.Version), zap.Error(err))
	return errkind.New(errkind.NotRun, "repeat the request on another entry", "this entry cannot tell whether its configuration is the newest").
		WithRetryAfter(unroutedRetryAfter)
}

// isDenial reports whether a request is denied by the configuration in force.
func isDenial(err error) bool {
	var typed *errkind.Error
	return errors.As(err, &typed) && (typed.Kind == errkind.NotFound || typed.Kind == errkind.Denied)
}

// match finds the route and the workspace of a request in the configuration in force.
func (c *call) match() error {
	snapshot := c.view.snapshot.Load()
	if snapshot == nil {
		return errkind.New(errkind.NotRun, "repeat the request on another entry", "this entry has no configuration yet").
			WithRetryAfter(unroutedRetryAfter)
	}
	c.snapshot = snapshot
	c.route = snapshot.Match(c.r.Host, c.r.URL.EscapedPath())
	if c.route == nil {
		return errkind.New(errkind.NotFound, "use a configured route", "no route matches")
	}
	workspace, known := snapshot.Workspace(c.in.APIKey)
	if !known && !c.route.Public {
		return errkind.New(errkind.Denied, "send a valid key", "the key is not known")
	}
	c.workspace = workspace
	return nil
}
