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

// FetchID identifies one fetch of one Machine. It is never used again.
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
// response to SendBitmap. The adapter answers each request with Machine.Held.
type BitmapReceived struct {
	From   string
	Bitmap weights.Bitmap
}

// BitmapFailed reports that SendBitmap got no response.
type BitmapFailed struct{ To string }

// ChunkProgress reports that bytes of a fetch have arrived. The adapter sends it for
// the first piece and may omit those that follow within a second.
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
	// ResultRateLimited means that the source asked to retry later.
	ResultRateLimited
)

// String names the result.
func (r Result) String() string {
	return [...]string{"ok", "corrupt", "failed", "refused", "not_held", "rate_limited"}[r]
}

// ChunkDone ends a fetch. RetryAfter is used with ResultRateLimited, and Err is passed on
// in SourceFailed.
type ChunkDone struct {
	ID         FetchID
	Result     Result
	RetryAfter time.Duration
	Err        error
}

// UploadRequested asks for a chunk. It is answered at once with AcceptUpload or
// RefuseUpload.
type UploadRequested struct {
	ID    UploadID
	From  string
	Chunk int
}

// UploadProgress reports that bytes of an upload have been sent. The adapter may
// omit those that follow within a second.
type UploadProgress struct{ ID UploadID }

// UploadFinished ends an accepted upload, successful or not.
type UploadFinished struct{ ID UploadID }

// Tick lets timers run. The adapter sends it every Machine.TickInterval.
type Tick struct{}

// Withdrawn ends the distribution of the version. All later events are ignored.
type Withdrawn struct{}

func (MembersChanged) isEvent()  {}
func (BitmapReceived) isEvent()  {}
func (BitmapFailed) isEvent()    {}
func (ChunkProgress) isEvent()   {}
func (ChunkDone) isEvent()       {}
func (UploadRequested) isEvent() {}
func (UploadProgress) isEvent()  {}
func (UploadFinished) isEvent()  {}
func (Tick) isEvent()            {}
func (Withdrawn) isEvent()       {}

// Action is an output of a Machine.
type Action interface{ isAction() }

// FetchChunk asks for a chunk of a peer, or of the weight store when From is Origin.
// The adapter answers with ChunkDone, unless CancelFetch comes first.
type FetchChunk struct {
	ID    FetchID
	Chunk int
	From  string
}

// CancelFetch ends a fetch; the adapter drops its bytes.
type CancelFetch struct{ ID FetchID }

// SendBitmap exchanges bitmaps with a peer.
type SendBitmap struct {
	To     string
	Bitmap weights.Bitmap
}

// AcceptUpload starts an upload.
type AcceptUpload struct{ ID UploadID }

// RefuseUpload refuses a request or ends an upload that runs. Held is false when this VM does
// not hold the chunk.
type RefuseUpload struct {
	ID        UploadID
	ChunkHeld bool
}

// Completed reports, once, that every chunk is held.
type Completed struct{}

// SourceFailed reports a fetch from the weight store that has failed.
type SourceFailed struct {
	ID    FetchID
	Chunk int
	// First is set when the fetch before it was answered.
	First bool
	// TimedOut is set when the time for the fetch ran out; Err is nil then.
	TimedOut bool
	Result   Result
	Err      error
	// Elapsed is the time since the fetch began.
	Elapsed time.Duration
}

// SourceRecovered reports the first answer of the weight store after fetches that failed.
type SourceRecovered struct {
	Chunk int
	// Failures is the number of fetches that have failed, and After the time since the
	// first of them began.
	Failures       int
	OutageDuration time.Duration
}

func (FetchChunk) isAction()      {}
func (CancelFetch) isAction()     {}
func (SendBitmap) isAction()      {}
func (AcceptUpload) isAction()    {}
func (RefuseUpload) isAction()    {}
func (Completed) isAction()       {}
func (SourceFailed) isAction()    {}
func (SourceRecovered) isAction() {}
