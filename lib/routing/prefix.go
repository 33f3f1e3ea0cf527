package routing

import "slices"

const (
	// maxPrefixesPerEndpoint bounds the memory of the index.
	maxPrefixesPerEndpoint = 512
	// maxPrefixesPerRequest bounds the time of one decision.
	maxPrefixesPerRequest = 8
)

// PrefixEvent is a prefix-cache event of an engine. Events arrive late and with gaps.
type PrefixEvent struct {
	VM          string
	Incarnation Incarnation
	Sequence    uint64
	Stored      []uint64
	Evicted     []uint64
	// Cleared is set when the engine dropped its whole cache.
	Cleared bool
}

// prefixLog holds the prefixes known for one endpoint, the oldest first.
type prefixLog struct {
	hashes   []uint64
	sequence uint64
}

// prefixIndex maps the hash of a prefix to the endpoints that hold it.
type prefixIndex struct {
	holders map[uint64][]*endpoint
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{holders: map[uint64][]*endpoint{}}
}

// PrefixEventReceived applies a prefix-cache event. Events of another incarnation and
// events that are not newer than the last one are dropped. A gap drops nothing: the
// index is a hint, and a wrong hint costs one cache miss, after which it is correct.
func (t *Table) PrefixEventReceived(event PrefixEvent) {
	e := t.endpoints[event.VM]
	if e == nil || event.Incarnation != e.incarnation || event.Sequence <= e.prefixes.sequence {
		return
	}
	e.prefixes.sequence = event.Sequence
	if event.Cleared {
		t.prefixes.clear(e)
	}
	for _, hash := range event.Evicted {
		t.prefixes.evict(e, hash)
	}
	t.prefixes.store(e, event.Stored)
}

// learn records that a request with the given prefixes was sent to an endpoint.
func (x *prefixIndex) learn(e *endpoint, hashes []uint64) {
	x.store(e, hashes[:min(len(hashes), maxPrefixesPerRequest)])
}

func (x *prefixIndex) store(e *endpoint, hashes []uint64) {
	for _, hash := range hashes {
		if slices.Contains(x.holders[hash], e) {
			continue
		}
		if len(e.prefixes.hashes) == maxPrefixesPerEndpoint {
			x.evict(e, e.prefixes.hashes[0])
		}
		x.holders[hash] = append(x.holders[hash], e)
		e.prefixes.hashes = append(e.prefixes.hashes, hash)
	}
}

func (x *prefixIndex) evict(e *endpoint, hash uint64) {
	i := slices.Index(e.prefixes.hashes, hash)
	if i < 0 {
		return
	}
	e.prefixes.hashes = slices.Delete(e.prefixes.hashes, i, i+1)
	x.removeHolder(e, hash)
}

func (x *prefixIndex) removeHolder(e *endpoint, hash uint64) {
	holders := x.holders[hash]
	i := slices.Index(holders, e)
	if i < 0 {
		return
	}
	if len(holders) == 1 {
		delete(x.holders, hash)
		return
	}
	x.holders[hash] = slices.Delete(holders, i, i+1)
}

func (x *prefixIndex) clear(e *endpoint) {
	for _, hash := range e.prefixes.hashes {
		x.removeHolder(e, hash)
	}
	e.prefixes.hashes = e.prefixes.hashes[:0]
}

// forget drops the prefixes and the event sequence of an endpoint that restarted.
func (x *prefixIndex) forget(e *endpoint) {
	x.clear(e)
	e.prefixes.sequence = 0
}

// match marks the endpoints that hold a prefix of the request, with the share of the
// prompt's prefixes that they hold. It reports whether any endpoint matched.
func (x *prefixIndex) match(q *query) bool {
	prefixes := q.request.Prefixes
	prefixes = prefixes[:min(len(prefixes), maxPrefixesPerRequest)]
	matched := false
	for i, hash := range prefixes {
		share := float64(len(prefixes)-i) / float64(len(prefixes))
		for _, e := range x.holders[hash] {
			if e.affinityIn == q.id {
				continue
			}
			e.affinityIn = q.id
			e.affinity = share
			matched = true
		}
	}
	return matched
}
