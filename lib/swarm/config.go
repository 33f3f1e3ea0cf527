package swarm

import (
	"slices"
	"time"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/weights"
)

// Policy selects the algorithm that distributes a version.
type Policy string

// Policies. All but PolicySwarm are baselines for comparison.
const (
	// PolicySwarm fetches each chunk once per region from the source, unless a fetcher
	// fails, and spreads it between peers, rarest chunk first.
	PolicySwarm Policy = "swarm"
	// PolicyOriginOnly lets each VM fetch every chunk from the weight store.
	PolicyOriginOnly Policy = "origin-only"
	// PolicyFixedTree relays every chunk along one binary tree of all VMs.
	PolicyFixedTree Policy = "fixed-tree"
	// PolicyRandomPiece is PolicySwarm with a random choice of chunk, without slots reserved
	// for peers that are behind, and without a further request to the peer that has just
	// sent a chunk.
	PolicyRandomPiece Policy = "random-piece"
)

// Policies returns all policies, the default first.
func Policies() []Policy {
	return []Policy{PolicySwarm, PolicyOriginOnly, PolicyFixedTree, PolicyRandomPiece}
}

// Limits bounds the concurrency and message rate of a Machine. Zero fields take the defaults.
type Limits struct {
	// UploadSlots is the number of concurrent uploads.
	UploadSlots int
	// Downloads is the number of concurrent fetches from peers. The default equals that of
	// UploadSlots: with more, receivers request slots that do not exist; with fewer, slots
	// stay free.
	Downloads int
	// SourceFetches is the number of concurrent fetches from the region's source.
	SourceFetches int
	// Neighbours is the number of peers that a VM selects to exchange bitmaps with. About as
	// many select it.
	Neighbours int
	// ExchangesPerSecond limits the bitmap exchanges that a VM starts to report its chunks and
	// its free slots. Probes of fetchers and notifications of gateways and of the peer that
	// a slot is reserved for are not limited.
	ExchangesPerSecond int
	// ExchangeBurst is the number of those exchanges that may start at once.
	ExchangeBurst int
}

// DefaultLimits returns the values used for zero fields of Limits.
func DefaultLimits() Limits {
	return Limits{
		UploadSlots:        3,
		Downloads:          3,
		SourceFetches:      1,
		Neighbours:         12,
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
		{&l.Neighbours, &defaults.Neighbours},
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
	// HeldChunks marks the chunks that are already held and verified; it may be the zero Bitmap.
	HeldChunks weights.Bitmap
	// HomeRegion is the region whose VMs fetch from the weight store.
	HomeRegion string
	Policy     Policy
	// ChunkTime is the time that one chunk takes on the permitted share of a VM's link.
	// Timeouts are multiples of it.
	ChunkTime time.Duration
	// SourceInterval is the time between the starts of consecutive chunks at the region's
	// source: the weight store's link in the home region, the inter-region link elsewhere.
	// It keeps the number of concurrent fetches small, so that chunks become available one
	// after the other instead of all at the end.
	SourceInterval time.Duration
	Limits         Limits
	// Planner computes the plan for a list of members; NewPlan is the default. A
	// simulation of many VMs shares one plan between them.
	Planner func(members []Member) *Plan
}

func (c *Config) prepare() error {
	if c.Chunks <= 0 || c.Chunks > weights.MaxChunks {
		return errkind.New(errkind.Invalid, "pass the number of chunks of a valid manifest", "invalid number of chunks %d", c.Chunks)
	}
	if c.ChunkTime <= 0 || c.SourceInterval < 0 {
		return errkind.New(errkind.Invalid, "derive both from the link rates",
			"chunk time %s must be positive and source interval %s must not be negative", c.ChunkTime, c.SourceInterval)
	}
	if c.HeldChunks.Len() != 0 && c.HeldChunks.Len() != c.Chunks {
		return errkind.New(errkind.Invalid, "pass the bitmap of the same version",
			"bitmap has %d chunks, but the version has %d", c.HeldChunks.Len(), c.Chunks)
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
		// A VM of the tree serves each child one chunk at a time.
		c.Limits.UploadSlots = treeArity
		c.Limits.Downloads = 1
	}
	if c.Planner == nil {
		digest, chunks, home := c.Digest, c.Chunks, c.HomeRegion
		c.Planner = func(members []Member) *Plan { return NewPlan(digest, chunks, home, members) }
	}
	return nil
}
