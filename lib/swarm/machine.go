package swarm

import (
	"math/rand/v2"
	"slices"
	"time"

	"laburnumgw/lib/weights"
)

// Machine is the state machine of one VM for one model version. It is not safe for
// concurrent use.
type Machine struct {
	cfg  Config
	rng  *rand.Rand
	plan *Plan

	held  weights.Bitmap
	count int
	// holders counts the peers of the region that hold each chunk.
	holders []int32
	// seenCount is the number of chunks that have appeared in the region, and seenAt when
	// the last one did.
	seenCount int
	seenAt    time.Duration
	// fetchersLost is set once chunks have stopped to appear.
	fetchersLost bool
	peers        []*peer
	byVM         map[string]*peer
	neighbors    []*peer
	// known lists the peers that hold at least one chunk.
	known  []*peer
	parent *peer

	fetches   []*fetch
	requested weights.Bitmap
	lastFetch FetchID
	duties    []*duty

	// mostLocal is the largest number of members of the region so far.
	mostLocal int

	sourceUntil    time.Duration
	sourceFailures int
	// sourceUnanswered counts the fetches from the weight store that have failed since its
	// last answer, and sourceFailedAt is when the first of them began.
	sourceUnanswered int
	sourceFailedAt   time.Duration

	uploads []*upload
	// reservedFor is the peer that gets the next free slot until reservedUntil.
	reservedFor   string
	reservedUntil time.Duration

	// paused is set while a coordinator gives the version no downloads.
	paused bool
	// otherUploads is the number of uploads of other versions on the same link.
	otherUploads int

	searches   float64
	searchesAt time.Duration

	tokens   float64
	tokensAt time.Duration

	started   time.Duration
	completed bool
	withdrawn bool
	actions   []Action

	// offered and usableBuffer are buffers of startPeerFetch.
	offered      []uint64
	usableBuffer []*peer
}

// New returns a Machine that starts at now. It knows no members until MembersChanged.
func New(cfg Config, rng *rand.Rand, now time.Duration) (*Machine, error) {
	if err := cfg.prepare(); err != nil {
		return nil, err
	}
	m := &Machine{
		cfg:        cfg,
		rng:        rng,
		plan:       cfg.Planner(nil),
		held:       weights.NewBitmap(cfg.Chunks),
		holders:    make([]int32, cfg.Chunks),
		byVM:       make(map[string]*peer),
		requested:  weights.NewBitmap(cfg.Chunks),
		offered:    make([]uint64, len(weights.NewBitmap(cfg.Chunks).Words())),
		tokens:     float64(cfg.Limits.ExchangeBurst),
		tokensAt:   now,
		searches:   searchBurst,
		searchesAt: now,
		started:    now,
	}
	if cfg.HeldChunks.Len() > 0 {
		m.held = cfg.HeldChunks.Clone()
		m.count = m.held.Count()
	}
	return m, nil
}

// TickInterval returns the time between Tick events.
func (m *Machine) TickInterval() time.Duration {
	const shortest, longest = 50 * time.Millisecond, time.Second
	return min(longest, max(shortest, m.cfg.ChunkTime/2))
}

// Digest returns the digest of the version.
func (m *Machine) Digest() weights.Digest { return m.cfg.Digest }

// HeldChunks returns a copy of the chunks that this VM holds.
func (m *Machine) HeldChunks() weights.Bitmap { return m.held.Clone() }

// Complete reports whether every chunk is held.
func (m *Machine) Complete() bool { return m.count == m.cfg.Chunks }

// Step handles one event and returns the actions to perform, in order. Now must not
// decrease from one call to the next.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	if m.withdrawn {
		if e, ok := event.(UploadRequested); ok {
			return []Action{RefuseUpload{ID: e.ID}}
		}
		return nil
	}
	m.actions = nil
	m.handle(now, event)
	if m.withdrawn {
		return m.actions
	}
	m.runSource(now)
	m.fillFetches(now)
	m.gossip(now)
	m.reportCompletion()
	return m.actions
}

func (m *Machine) handle(now time.Duration, event Event) {
	switch e := event.(type) {
	case MembersChanged:
		m.handleMembers(e.Members)
	case BitmapReceived:
		m.handleBitmap(now, e)
	case BitmapFailed:
		if p := m.byVM[e.To]; p != nil {
			m.recordFault(now, p)
		}
	case ChunkProgress:
		m.handleProgress(now, e.ID)
	case ChunkDone:
		m.handleDone(now, e)
	case UploadRequested:
		m.handleUpload(now, e)
	case UploadProgress:
		m.handleUploadProgress(now, e.ID)
	case UploadFinished:
		m.handleUploadFinished(now, e.ID)
	case Tick:
		m.expireFetches(now)
		m.expireUploads(now)
		m.offerSlots(now)
	case Withdrawn:
		m.withdraw()
	}
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) reportCompletion() {
	if !m.completed && m.Complete() {
		m.completed = true
		m.emit(Completed{})
	}
}

// setDownloads changes the number of concurrent downloads; 0 pauses the version. The
// schedule of the region's source starts again when it resumes.
func (m *Machine) setDownloads(now time.Duration, downloads int) {
	if m.paused && downloads > 0 {
		m.started = now
	}
	m.paused = downloads == 0
	m.cfg.Limits.Downloads = downloads
}

// withdraw cancels everything that concerns the version.
func (m *Machine) withdraw() {
	for _, f := range slices.Clone(m.fetches) {
		m.cancel(f)
	}
	m.dropUploads("")
	m.withdrawn = true
}

// after returns a timeout of a number of chunk times. The floor keeps network and
// scheduling delays from looking like faults when chunks are small.
func (m *Machine) after(chunkTimes int) time.Duration {
	const floor = 500 * time.Millisecond
	return max(floor, time.Duration(chunkTimes)*m.cfg.ChunkTime)
}
