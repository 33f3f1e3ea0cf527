package swarm

import (
	"time"

	"laburnumgw/lib/weights"
)

// Member is a VM that takes part in the distribution of a version.
type Member struct {
	VM     string
	Zone   string
	Region string
}

// FetchID identifies one fetch of one Machine. It is never reused.
type FetchID uint64

// UploadID identifies one request for a chunk. The adapter chooses it, and it must
// be unique among the uploads of one Machine.
type UploadID uint64

// Origin is the source of fetches that go to the weight store.
const Origin = ""

// Event is an input of a Machine.
type Event interface{ isEvent() }

// MembersChanged carries the live VMs that hold or receive the version.
type MembersChanged struct{ Members []Member }

// BitmapReceived carries the chunks that a peer holds, from its request or from its
// response to SendBitmap. The adapter responds to each request with Machine.HeldChunks.
type BitmapReceived struct {
	From   string
	Bitmap weights.Bitmap
}

// BitmapFailed reports that SendBitmap failed or got no response. NotStarted is set when the peer
// responded that it does not know the version, as before it has started it.
type BitmapFailed struct {
	To         string
	NotStarted bool
}

// ChunkProgress reports that bytes of a fetch have arrived. The adapter sends it for the
// first bytes and may omit further events that follow within a second.
type ChunkProgress struct{ ID FetchID }

// Result is the outcome of a fetch.
type Result int

// Results of a fetch.
const (
	// ResultOK means that the chunk is verified and stored.
	ResultOK Result = iota
	// ResultCorrupt means that the bytes do not match the manifest.
	ResultCorrupt
	// ResultFailed means that the connection or the source failed.
	ResultFailed
	// ResultRefused means that the peer has no free upload slot.
	ResultRefused
	// ResultNotHeld means that the peer does not hold the chunk or the version.
	ResultNotHeld
	// ResultRateLimited means that the peer or the weight store asked to retry later.
	ResultRateLimited
)

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"ok", "corrupt", "failed", "refused", "not_held", "rate_limited"}[r]
}

// ChunkDone reports the end of a fetch. RetryAfter is used with ResultRateLimited, and Err
// is passed on in OriginFailed.
type ChunkDone struct {
	ID         FetchID
	Result     Result
	RetryAfter time.Duration
	Err        error
}

// SourceTurn states which fetches the version may start while another one is fetched over the same links. The adapter sends
// it when that changes.
type SourceTurn struct{ Turn Turn }

// Turn is what a version may fetch.
type Turn int

// Turns.
const (
	// TurnFull allows all fetches, as from the start.
	TurnFull Turn = iota
	// TurnPeers leaves the region's source to another version.
	TurnPeers
	// TurnNone leaves all links to another version. Held chunks are still served.
	TurnNone
)

// String returns the name of the turn.
func (t Turn) String() string { return [...]string{"full", "peers", "none"}[t] }

// UploadRequested is a peer's request for a chunk. The same step emits AcceptUpload or
// RefuseUpload for it.
type UploadRequested struct {
	ID    UploadID
	From  string
	Chunk int
}

// UploadProgress reports that bytes of an upload have been sent. The adapter may omit
// further events that follow within a second.
type UploadProgress struct{ ID UploadID }

// UploadFinished reports the end of an accepted upload, successful or not.
type UploadFinished struct{ ID UploadID }

// Tick runs the timers. The adapter sends it every Machine.TickInterval.
type Tick struct{}

// Withdrawn ends the distribution of the version. Later requests for uploads are refused,
// and all other later events are ignored.
type Withdrawn struct{}

func (MembersChanged) isEvent()  {}
func (BitmapReceived) isEvent()  {}
func (BitmapFailed) isEvent()    {}
func (ChunkProgress) isEvent()   {}
func (ChunkDone) isEvent()       {}
func (SourceTurn) isEvent()      {}
func (UploadRequested) isEvent() {}
func (UploadProgress) isEvent()  {}
func (UploadFinished) isEvent()  {}
func (Tick) isEvent()            {}
func (Withdrawn) isEvent()       {}

// Action is an output of a Machine.
type Action interface{ isAction() }

// FetchChunk requests a chunk from a peer, or from the weight store when From is Origin.
// The adapter reports the result with ChunkDone, unless CancelFetch comes first.
type FetchChunk struct {
	ID    FetchID
	Chunk int
	From  string
}

// CancelFetch ends a fetch; the adapter discards its bytes.
type CancelFetch struct{ ID FetchID }

// SendBitmap exchanges bitmaps with a peer.
type SendBitmap struct {
	To     string
	Bitmap weights.Bitmap
}

// AcceptUpload starts an upload.
type AcceptUpload struct{ ID UploadID }

// RefuseUpload refuses a request or ends a running upload. ChunkHeld is false when this VM
// does not hold the chunk or the version.
type RefuseUpload struct {
	ID        UploadID
	ChunkHeld bool
}

// Completed reports, once, that every chunk is held.
type Completed struct{}

// OriginFailed reports a failed fetch from the weight store.
type OriginFailed struct {
	ID    FetchID
	Chunk int
	// First is set for the first failure since the store last responded, if it ever did.
	First bool
	// TimedOut is set when the fetch made no progress for too long; Err is nil then.
	TimedOut bool
	Result   Result
	Err      error
	// Elapsed is the time since the fetch started.
	Elapsed time.Duration
}

// OriginRecovered reports the first response of the weight store after failed fetches.
type OriginRecovered struct {
	Chunk int
	// Failures is the number of failed fetches since the store last responded, and
	// OutageDuration the time since the first of them started.
	Failures       int
	OutageDuration time.Duration
}

func (FetchChunk) isAction()      {}
func (CancelFetch) isAction()     {}
func (SendBitmap) isAction()      {}
func (AcceptUpload) isAction()    {}
func (RefuseUpload) isAction()    {}
func (Completed) isAction()       {}
func (OriginFailed) isAction()    {}
func (OriginRecovered) isAction() {}
