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

	held      weights.Bitmap
	heldCount int
	// holders is the number of peers of the region that hold each chunk.
	holders []int32
	// availableCount is the number of chunks available in the region, and lastAvailableAt
	// when that number last changed, both as of the last call of availabilityStalled.
	availableCount  int
	lastAvailableAt time.Duration
	// hasStalled is set once availabilityStalled has found that no more chunks become
	// available.
	hasStalled bool
	// uploadedFast is set once an upload has ended before it counted as slow.
	uploadedFast bool
	// sourceFetchTime is how long the last fetch from the region's source took; zero without one.
	sourceFetchTime time.Duration
	peers           []*peer
	byVM            map[string]*peer
	neighbours      []*peer
	// peersWithChunks lists the peers that hold at least one chunk.
	peersWithChunks []*peer
	parent          *peer

	fetches           []*fetch
	requested         weights.Bitmap
	lastFetchID       FetchID
	sourceAssignments []*sourceAssignment

	// maxRegionMembers is the largest number of members of the region so far.
	maxRegionMembers int

	originPausedUntil time.Duration
	originFailures    int
	// sourceFrom is when the schedule of the region's source began, and sourcePosition the place of each chunk in it.
	sourceFrom     time.Duration
	sourcePosition []int
	// sourceWaits is set while another version has the region's source to itself.
	sourceWaits bool
	// originRefuses is set while the last fetch from the weight store failed before its first byte, and originAskedAt is
	// when it started. resumedByPeer is set when a peer has shown since that the store responds.
	originRefuses bool
	originAskedAt time.Duration
	resumedByPeer bool
	// askedAt is when a fetcher was last asked whether it is there.
	askedAt time.Duration
	// failuresSinceResponse counts the fetches from the weight store that have failed since
	// its last response, and outageStartedAt is when the first of them started.
	failuresSinceResponse int
	outageStartedAt       time.Duration

	uploads []*upload
	// reservedFor is the peer for which one upload slot is reserved until reservedUntil.
	reservedFor   string
	reservedUntil time.Duration

	// paused is set while a Coordinator or the turn of another version gives the version no downloads.
	paused bool
	// otherUploads is the number of uploads of other versions on the same link.
	otherUploads int

	// searchTokens and exchangeTokens are token buckets, last refilled at searchTokensAt and
	// exchangeTokensAt. They limit searches for free slots and exchanges of bitmaps.
	searchTokens   float64
	searchTokensAt time.Duration

	exchangeTokens   float64
	exchangeTokensAt time.Duration

	completionReported bool
	withdrawn          bool
	actions            []Action

	// offeredWords and usableBuffer are buffers that startPeerFetch reuses.
	offeredWords []uint64
	usableBuffer []*peer
}

// New returns a Machine that starts at now. It has no members until MembersChanged.
func New(cfg Config, rng *rand.Rand, now time.Duration) (*Machine, error) {
	if err := cfg.prepare(); err != nil {
		return nil, err
	}
	m := &Machine{
		cfg:              cfg,
		rng:              rng,
		plan:             cfg.Planner(nil),
		held:             weights.NewBitmap(cfg.Chunks),
		holders:          make([]int32, cfg.Chunks),
		byVM:             make(map[string]*peer),
		requested:        weights.NewBitmap(cfg.Chunks),
		offeredWords:     make([]uint64, len(weights.NewBitmap(cfg.Chunks).Words())),
		exchangeTokens:   float64(cfg.Limits.ExchangeBurst),
		exchangeTokensAt: now,
		searchTokens:     searchBurst,
		searchTokensAt:   now,
		sourcePosition:   make([]int, cfg.Chunks),
	}
	for chunk := range m.sourcePosition {
		m.sourcePosition[chunk] = chunk
	}
	m.sourceFrom = now
	if cfg.HeldChunks.Len() > 0 {
		m.held = cfg.HeldChunks.Clone()
		m.heldCount = m.held.Count()
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

// HeldChunks returns a copy of the bitmap of chunks that this VM holds.
func (m *Machine) HeldChunks() weights.Bitmap { return m.held.Clone() }

// Complete reports whether every chunk is held.
func (m *Machine) Complete() bool { return m.heldCount == m.cfg.Chunks }

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
	m.exchangeBitmaps(now)
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
			p.absent = true
			if !e.NotStarted {
				m.recordFault(now, p)
			}
		}
	case ChunkProgress:
		m.handleProgress(now, e.ID)
	case ChunkDone:
		m.handleChunkDone(now, e)
	case SourceTurn:
		m.handleSourceTurn(now, e)
	case UploadRequested:
		m.handleUpload(now, e)
	case UploadProgress:
		m.handleUploadProgress(now, e.ID)
	case UploadFinished:
		m.handleUploadFinished(now, e.ID)
	case Tick:
		m.expireFetches(now)
		m.expireUploads(now)
		m.announceFreeSlots(now)
	case Withdrawn:
		m.withdraw()
	}
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) reportCompletion() {
	if !m.completionReported && m.Complete() {
		m.completionReported = true
		m.emit(Completed{})
	}
}

// setDownloads changes the number of concurrent downloads; 0 pauses the version. The
// schedule of fetches from the region's source restarts when the version resumes.
func (m *Machine) setDownloads(now time.Duration, downloads int) {
	resumes := m.paused && downloads > 0
	m.paused = downloads == 0
	if resumes {
		m.restartSource(now)
	}
	m.cfg.Limits.Downloads = downloads
}

// withdraw cancels all fetches and ends all uploads of the version.
func (m *Machine) withdraw() {
	for _, f := range slices.Clone(m.fetches) {
		m.cancel(f)
	}
	m.dropUploads("")
	m.withdrawn = true
}

// timeout returns the duration of a number of chunk times, but at least the floor, which
// keeps network and scheduling delays from counting as faults when chunks are small.
func (m *Machine) timeout(chunkTimes int) time.Duration {
	const floor = 500 * time.Millisecond
	return max(floor, time.Duration(chunkTimes)*m.cfg.ChunkTime)
}
