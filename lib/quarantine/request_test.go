package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func wholeRequest(body string) string { return RequestName("a.example", "/x", "ws", []byte(body)) }

// Guards against two requests with one name, so that one of them has the other one blocked.
func TestRequestNamesDiffer(t *testing.T) {
	Convey("Given requests that differ in one field, or in where a field ends", t, func() {
		names := make(map[string]bool)
		for _, r := range [][4]string{
			{"h", "/p", "w", "b"}, {"i", "/p", "w", "b"}, {"h", "/q", "w", "b"}, {"h", "/p", "v", "b"}, {"h", "/p", "w", "c"}, {"h", "/p", "w", ""},
			{"h/", "p", "w", "b"}, {"h", "/pw", "", "b"}, {"h", "/p", "", "wb"}, {"", "h/p", "w", "b"}, {"h", "/p", "wb", ""},
		} {
			name := RequestName(r[0], r[1], r[2], []byte(r[3]))
			So(IsRequestName(name), ShouldBeTrue)
			So(names[name], ShouldBeFalse)
			names[name] = true
		}
		Convey("the same request has the same name", func() { So(wholeRequest("b"), ShouldEqual, wholeRequest("b")) })
	})
	Convey("Other names are no requests", t, func() {
		for _, name := range []string{"", "0bad", "hash-0123456789abcdef", "request-", "request-0bad", wholeRequest("b")[1:], wholeRequest("b") + "0", "request-" + "0123456789ABCDEF0123456789abcdef"} {
			So(IsRequestName(name), ShouldBeFalse)
		}
	})
}

// Guards against a block that no request can match, and against one that refuses more than the
// request that crashes workers.
func TestWholeRequestIsBlockedAlone(t *testing.T) {
	deadly, other := wholeRequest("deadly"), wholeRequest("other")
	Convey("Given a deadly request with parts that only it has", t, func() {
		tracker := newTracker(1)
		for n := range 3 {
			when := at(time.Duration(n) * time.Second)
			crashOf(n, when, "ws", []string{"p", "q", deadly}, tracker)
			exchange(when, when.Add(900*time.Millisecond), tracker)
		}
		Convey("it is blocked, and a request with its parts is not", func() {
			So(blocks(tracker, "ws", "p", "q", deadly), ShouldBeTrue)
			So(blocks(tracker, "ws", "p", "q", other), ShouldBeFalse)
			So(tracker.BlocksRequests(), ShouldBeTrue)
		})
		Convey("a crash by another request with a part of it blocks the part", func() {
			crashOf(9, at(5*time.Second), "ws", []string{"p", other}, tracker)
			exchange(at(5*time.Second), at(6*time.Second), tracker)
			So(blocks(tracker, "ws", "p", wholeRequest("third")), ShouldBeTrue)
			So(blocks(tracker, "ws", "q", wholeRequest("third")), ShouldBeFalse)
		})
	})
	Convey("Given a deadly part, the requests with which differ, beside an equal request in each crash", t, func() {
		tracker := newTracker(1)
		for n := range 4 {
			when := at(time.Duration(n) * time.Second)
			crashOf(n, when, "ws", []string{"x", wholeRequest(fmt.Sprint(n))}, tracker)
			if n < 3 {
				crashOf(n, when, "ws", []string{other}, tracker)
			}
			exchange(when, when.Add(900*time.Millisecond), tracker)
		}
		Convey("the part is blocked, and not together with the request", func() {
			So(blocks(tracker, "ws", "x", wholeRequest("9")), ShouldBeTrue)
		})
	})
	Convey("Given a request without a workspace", t, func() {
		tracker := newTracker(1)
		for n := range 3 {
			crashOf(n, at(time.Duration(n)*time.Second), "", []string{deadly}, tracker)
		}
		exchange(at(3*time.Second), at(4*time.Second), tracker)
		Convey("its block names none", func() {
			So(tracker.Blocks()[0].Workspaces, ShouldBeEmpty)
			So(blocks(tracker, "", deadly), ShouldBeTrue)
		})
	})
	Convey("A block of a request and others is none", t, func() {
		tracker := newTracker(1)
		So(tracker.MergeBlock(Block{Names: []string{"0bad", deadly}, Epoch: 1}), ShouldBeFalse)
	})
}

// Guards against blocking a sound request that its caller sent again into each crash of a service,
// and against not telling it apart once that is possible.
func TestSoundRequestLostInTheSameCrashes(t *testing.T) {
	deadly, sound := wholeRequest("deadly"), wholeRequest("sound")
	Convey("Given two requests that were lost in the same three crashes", t, func() {
		fleet := []*Tracker{newTracker(1), newTracker(2)}
		for n := range 3 {
			when := at(time.Duration(n) * 100 * time.Millisecond)
			crashOf(n, when, "ws", []string{sound}, fleet[0])
			crashOf(n, when, "ws", []string{deadly}, fleet[1])
			exchange(when, when.Add(90*time.Millisecond), fleet...)
		}
		exchange(at(300*time.Millisecond), at(2*time.Second), fleet...)
		Convey("neither is blocked yet", func() {
			So(blocks(fleet[0], "ws", sound), ShouldBeFalse)
			So(blocks(fleet[0], "ws", deadly), ShouldBeFalse)
		})
		Convey("a crash by one of them tells them apart", func() {
			crashOf(9, at(3*time.Second), "ws", []string{deadly}, fleet[0])
			exchange(at(3*time.Second), at(4*time.Second), fleet...)
			for _, tracker := range fleet {
				So(blocks(tracker, "ws", deadly), ShouldBeTrue)
				So(blocks(tracker, "ws", sound), ShouldBeFalse)
			}
		})
		Convey("a response to one of them does, at all entries", func() {
			fleet[1].Began([]string{sound}, at(3*time.Second))
			exchange(at(3*time.Second), at(4*time.Second), fleet...)
			for _, tracker := range fleet {
				So(blocks(tracker, "ws", deadly), ShouldBeTrue)
				So(blocks(tracker, "ws", sound), ShouldBeFalse)
			}
		})
	})
	Convey("Given a popular request that is lost in three crashes at the same moment in one zone", t, func() {
		tracker := newTracker(1)
		for range knownRequests {
			tracker.Began([]string{sound}, at(-time.Second))
		}
		for n := range 6 {
			crashOf(n, at(time.Duration(n)*time.Millisecond), "ws", []string{sound}, tracker)
		}
		exchange(at(0), at(time.Second), tracker)
		Convey("it is not blocked", func() { So(blocks(tracker, "ws", sound), ShouldBeFalse) })
	})
}

// Guards against whole requests, each of which is new on many routes, that push the parts out of the
// history, or the suspected parts out of a crash.
func TestRequestsLeaveThePartsTheirPlace(t *testing.T) {
	Convey("Given more requests than the history holds", t, func() {
		tracker := newTracker(1)
		for range knownRequests {
			tracker.Began([]string{"part"}, at(0))
		}
		for n := range 3 * historyNamesPerPeriod {
			tracker.Began([]string{wholeRequest(fmt.Sprint(n))}, at(time.Second))
		}
		Convey("the part is known, and the history is bounded", func() {
			So(tracker.Cleared([]string{"part"}, at(time.Second)), ShouldBeTrue)
			So(len(tracker.requests.current), ShouldBeLessThanOrEqualTo, historyNamesPerPeriod)
		})
	})
	Convey("Given more lost requests in a crash than are kept", t, func() {
		tracker := newTracker(1)
		start := Start{"w", 1}
		tracker.Crashed(start, "a", at(0))
		for n := range 2 * maxRequestsPerCrash {
			tracker.Lost(start, []string{wholeRequest(fmt.Sprint(n))}, "ws", at(0))
		}
		tracker.Lost(start, []string{"part"}, "ws", at(0))
		Convey("the part is a suspect too", func() {
			So(tracker.crashCount("part"), ShouldEqual, 1)
			So(len(tracker.crashes[start].suspects), ShouldEqual, maxRequestsPerCrash+1)
		})
	})
}

// Guards against blocking a part that sound requests share in the first crash after a deadly request with it was
// blocked, before other entries have told how many requests with the part began since.
func TestPartIsNotBlockedOnOldCounts(t *testing.T) {
	Convey("Given a blocked request, the part of which has begun at one entry with many others", t, func() {
		fleet := []*Tracker{newTracker(1), newTracker(2), newTracker(3)}
		deadly, sound := wholeRequest("deadly"), wholeRequest("sound")
		for n := range 3 {
			when := at(time.Duration(n) * time.Second)
			crashOf(n, when, "a", []string{"p", deadly}, fleet[n%2])
			exchange(when, when.Add(900*time.Millisecond), fleet...)
		}
		for range 50 {
			fleet[2].Began([]string{"p"}, at(2950*time.Millisecond))
		}
		Convey("a crash in which it was lost as well blocks it at no entry", func() {
			crashOf(3, at(3*time.Second), "b", []string{"p", sound}, fleet[0])
			exchange(at(3*time.Second), at(3900*time.Millisecond), fleet...)
			for _, tracker := range fleet {
				So(blocks(tracker, "a", "p", deadly), ShouldBeTrue)
				So(blocks(tracker, "b", "p", sound), ShouldBeFalse)
			}
		})
	})
}

// Guards against a part that sound requests share and that is blocked for all callers in the place of the one request
// that crashes workers.
func TestRequestIsBlockedRatherThanItsPart(t *testing.T) {
	deadly, sound := wholeRequest("deadly"), wholeRequest("sound")
	Convey("Given a blocked request, and sound ones with its part, of which one has begun and one is lost in a later crash", t, func() {
		fleet := []*Tracker{newTracker(1), newTracker(2), newTracker(3)}
		for n := range 3 {
			when := at(time.Duration(n) * time.Second)
			crashOf(n, when, "a", []string{"p", deadly}, fleet[n%2])
			exchange(when, when.Add(900*time.Millisecond), fleet...)
		}
		fleet[2].Began([]string{"p", sound}, at(2950*time.Millisecond))
		crashOf(3, at(3*time.Second), "b", []string{"p", sound}, fleet[2])
		exchange(at(3*time.Second), at(3900*time.Millisecond), fleet...)
		Convey("the request is blocked, and the part is not", func() {
			for _, tracker := range fleet {
				So(blocks(tracker, "a", "p", deadly), ShouldBeTrue)
				So(blocks(tracker, "b", "p", sound), ShouldBeFalse)
			}
		})
		Convey("the part is blocked once other requests with it explain as many crashes", func() {
			for n := 4; n < 6; n++ {
				when := at(time.Duration(n) * time.Second)
				crashOf(n, when, "a", []string{"p", wholeRequest(fmt.Sprint(n))}, fleet[0])
				exchange(when, when.Add(900*time.Millisecond), fleet...)
			}
			So(blocks(fleet[1], "a", "p", wholeRequest("third")), ShouldBeTrue)
		})
	})
}

// Guards against a sound request that is blocked in the place of a deadly part.
func TestSoundRequestBesideADeadlyPart(t *testing.T) {
	sound := wholeRequest("sound")
	Convey("Given a deadly part, the requests with which differ, beside a sound request without it in three crashes", t, func() {
		fleet := []*Tracker{newTracker(1), newTracker(2), newTracker(3)}
		crash := func(n int) {
			when := at(time.Duration(n) * time.Second)
			crashOf(n, when, "a", []string{"x", wholeRequest(fmt.Sprint(n))}, fleet[n%2])
			if n < 3 {
				crashOf(n, when, "a", []string{"s", sound}, fleet[2])
			}
			exchange(when, when.Add(900*time.Millisecond), fleet...)
		}
		for n := range 3 {
			crash(n)
		}
		Convey("the sound request is not blocked", func() {
			for _, tracker := range fleet {
				So(blocks(tracker, "a", sound), ShouldBeFalse)
			}
		})
		Convey("the next crash blocks the part, and no more", func() {
			crash(3)
			for _, tracker := range fleet {
				So(blocks(tracker, "a", "x", wholeRequest("9")), ShouldBeTrue)
				So(blocks(tracker, "a", "s", sound), ShouldBeFalse)
			}
		})
	})
}

// Guards against one of two deadly requests of a service that hides the other one, whether each is lost in the
// crashes of the other or not.
func TestTwoDeadlyRequestsAreBothBlocked(t *testing.T) {
	first, second := wholeRequest("first"), wholeRequest("second")
	for name, lost := range map[string][][]string{
		"in turn":           {{first}, {second}, {first}, {second}, {first}, {second}},
		"at first together": {{first, second}, {first, second}, {first, second}, {first}, {second}, {second}, {second}},
	} {
		Convey("Given two deadly requests, "+name, t, func() {
			fleet := []*Tracker{newTracker(1), newTracker(2), newTracker(3)}
			for n, names := range lost {
				when := at(time.Duration(n) * time.Second)
				for i, name := range names {
					crashOf(n, when, "a", []string{name}, fleet[(n+i)%len(fleet)])
				}
				exchange(when, when.Add(900*time.Millisecond), fleet...)
			}
			for _, tracker := range fleet {
				So(blocks(tracker, "a", first), ShouldBeTrue)
				So(blocks(tracker, "a", second), ShouldBeTrue)
			}
		})
	}
}

// Guards against evidence that grows without bound, and against a caller that hides its deadly request among many
// others that are lost in the same crashes.
func TestManyRequestsLostInCrashes(t *testing.T) {
	Convey("Given a deadly request among 1,250 others, all different, in each of eight crashes", t, func() {
		fleet := []*Tracker{newTracker(1), newTracker(2)}
		deadly, messages := wholeRequest("deadly"), 0
		for n := range 8 {
			when := at(time.Duration(n) * time.Second)
			start := Start{fmt.Sprint("w", n), 1}
			for i := range 1251 {
				name := deadly
				if i != 1000 {
					name = wholeRequest(fmt.Sprint(n, "/", i))
				}
				fleet[0].Lost(start, []string{name}, "ws", when)
			}
			fleet[0].Crashed(start, "a", when)
			messages += len(fleet[0].Advance(when))
			exchange(when, when.Add(900*time.Millisecond), fleet...)
		}
		Convey("what is kept and sent is bounded", func() {
			So(messages, ShouldEqual, 8)
			for _, tracker := range fleet {
				So(len(tracker.tallies), ShouldBeLessThanOrEqualTo, 8*maxRequestsPerCrash)
				So(len(tracker.partsOf), ShouldBeLessThanOrEqualTo, maxKnownRequests)
				So(len(tracker.lostAt)+len(tracker.lastLostAt), ShouldBeLessThanOrEqualTo, 2*historyNamesPerPeriod)
			}
		})
		Convey("it is blocked", func() {
			for _, tracker := range fleet {
				So(blocks(tracker, "ws", deadly), ShouldBeTrue)
			}
		})
	})
}
