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
	// entryIntent says that the key may run. Without a later entry of the key its
	// outcome is unknown to every other owner.
	entryIntent entryKind = "i"
	// entryAnswer records the answer of the key.
	entryAnswer entryKind = "a"
	// entryVoid cancels an intent that was never run; the key may run later.
	entryVoid entryKind = "v"
)

// entry is one record of the log.
type entry struct {
	Kind   entryKind         `json:"t"`
	Key    Digest            `json:"k"`
	Body   Digest            `json:"d,omitzero"`
	At     int64             `json:"at"`
	Answer *RecordedResponse `json:"r,omitempty"`
}

// size estimates the encoded size: base64 adds a third to the body.
func (e entry) size() int {
	const fixed = 128
	if e.Answer == nil {
		return fixed
	}
	return 2*fixed + len(e.Answer.ContentType) + len(e.Answer.Body)*4/3
}

// run is a range of segment numbers, both ends included.
type run struct {
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
	Segments []run   `json:"segments,omitempty"`
	Next     uint64  `json:"next"`
	Open     []entry `json:"open,omitempty"`
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
	Entries []entry `json:"entries"`
}

// encode marshals a head or segment; these types cannot fail to encode.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode journal object: %v", err))
	}
	return data
}

// appendRun adds a segment number that is higher than all numbers before.
func appendRun(runs []run, n uint64) []run {
	runs = slices.Clone(runs)
	if last := len(runs) - 1; last >= 0 && runs[last].Last+1 == n {
		runs[last].Last = n
		return runs
	}
	return append(runs, run{n, n})
}

// removeFirst removes the lowest segment number.
func removeFirst(runs []run) []run {
	runs = slices.Clone(runs)
	if runs[0].First == runs[0].Last {
		return runs[1:]
	}
	runs[0].First++
	return runs
}

func segmentKey(prefix string, n uint64) string { return fmt.Sprintf("%ssegment/%010d", prefix, n) }

// closed describes a segment for its later deletion.
type closed struct {
	number  uint64
	key     string
	version int64
	newest  int64
}

func newestOf(entries []entry) int64 {
	var newest int64
	for _, e := range entries {
		newest = max(newest, e.At)
	}
	return newest
}

// readLog decodes the segments that the head lists, in order, and then its open
// segment. The second result lists objects that belong to no log.
func readLog(prefix string, h head, objects []platform.Object) ([]entry, []closed, []closed, error) {
	byNumber := make(map[uint64]platform.Object, len(objects))
	for _, object := range objects {
		n, err := strconv.ParseUint(strings.TrimPrefix(object.Key, prefix+"segment/"), 10, 64)
		if err != nil {
			return nil, nil, nil, fmt.Errorf("segment name %q: %w", object.Key, err)
		}
		byNumber[n] = object
	}
	var entries []entry
	var segments []closed
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
			segments = append(segments, closed{n, object.Key, object.Version, newestOf(part.Entries)})
		}
	}
	var orphans []closed
	for n, object := range byNumber {
		orphans = append(orphans, closed{number: n, key: object.Key, version: object.Version})
	}
	slices.SortFunc(orphans, func(a, b closed) int { return strings.Compare(a.key, b.key) })
	return append(entries, h.Open...), segments, orphans, nil
}
