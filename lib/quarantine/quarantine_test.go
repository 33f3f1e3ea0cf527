package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var epoch = time.Unix(1_000_000, 0)

func at(after time.Duration) time.Time { return epoch.Add(after) }

func newTracker(entry uint64) *Tracker { return New(entry, rand.New(rand.NewPCG(entry, 1))) }

// crashOf makes trackers lose a request each at a worker that crashes.
func crashOf(worker int, when time.Time, workspace string, parts []string, trackers ...*Tracker) {
	start := Start{fmt.Sprintf("w%d", worker), int64(worker)}
	for _, t := range trackers {
		t.Lost(start, parts, workspace, when)
		t.Crashed(start, "a", when)
	}
}

// exchange delivers the messages of all trackers until a time.
func exchange(from, to time.Time, trackers ...*Tracker) {
	for now := from; !now.After(to); now = now.Add(10 * time.Millisecond) {
		for i, t := range trackers {
			for _, message := range t.Advance(now) {
				for j, other := range trackers {
					if i != j {
						other.Merge(message, now)
					}
				}
			}
		}
	}
}

func blocks(t *Tracker, workspace string, parts ...string) bool {
	_, blocked := t.Match(parts, workspace)
	return blocked
}

// Guards against a crash that counts once for each entry that saw it.
func TestCrashSeenByThreeEntriesCountsOnce(t *testing.T) {
	Convey("Two crashes that three entries saw are two", t, func() {
		fleet := []*Tracker{newTracker(1), newTracker(2), newTracker(3)}
		for n := range 2 {
			when := at(time.Duration(n) * time.Second)
			crashOf(n, when, "a", []string{"x"}, fleet...)
			exchange(when, when.Add(900*time.Millisecond), fleet...)
		}
		for _, tracker := range fleet {
			So(tracker.crashCount("x"), ShouldEqual, 2)
			So(blocks(tracker, "a", "x"), ShouldBeFalse)
		}
	})
}

// Guards against evidence that stays with the entry that saw it, and that an entry which starts or
// was cut off does not get.
func TestEntriesThatEachSawOneCrashBlockThePart(t *testing.T) {
	Convey("Given four entries that each saw one of four crashes", t, func() {
		fleet := []*Tracker{newTracker(1), newTracker(2), newTracker(3), newTracker(4)}
		reached := fleet
		play := func(lost map[int]bool) {
			for n, tracker := range fleet {
				when := at(time.Duration(n) * time.Second)
				crashOf(n, when, fmt.Sprint("ws-", n), []string{"system", "x"}, tracker)
				for range 20 {
					tracker.Began([]string{"system"}, when)
				}
				if !lost[n] {
					exchange(when, when.Add(900*time.Millisecond), reached...)
				}
			}
			exchange(at(4*time.Second), at(5*time.Second), reached...)
		}
		Convey("all of them block it, for all workspaces, and nothing else", func() {
			play(nil)
			for _, tracker := range fleet {
				So(blocks(tracker, "other", "y", "x"), ShouldBeTrue)
				So(blocks(tracker, "ws-1", "system"), ShouldBeFalse)
			}
		})
		Convey("one that was cut off blocks it once it hears of the others", func() {
			reached = fleet[:3]
			play(nil)
			So(blocks(fleet[3], "other", "x"), ShouldBeFalse)
			fleet[3].Merge(fleet[0].State(at(6*time.Second)), at(6*time.Second))
			So(blocks(fleet[3], "other", "x"), ShouldBeTrue)
		})
		Convey("one that starts blocks it, also if the block itself was not known yet", func() {
			for n := range 3 {
				crashOf(n, at(time.Duration(n)*time.Second), fmt.Sprint(n), []string{"x"}, fleet[0])
			}
			started := newTracker(9)
			started.Merge(fleet[0].State(at(2100*time.Millisecond)), at(2100*time.Millisecond))
			exchange(at(2100*time.Millisecond), at(3*time.Second), started)
			So(blocks(started, "other", "x"), ShouldBeTrue)
		})
	})
}

// Guards against a caller who has a part of another one blocked by naming it beside parts that
// crash workers.
func TestCallerCannotBlockThePartOfAnother(t *testing.T) {
	Convey("Given a workspace that names another's part in each request that crashes a worker", t, func() {
		tracker := newTracker(1)
		for n := range 6 {
			when := at(time.Duration(n) * time.Second)
			crashOf(n, when, "attacker", []string{"victim", fmt.Sprint("deadly-", n)}, tracker)
			exchange(when, when.Add(900*time.Millisecond), tracker)
		}
		Convey("the other's requests are served", func() { So(blocks(tracker, "other", "victim"), ShouldBeFalse) })
	})
	Convey("Given a deadly part that always comes with the same other one", t, func() {
		tracker := newTracker(1)
		for n := range 3 {
			when := at(time.Duration(n) * time.Second)
			crashOf(n, when, fmt.Sprint(n), []string{"decoy", "x"}, tracker)
			exchange(when, when.Add(900*time.Millisecond), tracker)
		}
		Convey("both together are blocked, and neither alone", func() {
			So(blocks(tracker, "a", "decoy", "x"), ShouldBeTrue)
			So(blocks(tracker, "a", "decoy"), ShouldBeFalse)
		})
		Convey("one more crash without the other blocks the deadly one alone", func() {
			crashOf(9, at(5*time.Second), "z", []string{"x"}, tracker)
			exchange(at(5*time.Second), at(6*time.Second), tracker)
			So(blocks(tracker, "a", "x"), ShouldBeTrue)
			So(blocks(tracker, "a", "decoy"), ShouldBeFalse)
		})
	})
}

// Guards against lost connections that count as crashes: a fault of the network, a version or a
// planned stop.
func TestLostConnectionIsNoCrash(t *testing.T) {
	Convey("Requests that are lost without a crash of their worker block nothing", t, func() {
		tracker := newTracker(1)
		for n := range 20 {
			when := at(time.Duration(n) * time.Second)
			tracker.Lost(Start{fmt.Sprint("w", n), 1}, []string{"x"}, "a", when)
			So(tracker.Advance(when), ShouldBeEmpty)
		}
		So(tracker.crashes, ShouldBeEmpty)
		So(blocks(tracker, "a", "x"), ShouldBeFalse)
	})
	Convey("The notice of a crash may come before or after the loss", t, func() {
		for _, noticeFirst := range []bool{true, false} {
			tracker := newTracker(1)
			start := Start{"w", 1}
			if noticeFirst {
				tracker.Crashed(start, "a", at(0))
			}
			tracker.Lost(start, []string{"x"}, "a", at(0))
			tracker.Crashed(start, "a", at(time.Second))
			So(tracker.crashCount("x"), ShouldEqual, 1)
		}
	})
}

// Guards against a release that old evidence undoes, and against a released part that cannot be
// blocked again.
func TestReleaseHolds(t *testing.T) {
	Convey("Given a blocked part that an operator releases at one entry", t, func() {
		fleet := []*Tracker{newTracker(1), newTracker(2)}
		for n := range 3 {
			when := at(time.Duration(n) * time.Second)
			crashOf(n, when, fmt.Sprint(n), []string{"x"}, fleet[0])
			exchange(when, when.Add(900*time.Millisecond), fleet...)
		}
		So(blocks(fleet[1], "a", "x"), ShouldBeTrue)
		stale := fleet[1].State(at(3 * time.Second))
		So(fleet[0].Release("x", at(3*time.Second)), ShouldBeTrue)
		exchange(at(3*time.Second), at(4*time.Second), fleet...)
		Convey("both let it pass, whatever a late message says", func() {
			fleet[0].Merge(stale, at(5*time.Second))
			exchange(at(5*time.Second), at(6*time.Second), fleet...)
			So(blocks(fleet[0], "a", "x"), ShouldBeFalse)
			So(blocks(fleet[1], "a", "x"), ShouldBeFalse)
		})
		Convey("three more crashes block it again", func() {
			for n := 10; n < 13; n++ {
				when := at(time.Duration(n) * time.Second)
				crashOf(n, when, fmt.Sprint(n), []string{"x"}, fleet[1])
				exchange(when, when.Add(900*time.Millisecond), fleet...)
			}
			So(blocks(fleet[0], "a", "x"), ShouldBeTrue)
		})
	})
}

// Guards against trials of each entry, and against more of them than the bound in a day.
func TestTrialsAreBounded(t *testing.T) {
	Convey("A block is tried MaxTrials times at most, after growing pauses", t, func() {
		tracker := newTracker(1)
		tracker.SetBlock([]string{"x"}, nil, at(0))
		tracker.RecordTrials("x", 0, at(0))
		claimed := 0
		for minute := range 7 * 24 * 60 {
			now := at(time.Duration(minute) * time.Minute)
			if tracker.ClaimTrial("x", now) {
				claimed++
				So(tracker.ClaimTrial("x", now), ShouldBeFalse)
				So(now.Sub(epoch), ShouldBeGreaterThanOrEqualTo, firstTrialAfter)
				tracker.RecordTrials("x", claimed, now)
			}
		}
		So(claimed, ShouldEqual, MaxTrials)
	})
	Convey("A refusal tells when the next trial may be", t, func() {
		tracker := newTracker(1)
		tracker.RecordTrials("x", 0, at(0))
		So(tracker.RetryAfter("x", at(10*time.Minute)), ShouldEqual, 50*time.Minute)
	})
}

// Guards against state and messages that grow with what callers send.
func TestStateIsBounded(t *testing.T) {
	Convey("However many parts, crashes and blocks there are, the state keeps its bounds", t, func() {
		tracker := newTracker(1)
		for n := range 2000 {
			when := at(time.Duration(n) * 300 * time.Millisecond)
			parts := make([]string, 32)
			for i := range parts {
				parts[i] = fmt.Sprint(n, "-", i)
			}
			tracker.Began(parts, when)
			for i := range 8 {
				tracker.Lost(Start{fmt.Sprint("w", n), 1}, append(parts, fmt.Sprint("more", i)), fmt.Sprint("ws", i), when)
			}
			if n%2 == 0 {
				tracker.Crashed(Start{fmt.Sprint("w", n), 1}, "a", when)
			}
			tracker.MergeBlock(Block{Names: []string{fmt.Sprint("blocked-", n)}, Epoch: 1})
			tracker.Advance(when)
		}
		So(len(tracker.crashes), ShouldBeLessThanOrEqualTo, maxCrashes)
		So(len(tracker.tallies), ShouldBeLessThanOrEqualTo, maxCrashes*(maxPartsPerCrash+maxRequestsPerCrash))
		So(len(tracker.lost), ShouldBeLessThanOrEqualTo, maxLostStarts)
		So(len(tracker.blocks), ShouldBeLessThanOrEqualTo, maxBlocks)
		So(len(tracker.parts.current), ShouldBeLessThanOrEqualTo, historyNamesPerPeriod+32)
		So(len(tracker.outgoing), ShouldBeLessThanOrEqualTo, maxOutgoing)
	})
	Convey("Messages without sense change nothing", t, func() {
		tracker := newTracker(1)
		tracker.Merge(Message{
			Crashes: []Crash{{}, {Start: Start{"w", 1}, Age: -time.Hour, Suspects: []Suspect{{}}}},
			Counts:  []Counts{{Name: "x", Entry: 2, Since: -1}},
			Blocks:  []Block{{}, {Names: []string{""}, Epoch: 1}, {Names: []string{"b", "a"}, Epoch: 1}, {Names: []string{"x"}, Epoch: 1 << 63}},
		}, at(0))
		So(tracker.Blocks(), ShouldBeEmpty)
		So(tracker.tallies, ShouldBeEmpty)
	})
}
