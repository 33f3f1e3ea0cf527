// Package quarantine finds the requests on which workers crash, and blocks them: by a part of their
// prompt, or as a whole when it is always the same request that comes again.
//
// Each entry sees few of the crashes, so entries exchange what they saw: for each start of a
// worker that crashed, the names of the requests that were lost there before they had begun. A
// request has the names of the parts of its prompt and one of its own. A name that is in several
// crashes, and with which hardly any request has begun since, is blocked. Requests that share its
// caller, route or other parts are not.
//
// A request has begun when its stream has had its first event, or its response is complete.
//
// Tracker is a state machine without I/O. What it knows only grows, or is ordered by an epoch, so
// that all entries end up with the same in whatever order messages arrive. It is not safe for
// concurrent use.
package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// minCrashes is the number of crashes after which a name is blocked, and
	// minCrashesOfKnown the same for one with which at least knownRequests requests had
	// begun before. Crashes in one availability zone within sameCauseTime count as one: workers of a
	// zone that end together may do so for another reason than one request each.
	minCrashes        = 3
	sameCauseTime     = 250 * time.Millisecond
	minCrashesOfKnown = 5
	knownRequests     = 4
	// maxBegunPerCrash is the number of requests with a name for each of its crashes, all of them
	// counted, that may have begun since the first. Above it, the name is cleared.
	maxBegunPerCrash = 2
	// verdictDelay is the time from the last missing evidence to the block of a name. Within it
	// entries announce the requests with the name that have begun.
	verdictDelay = 300 * time.Millisecond
	// maxAnnounceDelay bounds the random delay of that announcement. An entry that hears of enough
	// such requests meanwhile says nothing.
	maxAnnounceDelay = 150 * time.Millisecond
	// announceFactor is the multiple of the requests that clear a part up to which entries announce
	// more: some of the messages are lost.
	announceFactor = 2
	// repeatDelay is the time after which a message is sent once more, as it may be lost.
	repeatDelay = 150 * time.Millisecond
	// lostTime is how long a lost request waits to be told apart from one of a lost connection.
	lostTime = 10 * time.Second
	// activeTime is how long entries compare what they know after they heard of a crash.
	activeTime = 30 * time.Second
)

// Bounds of the state.
const (
	maxCrashes            = 128
	maxPartsPerCrash      = 64
	maxRequestsPerCrash   = 128
	maxWorkspacesPerName  = 4
	maxLostStarts         = 256
	maxBlocks             = 256
	maxNamesPerBlock      = 8
	maxCountingEntries    = 64
	maxOutgoing           = 512
	maxKnownRequests      = 4096
	historyNamesPerPeriod = 4096
	historyPeriod         = 30 * time.Second
)

// Start identifies a start of a worker.
type Start struct {
	Address string
	// StartedAtMs is in milliseconds since 1970 UTC.
	StartedAtMs int64
}

// Suspect is a name of a request that was lost in a crash, and the workspaces of such requests.
type Suspect struct {
	Name       string
	Workspaces []string
}

// Crash is what is known of a crash of a worker.
type Crash struct {
	Start Start
	// Zone is the availability zone of the worker.
	Zone string
	// Age is how long the sender of a message has known of the crash.
	Age      time.Duration
	Suspects []Suspect
}

// Counts are the requests with a name that began at an entry before and after it first heard of
// a crash with the name.
type Counts struct {
	Name          string
	Entry         uint64
	Before, Since int64
}

// Block refuses requests that have all of its names: one whole request, or those whose prompt holds
// all of some parts, which have only occurred together.
type Block struct {
	// Names are sorted.
	Names []string
	// Workspaces are those whose requests are refused; empty for all. A workspace cannot block a
	// part for others by itself.
	Workspaces []string
	// Epoch orders blocks and releases of the same names.
	Epoch uint64
	// Released is set when the block has ended.
	Released bool
}

// Name returns the name of the block, which follows from the names that it holds.
func (b Block) Name() string { return strings.Join(b.Names, ".") }

// Holds reports whether the block has all of some names.
func (b Block) Holds(names []string) bool { return containsAll(b.Names, names) }

// applies reports whether the block refuses a request.
func (b Block) applies(names []string, workspace string) bool {
	if b.Released || (len(b.Workspaces) > 0 && !slices.Contains(b.Workspaces, workspace)) {
		return false
	}
	return containsAll(names, b.Names)
}

// covers reports whether the block refuses all requests that other refuses.
func (b Block) covers(other Block) bool {
	if b.Released || !containsAll(other.Names, b.Names) {
		return false
	}
	return len(b.Workspaces) == 0 || (len(other.Workspaces) > 0 && containsAll(b.Workspaces, other.Workspaces))
}

// valid reports whether a block that another process has sent makes sense.
func (b Block) valid() bool {
	isWholeRequest := slices.ContainsFunc(b.Names, IsRequestName)
	return len(b.Names) > 0 && len(b.Names) <= maxNamesPerBlock && !slices.Contains(b.Names, "") &&
		(!isWholeRequest || len(b.Names) == 1) && slices.IsSorted(b.Names) && len(b.Workspaces) <= maxWorkspacesPerName
}

func containsAll(all, some []string) bool {
	return !slices.ContainsFunc(some, func(item string) bool { return !slices.Contains(all, item) })
}

// Message is what entries tell one another.
type Message struct {
	Crashes []Crash
	Counts  []Counts
	Blocks  []Block
}

// Tracker holds what an entry knows about the requests on which workers may crash.
type Tracker struct {
	entry uint64
	rng   *rand.Rand
	// parts and requests are the histories of the two kinds of names, so that neither pushes
	// the other one out.
	parts, requests history
	// lost holds the names of the requests that were lost at a start of a worker which is not
	// known to have crashed, and crashedAt the starts that are.
	lost      map[Start]*lostRequests
	lostOrder []Start
	crashedAt map[Start]crashTime
	crashes   map[Start]*crash
	// crashOrder holds the crashes in the order in which they became known.
	crashOrder []Start
	tallies    map[string]*tally
	// partsOf holds the names of the parts of the whole requests that were lost at this entry.
	partsOf map[string][]string
	// lostAt and lastLostAt hold the first start of a worker at which requests with each name were lost, of
	// the current and the last names.
	lostAt, lastLostAt map[string]Start
	blocks             map[string]Block
	outgoing           []outgoing
	// lastCrashAt is when a crash last became known.
	lastCrashAt time.Time
	// changed is set when there is new evidence. decideAt is when the evidence against a name will
	// have been sufficient for verdictDelay; zero for never.
	changed  bool
	decideAt time.Time
	trials   map[string]*trial
	// found holds the names of the blocks that are known to follow from crashes, and not from an operator.
	found map[string]bool
}

// lostRequests are the suspects of a start that is not known to have crashed.
type lostRequests struct {
	// at and lastAt are when the first and the last of them was lost.
	at, lastAt time.Time
	suspects   []Suspect
}

// crash holds the suspects of a crash by their name.
type crash struct {
	crashTime
	suspects map[string]*suspicion
	// requests is the number of whole requests among them.
	requests int
	// excused is set if the cause is likely to be another than one of them.
	excused bool
}

// crashTime is when and where a worker crashed.
type crashTime struct {
	at   time.Time
	zone string
}

type suspicion struct {
	workspaces []string
	// released is set for the crashes that were known when a block of the name was released.
	released bool
}

// tally counts the requests with a suspected name.
type tally struct {
	// own are the requests that began at this entry, announced those of them that other entries
	// were told, and counts those that other entries have announced.
	own, announced Counts
	counts         map[uint64]Counts
	// announceAt is when own is announced; zero for no plan.
	announceAt time.Time
	// sufficientSince is when the evidence became sufficient; zero while it is not.
	sufficientSince time.Time
}

// outgoing is a message with the time at which it is sent.
type outgoing struct {
	at      time.Time
	message Message
}

// New returns a tracker of an entry. The identity must differ between the starts of all entries.
func New(entry uint64, rng *rand.Rand) *Tracker {
	return &Tracker{
		entry: entry, rng: rng, parts: newHistory(), requests: newHistory(), lost: make(map[Start]*lostRequests), crashedAt: make(map[Start]crashTime),
		crashes: make(map[Start]*crash), tallies: make(map[string]*tally), partsOf: make(map[string][]string), lostAt: make(map[string]Start),
		blocks: make(map[string]Block), trials: make(map[string]*trial), found: make(map[string]bool),
	}
}

// Match returns the block that refuses a request.
func (t *Tracker) Match(names []string, workspace string) (Block, bool) {
	if len(t.blocks) == 0 || len(names) == 0 {
		return Block{}, false
	}
	for _, b := range t.blocks {
		if b.applies(names, workspace) {
			return b, true
		}
	}
	return Block{}, false
}

// Blocks returns the blocks and the releases in the order of their names.
func (t *Tracker) Blocks() []Block {
	list := make([]Block, 0, len(t.blocks))
	for _, b := range t.blocks {
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b Block) int { return cmp.Compare(a.Name(), b.Name()) })
	return list
}

// Knows reports whether there is a block of a name, or a release.
func (t *Tracker) Knows(name string) bool {
	_, ok := t.blocks[name]
	return ok
}

// IsCovered reports whether another block refuses all requests that a block refuses.
func (t *Tracker) IsCovered(b Block) bool {
	for name, other := range t.blocks {
		if name != b.Name() && other.covers(b) {
			return true
		}
	}
	return false
}

// InForce returns the number of blocks that have not ended.
func (t *Tracker) InForce() int {
	count := 0
	for _, b := range t.blocks {
		if !b.Released {
			count++
		}
	}
	return count
}

// BlocksRequests reports whether a whole request is blocked, so that Match needs the names of others.
func (t *Tracker) BlocksRequests() bool {
	for _, b := range t.blocks {
		if !b.Released && IsRequestName(b.Names[0]) {
			return true
		}
	}
	return false
}

// Active reports whether a crash became known recently, so that entries should compare what they
// know.
func (t *Tracker) Active(now time.Time) bool {
	return !t.lastCrashAt.IsZero() && now.Sub(t.lastCrashAt) < activeTime
}

// Pending reports whether Advance has something to do soon. It must be called now and then in any
// case.
func (t *Tracker) Pending() bool {
	if t.changed || !t.decideAt.IsZero() || len(t.outgoing) > 0 {
		return true
	}
	for _, p := range t.tallies {
		if !p.announceAt.IsZero() {
			return true
		}
	}
	return false
}

// Advance decides on blocks and returns the messages that are due.
func (t *Tracker) Advance(now time.Time) []Message {
	t.forgetLost(now)
	t.planAnnouncements(now)
	t.decide(now)
	var due []Message
	t.outgoing = slices.DeleteFunc(t.outgoing, func(o outgoing) bool {
		if o.at.After(now) {
			return false
		}
		due = append(due, o.message)
		return true
	})
	return due
}

// send plans a message for now and once more after repeatDelay.
func (t *Tracker) send(message Message, now time.Time) {
	for _, at := range []time.Time{now, now.Add(repeatDelay)} {
		if len(t.outgoing) < maxOutgoing {
			t.outgoing = append(t.outgoing, outgoing{at, message})
		}
	}
}

// State returns all that another entry may need to know.
func (t *Tracker) State(now time.Time) Message {
	message := Message{Blocks: t.Blocks()}
	for _, start := range t.crashOrder {
		message.Crashes = append(message.Crashes, t.crashes[start].message(start, now))
	}
	for _, p := range t.tallies {
		if p.own.Before+p.own.Since > 0 {
			message.Counts = append(message.Counts, p.own)
		}
		for _, counts := range p.counts {
			message.Counts = append(message.Counts, counts)
		}
	}
	slices.SortFunc(message.Counts, func(a, b Counts) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Entry, b.Entry))
	})
	return message
}
