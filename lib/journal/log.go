package journal

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"laburnumgw/lib/platform"
)

// entryKind is the type of a log entry.
type entryKind string

const (
	// entryIntent states that the request of the key may run. Without a later entry of
	// the key its outcome is unknown to every other owner.
	entryIntent entryKind = "i"
	// entryResponse records the response to the request of the key.
	entryResponse entryKind = "a"
	// entryVoid cancels an intent that was never run; the key may run later.
	entryVoid entryKind = "v"
)

// logEntry is one record of the log.
type logEntry struct {
	Kind     entryKind         `json:"t"`
	Key      Digest            `json:"k"`
	Body     Digest            `json:"d,omitzero"`
	At       int64             `json:"at"`
	Response *RecordedResponse `json:"r,omitempty"`
}

// estimatedSize estimates the encoded size in bytes: base64 adds a third to the body.
func (e logEntry) estimatedSize() int {
	const fixed = 128
	if e.Response == nil {
		return fixed
	}
	return 2*fixed + len(e.Response.ContentType) + len(e.Response.Body)*4/3
}

// segmentRange is a range of segment numbers, both ends included.
type segmentRange struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
}

// head is the object that names the owner of a shard and holds its open segment.
type head struct {
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	Batch       uint64 `json:"batch"`
	// Segments lists the closed segments. Other numbers belong to no log: they were
	// created by owners whose update of the head failed.
	Segments []segmentRange `json:"segments,omitempty"`
	Next     uint64         `json:"next"`
	Open     []logEntry     `json:"open,omitempty"`
}

// sameWrite reports whether two heads are the same batch of the same owner.
func (h head) sameWrite(other head) bool {
	return h.sameOwner(other) && h.Batch == other.Batch
}

func (h head) sameOwner(other head) bool {
	return h.Owner == other.Owner && h.Incarnation == other.Incarnation && h.Epoch == other.Epoch
}

// segment is a closed part of the log.
type segment struct {
	Entries []logEntry `json:"entries"`
}

// encode marshals a head or segment; these types cannot fail to encode.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode journal object: %v", err))
	}
	return data
}

// appendSegmentNumber adds a segment number that is higher than all numbers before.
func appendSegmentNumber(ranges []segmentRange, n uint64) []segmentRange {
	ranges = slices.Clone(ranges)
	if last := len(ranges) - 1; last >= 0 && ranges[last].Last+1 == n {
		ranges[last].Last = n
		return ranges
	}
	return append(ranges, segmentRange{n, n})
}

// removeFirstSegment removes the lowest segment number.
func removeFirstSegment(ranges []segmentRange) []segmentRange {
	ranges = slices.Clone(ranges)
	if ranges[0].First == ranges[0].Last {
		return ranges[1:]
	}
	ranges[0].First++
	return ranges
}

func segmentKey(prefix string, n uint64) string { return fmt.Sprintf("%ssegment/%010d", prefix, n) }

// closedSegment identifies a segment object for later checks and its deletion.
type closedSegment struct {
	number  uint64
	key     string
	version int64
	// newestAt is the time of the newest entry, in Unix seconds.
	newestAt int64
}

func newestTime(entries []logEntry) int64 {
	var newest int64
	for _, e := range entries {
		newest = max(newest, e.At)
	}
	return newest
}

// readLog decodes the segments that the head lists, in order, and then its open
// segment. It returns the entries, the segments that the head lists, and the objects
// that belong to no log.
func readLog(prefix string, h head, objects []platform.Object) ([]logEntry, []closedSegment, []closedSegment, error) {
	byNumber := make(map[uint64]platform.Object, len(objects))
	for _, object := range objects {
		n, err := strconv.ParseUint(strings.TrimPrefix(object.Key, prefix+"segment/"), 10, 64)
		if err != nil {
			return nil, nil, nil, fmt.Errorf("segment name %q: %w", object.Key, err)
		}
		byNumber[n] = object
	}
	var entries []logEntry
	var segments []closedSegment
	for _, r := range h.Segments {
		for n := r.First; n <= r.Last; n++ {
			object, ok := byNumber[n]
			if !ok {
				return nil, nil, nil, fmt.Errorf("segment %d of %s is missing", n, prefix)
			}
			delete(byNumber, n)
			var part segment
			if err := json.Unmarshal(object.Value, &part); err != nil {
				return nil, nil, nil, fmt.Errorf("decode %s: %w", object.Key, err)
			}
			entries = append(entries, part.Entries...)
			segments = append(segments, closedSegment{n, object.Key, object.Version, newestTime(part.Entries)})
		}
	}
	var orphans []closedSegment
	for n, object := range byNumber {
		orphans = append(orphans, closedSegment{number: n, key: object.Key, version: object.Version})
	}
	slices.SortFunc(orphans, func(a, b closedSegment) int { return strings.Compare(a.key, b.key) })
	return append(entries, h.Open...), segments, orphans, nil
}
