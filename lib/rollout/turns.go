package rollout

import (
	"time"

	"laburnumgw/lib/startwait"
	"laburnumgw/lib/swarm"
)

const (
	// tailShare is the share of a copy on the link of a VM that the last chunks of a version take besides.
	tailShare = 0.5
	// closingShare is the share of the chunks that the region's source still sends of a version while the next one begins.
	closingShare = 1.0 / 16
	// A version may have the links for stallTime, or for stallChunks times what the source needs for a chunk, without a
	// further chunk while another one waits.
	stallTime   = time.Second
	stallChunks = 4
)

// Links are what the links of the fleet allow.
type Links struct {
	// Source is how long the source of the region sends a copy, and Copy how long the link of a VM takes one.
	Source, Copy time.Duration
}

// Turns returns what each of the targets, in ascending order, may fetch. Versions named close to each other would share the
// links and all arrive late. The older one goes first if it serves until the newer one is there; it is left to the newer one
// if that arrives in time by itself, or if the older one would come too late to serve.
func Turns(s Settings, links Links, loadTime time.Duration, targets []Target, now time.Time) []swarm.Turn {
	turns := make([]swarm.Turn, len(targets))
	last := len(targets) - 1
	if last < 1 {
		return turns
	}
	older, newer := &targets[last-1], &targets[last]
	for i := range last - 1 {
		turns[i] = swarm.TurnNone
	}
	switch {
	case older.Complete:
	case newer.Complete:
		turns[last-1] = swarm.TurnNone
	case s.newerFirst(links, loadTime, *older, *newer, now):
		if !newer.stalled(links, now) {
			turns[last-1] = swarm.TurnNone
		}
	case older.missingAtSource() > closingShare && !older.stalled(links, now):
		turns[last] = swarm.TurnPeers
	}
	return turns
}

// newerFirst reports whether the links are better used for the newer one of two incomplete versions.
func (s Settings) newerFirst(links Links, loadTime time.Duration, older, newer Target, now time.Time) bool {
	ends, olderEnds := startwait.SendingEnds(older.NamedAt, s.Bound), startwait.SendingEnds(newer.NamedAt, s.Bound)
	olderArrives, newerArrives := now.Add(older.remaining(links)), now.Add(newer.remaining(links))
	slack := time.Duration(0)
	if older.Turn == swarm.TurnNone {
		slack = s.Notice // not taken back for a little less than expected
	}
	behind := time.Duration(older.missingAtSource() * float64(links.Source))
	switch {
	case !newerArrives.Add(behind + loadTime).After(ends):
		return false // both arrive in time
	case !newerArrives.Add(loadTime).After(ends.Add(slack)):
		return true
	case !olderArrives.Add(loadTime).Before(olderEnds):
		return true
	}
	return newerArrives.Sub(olderArrives) < s.Notice
}

// Expendable returns which of the targets, in ascending order, is given up for the newest one: the oldest, or the one after it
// if the oldest may still serve, is the only complete one, and a worker that serves an older version is still to load it.
func Expendable(s Settings, served int, targets []Target, now time.Time) int {
	if len(targets) < 3 || !targets[0].Complete || served == 0 || targets[0].Version <= served {
		return 0
	}
	for _, newer := range targets[1:] {
		if newer.Complete {
			return 0
		}
	}
	if !now.Before(startwait.SendingEnds(targets[1].NamedAt, s.Bound)) {
		return 0
	}
	return 1
}

// missingAtSource returns the share of the chunks that the region lacks.
func (t Target) missingAtSource() float64 { return missing(max(t.Held, t.Available), t.Chunks) }

// remaining returns how long the version takes to arrive with the links to itself.
func (t Target) remaining(links Links) time.Duration {
	left := missing(t.Held, t.Chunks) * float64(links.Copy)
	return time.Duration(max(t.missingAtSource()*float64(links.Source), left) + tailShare*left)
}

func missing(held, chunks int) float64 { return 1 - float64(held)/float64(max(chunks, 1)) }

// stalled reports whether no chunk of the version has reached the region for a while.
func (t Target) stalled(links Links, now time.Time) bool {
	allowed := max(stallTime, stallChunks*links.Source/time.Duration(max(t.Chunks, 1)))
	return now.Sub(maxTime(t.OpenedAt, t.AvailableAt)) >= allowed
}
