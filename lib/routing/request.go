package routing

import (
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

// Request describes one attempt of a request to Pick.
type Request struct {
	ID      string
	Attempt uint32
	// Model is the name of the requested model; empty for a plain service.
	Model string
	// Service is the name of the plain service when Model is empty.
	Service string
	// VersionDigest is the digest of the version that must serve the request; empty for
	// any. A resumed stream sets it.
	VersionDigest string
	// Adapter must be loaded on the endpoint; empty for none.
	Adapter string
	// Idempotent requests may serve as probes of ejected endpoints at once, others after
	// nonIdempotentProbeDelay.
	Idempotent bool
	// Tokens estimates the work of the request; zero when unknown.
	Tokens int64
	// PromptTokens is the length of the prompt; zero when unknown.
	PromptTokens int64
	// Prefixes holds the hashes of the prompt's prefixes, the longest first.
	Prefixes []uint64
	// TriedVMs names the VMs that earlier attempts of the request were sent to.
	TriedVMs []string
	// PreferredVM owns the journal shard of the request; empty for none.
	PreferredVM string
	// OwnerOnly refuses the request when PreferredVM cannot take it.
	OwnerOnly bool
	// Duration estimates how long the request runs; zero when unknown.
	Duration time.Duration
	// HasRoom reports whether an endpoint has memory for the request; nil if its size does not matter.
	HasRoom func(vm string) bool
	// Aim is the time that is left until the first byte is late; zero for none. It counts where the load of endpoints has
	// a source.
	Aim time.Duration
	// MaxWait is the longest expected time to the first byte with which the request is worth sending while no slot is free; zero for any. It counts
	// where the load of endpoints has a source.
	MaxWait time.Duration
	// LeavesPlaces is set for a request that must leave the last places in the queue of an endpoint to others.
	LeavesPlaces bool
	// Regions are the only ones that may run the request; nil for any.
	Regions []string
	// Detail records every candidate in the decision, which allocates.
	Detail bool
}

// Reason states why an endpoint was chosen.
type Reason string

// Reasons of a decision.
const (
	// ReasonScore means that the endpoint won by its score.
	ReasonScore Reason = "score"
	// ReasonPrefix means that prefix affinity decided.
	ReasonPrefix Reason = "prefix_affinity"
	// ReasonOwner means that the endpoint owns the journal shard.
	ReasonOwner Reason = "owner"
	// ReasonProbe means that the attempt probes an ejected endpoint.
	ReasonProbe Reason = "probe"
	// ReasonSuspect means that only suspect endpoints were left.
	ReasonSuspect Reason = "only_suspect_left"
	// ReasonEjected means that only ejected endpoints were left.
	ReasonEjected Reason = "only_ejected_left"
)

// Decision is the result of Pick.
type Decision struct {
	RequestID string
	Attempt   uint32
	// VM is the id of the endpoint; on the users' platform, the worker's id.
	VM      string
	Address string
	Zone    string
	// VersionDigest is the digest that the endpoint serves for the model.
	VersionDigest string
	Reason        Reason
	Policy        string
	// Score is the score of the chosen endpoint; lower is better.
	Score float64
	// Load is the estimated number of requests on the chosen endpoint.
	Load float64
	// EligibleCount and PoolSize are the numbers of endpoints that passed the filters and of
	// all endpoints of the model or service.
	EligibleCount int
	PoolSize      int
	// LeastWait is the least expected time to the first byte of all eligible endpoints if it exceeds Request.MaxWait and none of them
	// has a free slot, else zero.
	LeastWait time.Duration
	// Candidates is set only when Request.Detail is set.
	Candidates []Candidate
}

// Candidate is one endpoint that a decision considered. Entries log it by reflection, so the
// names of its fields appear in logs.
type Candidate struct {
	VM         string
	Zone       string
	Score      float64
	FilteredBy Filter
}

// Result is the outcome of one attempt.
type Result struct {
	Outcome laburnumgwv1.Outcome
	// Sent is false when the request was never sent to the endpoint.
	Sent bool
	// Load is the load carried by the last frame; nil when there was none. The
	// finished attempt is no longer part of it.
	Load *laburnumgwv1.Load
}

// Attempt identifies an attempt between AttemptSent and AttemptFinished.
type Attempt struct {
	endpoint *endpoint
	// incarnation is that of the endpoint when the attempt was sent.
	incarnation Incarnation
	tokens      int64
	// promptTokens is the length of the prompt, and zero once the endpoint has started to
	// respond.
	promptTokens int64
	probe        bool
	// trial is set when the attempt tries an endpoint after the pause that it asked for.
	trial bool
	// limited is set when the attempt counts against the limit that the endpoint has stated.
	limited bool
	sentAt  time.Time
}
