package swarm

import (
	"slices"
	"time"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/weights"
)

// Policy names a way to distribute a version.
type Policy string

// Policies. All but PolicySwarm are baselines to compare against.
const (
	// PolicySwarm fetches each chunk once per region and spreads it between peers,
	// rarest chunk first.
	PolicySwarm Policy = "swarm"
	// PolicyOriginOnly lets each VM fetch every chunk from the weight store.
	PolicyOriginOnly Policy = "origin-only"
	// PolicyFixedTree relays every chunk along one binary tree of all VMs.
	PolicyFixedTree Policy = "fixed-tree"
	// PolicyRandomPiece is PolicySwarm with a random choice of chunk, peer and upload.
	PolicyRandomPiece Policy = "random-piece"
)

// Policies returns all policies, the chosen one first.
func Policies() []Policy {
	return []Policy{PolicySwarm, PolicyOriginOnly, PolicyFixedTree, PolicyRandomPiece}
}

// Limits bound what a Machine does at the same time. Zero fields take the defaults.
type Limits struct {
	// UploadSlots is the number of concurrent uploads.
	UploadSlots int
	// Downloads is the number of concurrent fetches from peers. It equals UploadSlots
	// by default: with more, receivers request slots that cannot exist; with fewer,
	// slots stay free.
	Downloads int
	// SourceFetches is the number of concurrent fetches from the region's source.
	SourceFetches int
	// Neighbors is the number of peers that a VM selects. About as many select it.
	Neighbors int
	// ExchangesPerSecond limits the bitmaps that a VM sends unasked.
	ExchangesPerSecond int
	// ExchangeBurst is the number of bitmaps that may be sent at once.
	ExchangeBurst int
}

// DefaultLimits returns the limits used for zero fields.
func DefaultLimits() Limits {
	return Limits{
		UploadSlots:        3,
		Downloads:          3,
		SourceFetches:      1,
		Neighbors:          12,
		ExchangesPerSecond: 6,
		ExchangeBurst:      2,
	}
}

func (l *Limits) setDefaults() {
	defaults := DefaultLimits()
	for _, field := range []struct{ value, fallback *int }{
		{&l.UploadSlots, &defaults.UploadSlots},
		{&l.Downloads, &defaults.Downloads},
		{&l.SourceFetches, &defaults.SourceFetches},
		{&l.Neighbors, &defaults.Neighbors},
		{&l.ExchangesPerSecond, &defaults.ExchangesPerSecond},
		{&l.ExchangeBurst, &defaults.ExchangeBurst},
	} {
		if *field.value <= 0 {
			*field.value = *field.fallback
		}
	}
}

// Config describes one VM's part in the distribution of one version.
type Config struct {
	Self   Member
	Digest weights.Digest
	// Chunks is the number of chunks of the version.
	Chunks int
	// HeldChunks names the chunks that are already held and verified; it may be empty.
	HeldChunks weights.Bitmap
	// HomeRegion is the region whose VMs fetch from the weight store.
	HomeRegion string
	Policy     Policy
	// ChunkTime is the time one chunk takes on the permitted share of a VM's link.
	// Timeouts are multiples of it.
	ChunkTime time.Duration
	// SourceInterval is the time between the starts of consecutive chunks at the
	// region's source: the weight store's link in the home region, the inter-region
	// link elsewhere. It keeps the number of concurrent fetches small, so that chunks
	// become available one after the other and not all at the end.
	SourceInterval time.Duration
	Limits         Limits
	// Planner computes the plan for a list of members; NewPlan is the default. A
	// simulation of many VMs shares one plan between them.
	Planner func(members []Member) *Plan
}

func (c *Config) prepare() error {
	if c.Chunks <= 0 || c.Chunks > weights.MaxChunks {
		return errkind.New(errkind.Invalid, "pass the chunks of a valid manifest", "%d chunks", c.Chunks)
	}
	if c.ChunkTime <= 0 || c.SourceInterval < 0 {
		return errkind.New(errkind.Invalid, "derive both from the link rates",
			"chunk time %s, source interval %s", c.ChunkTime, c.SourceInterval)
	}
	if c.HeldChunks.Len() != 0 && c.HeldChunks.Len() != c.Chunks {
		return errkind.New(errkind.Invalid, "pass the bitmap of the same version",
			"bitmap of %d chunks for a version of %d", c.HeldChunks.Len(), c.Chunks)
	}
	if c.Policy == "" {
		c.Policy = PolicySwarm
	}
	if !slices.Contains(Policies(), c.Policy) {
		return errkind.New(errkind.Invalid, "use swarm, origin-only, fixed-tree or random-piece",
			"unknown distribution policy %q", c.Policy)
	}
	c.Limits.setDefaults()
	if c.Policy == PolicyFixedTree {
		// A parent serves each child one chunk at a time.
		c.Limits.UploadSlots = treeArity
		c.Limits.Downloads = 1
	}
	if c.Planner == nil {
		digest, chunks, home := c.Digest, c.Chunks, c.HomeRegion
		c.Planner = func(members []Member) *Plan { return NewPlan(digest, chunks, home, members) }
	}
	return nil
}
