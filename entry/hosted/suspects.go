package hosted

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/quarantine"
)

// maxNamedBodyBytes is the size of a body up to which each request is named. The names of larger ones
// are computed only while they matter.
const maxNamedBodyBytes = 64 << 10

// requestName returns the name of the whole request.
func (c *call) requestName() string {
	if c.name == "" {
		c.name = quarantine.RequestName(c.route.Host, c.r.URL.EscapedPath(), c.workspaceName(), c.body)
	}
	return c.name
}

// names returns all names of the request: the parts of its prompt and its own.
func (c *call) names() []string { return append(slices.Clip(c.in.PromptParts), c.requestName()) }

// responseBegan records that the request has begun at a worker: its stream has had its first event, or
// its response is complete.
func (a *attempt) responseBegan() {
	a.began = true
	names := a.in.PromptParts
	if len(a.body) <= maxNamedBodyBytes || a.view.crashIsRecent() {
		names = a.names()
	}
	a.view.requestBegan(names)
}

// crashIsRecent reports whether a crash of a worker became known lately.
func (v *view) crashIsRecent() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.quarantine.Active(time.Now())
}

// requestBegan records that a request with some names has begun at a worker.
func (v *view) requestBegan(names []string) {
	if len(names) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.quarantine.Began(names, time.Now())
	if v.quarantine.Pending() {
		v.wakeQuarantine()
	}
}

// refuseBlocked returns an error when the request, or a part of its prompt, is blocked.
func (c *call) refuseBlocked() error {
	block, retryAfter, blocked := c.block()
	if !blocked || c.claimTrial(block) {
		return nil
	}
	c.metrics.blockedRequests.Inc()
	isWholeRequest := quarantine.IsRequestName(block.Name())
	message := "prompt holds a blocked part"
	if isWholeRequest {
		message = "request is blocked"
	}
	c.log.Info(message, zap.String("request", c.in.ID), zap.Strings("blocked", block.Names), zap.String("workspace", c.workspaceName()))
	if isWholeRequest {
		return errkind.New(errkind.NotRun, "change the request, or ask an operator to clear it",
			"workers crash on this request, which is blocked as %s", block.Name()).WithRetryAfter(retryAfter)
	}
	return errkind.New(errkind.NotRun, "change the prompt, or ask an operator to clear the part",
		"workers crash on part %s of the prompt, which is blocked", block.Name()).WithRetryAfter(retryAfter)
}

// block returns the block that refuses the request and the time after which the caller may return.
func (c *call) block() (quarantine.Block, time.Duration, bool) {
	names := c.in.PromptParts
	if c.view.blocksRequests() {
		names = c.names()
	}
	if len(names) == 0 {
		return quarantine.Block{}, 0, false
	}
	return c.view.blockOf(names, c.workspaceName())
}

// blocksRequests reports whether a whole request is blocked.
func (v *view) blocksRequests() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.quarantine.BlocksRequests()
}

// blockOf returns the block that refuses a request and the time after which the caller may return.
func (v *view) blockOf(names []string, workspace string) (quarantine.Block, time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	block, blocked := v.quarantine.Match(names, workspace)
	if !blocked {
		return block, 0, false
	}
	return block, v.quarantine.RetryAfter(block.Name(), time.Now()), true
}

// blocksInForce returns the number of blocks.
func (v *view) blocksInForce() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.quarantine.InForce()
}
