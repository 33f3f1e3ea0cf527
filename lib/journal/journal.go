// Package journal makes non-idempotent requests run at most once. A request is
// identified by its workspace, service and idempotency key. Its intent is recorded on
// the platform before it runs, and its response afterwards.
//
// Shard is the deterministic state machine of one shard. It takes events and a clock
// value and returns the platform operations to perform. Journal is the adapter that
// performs them.
//
// Limits. A platform restored from an older copy loses the records that were written
// after the copy; only the live owner still has them in memory and writes them back.
// The owner needs verifyInterval and access to the platform to notice a restore.
// Another process waits longer than that before it takes over a shard, but it cannot
// detect a restore that hides writes of the last second while a takeover is under
// way, nor one after which the owner is cut off from the platform for longer than
// that wait. When the owner dies before it has written its records back, the head may
// name a segment that is missing; the shard then refuses all new keys, because running
// them could repeat requests of the lost segment. The number of shards of a service
// must not change within keyRetention, because a key's records stay in the shard that
// it hashed to.
package journal

import (
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
	"lukechampine.com/blake3"
)

const (
	// commitInterval is the shortest time between two writes of a shard.
	commitInterval = 50 * time.Millisecond
	// verifyInterval is the longest time for which an owner does not read its head.
	verifyInterval = 2 * time.Second
	// pollInterval is the time between two reads of a head that another process owns.
	pollInterval = time.Second
	// takeoverWait is how long a process observes an owned head before it takes over.
	takeoverWait = 5 * time.Second
	// vacantWait is how long a process observes a released or absent head before it takes
	// over. It exceeds verifyInterval, so an owner whose head was restored writes it back
	// first.
	vacantWait = 2500 * time.Millisecond
	// wantedPeriod is how long a process tries to own a shard after a request or claim.
	wantedPeriod = 10 * time.Second
	// maxBackoff bounds the time between two attempts on a failing platform.
	maxBackoff = 2 * time.Second
	// maxRetryAfter bounds the time that the platform may ask a shard to wait.
	maxRetryAfter = 30 * time.Second

	responseRetention = 24 * time.Hour
	keyRetention      = 7 * 24 * time.Hour
	// clockSlack is added to keyRetention before a record is forgotten. VM clocks can be
	// wrong by minutes, and a key must be refused as expired before its record is removed.
	clockSlack = time.Hour

	// maxInlineBytes is the size of the largest response body that is recorded.
	maxInlineBytes = 4 << 10
	// maxContentTypeBytes bounds the recorded content type; a longer one is recorded as empty.
	maxContentTypeBytes = 256
	// maxOpenBytes is the size of the head at which its records move to a segment.
	maxOpenBytes = 16 << 10
	// maxBatchBytes bounds one batch, so that head and batch stay below 1 MB.
	maxBatchBytes = 256 << 10
	// maxWaitingCalls bounds the callers of one shard that wait for the platform.
	maxWaitingCalls = 512
	// maxRunningRequests bounds the granted requests of one shard.
	maxRunningRequests = 1024
	// maxSegments is the number of segments at which the log is rewritten.
	maxSegments = 512
	// maxRecords and maxResponseBytes bound the keys and response bodies of one shard in
	// memory; the oldest responses are dropped first. A rewritten log and maxSegments
	// further segments then fit into one list response of the platform (64 MB).
	maxRecords       = 80_000
	maxResponseBytes = 4 << 20
)

// Key identifies a non-idempotent request.
type Key struct {
	Workspace      string
	Service        string
	IdempotencyKey string
}

// Digest identifies a body or a key. It is a truncated BLAKE3 hash.
type Digest [16]byte

// DigestOf returns the digest of bytes.
func DigestOf(data []byte) Digest {
	sum := blake3.Sum256(data)
	return Digest(sum[:16])
}

// MarshalText encodes the digest as hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText decodes hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	copy(d[:], decoded)
	return err
}

// hash returns the digest under which the key is recorded. The fields are separated by
// their lengths, so no two keys have the same input.
func (k Key) hash() Digest {
	var input []byte
	for _, field := range []string{k.Workspace, k.Service, k.IdempotencyKey} {
		input = append(input, byte(len(field)>>24), byte(len(field)>>16), byte(len(field)>>8), byte(len(field)))
		input = append(input, field...)
	}
	return DigestOf(input)
}

// ShardOf returns the shard of a key. Entries use it to find the owner.
func ShardOf(service, idempotencyKey string, shards int) int {
	if shards <= 1 {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(idempotencyKey)
	return int(digest.Sum64() % uint64(shards))
}

// Response is the HTTP response to a request.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// RecordedResponse is a response as the journal stores it. Bodies above 4 KB are recorded
// by size and digest only. The field names are keys of the stored JSON.
type RecordedResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// Omitted says that Body is not recorded; Size and BodyDigest describe it.
	Omitted    bool
	Size       int64
	BodyDigest Digest
}

func newRecordedResponse(response Response) *RecordedResponse {
	recorded := &RecordedResponse{
		Status:      response.Status,
		ContentType: response.ContentType,
		Size:        int64(len(response.Body)),
		BodyDigest:  DigestOf(response.Body),
	}
	if len(recorded.ContentType) > maxContentTypeBytes {
		recorded.ContentType = ""
	}
	if len(response.Body) > maxInlineBytes {
		recorded.Omitted = true
		return recorded
	}
	recorded.Body = append([]byte(nil), response.Body...)
	return recorded
}

// uuidTime returns the time in a UUIDv7 key, or false for keys of another form.
func uuidTime(key string) (time.Time, bool) {
	if len(key) != 36 || key[8] != '-' || key[13] != '-' || key[14] != '7' || key[18] != '-' || key[23] != '-' {
		return time.Time{}, false
	}
	decoded, err := hex.DecodeString(key[:8] + key[9:13])
	if err != nil {
		return time.Time{}, false
	}
	var millis int64
	for _, b := range decoded {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}
