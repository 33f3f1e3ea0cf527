package journal

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

func openJournal(store platform.Store, vm string) *Journal {
	return New(Options{
		Store: store, Self: Identity{VM: vm, Incarnation: "1"},
		Shards: func(service string) int { return map[string]int{"booking": 4}[service] },
	})
}

func bookingKey(i int) Key { return Key{"shelfwatch", "booking", fmt.Sprint("key-", i)} }

// Guards against a stop that loses responses or interrupts running requests, and against
// a successor that does not replay the responses.
func TestCloseHandsShardsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A process completes 39 keys, leaves while one more is running, and another process takes over", t, func() {
			ctx := context.Background()
			store := platform.NewMemory()
			first := openJournal(store, "vm-1")
			first.Claim("booking")
			<-time.After(vacantWait + time.Second)
			So(first.OwnedShards(), ShouldHaveLength, 4)
			var running *Ticket
			for i := range 40 {
				ticket, response, err := first.Begin(ctx, bookingKey(i), Digest{})
				So(err, ShouldBeNil)
				So(response, ShouldBeNil)
				running = ticket
				if i < 39 {
					ticket.Complete(Response{201, "application/json", fmt.Appendf(nil, "answer %d", i)})
				}
			}
			closed := make(chan error, 1)
			go func() { closed <- first.Close(ctx) }()
			synctest.Wait()
			_, _, err := first.Begin(ctx, bookingKey(99), Digest{})
			So(errkind.Is(err, errkind.NotRun), ShouldBeTrue)
			<-time.After(10 * time.Second)
			So(len(closed), ShouldEqual, 0)
			running.Complete(Response{200, "", bytes.Repeat([]byte("x"), maxInlineBytes+1)})
			So(<-closed, ShouldBeNil)
			So(first.OwnedShards(), ShouldBeEmpty)

			second := openJournal(store, "vm-2")
			start := time.Now()
			for i := range 39 {
				_, response, err := second.Begin(ctx, bookingKey(i), Digest{})
				So(err, ShouldBeNil)
				So(string(response.Body), ShouldEqual, fmt.Sprintf("answer %d", i))
				So(response.Status, ShouldEqual, 201)
				So(response.ContentType, ShouldEqual, "application/json")
			}
			So(time.Since(start), ShouldBeLessThan, 4*(vacantWait+time.Second))
			_, response, err := second.Begin(ctx, bookingKey(39), Digest{})
			So(err, ShouldBeNil)
			So(response.Omitted, ShouldBeTrue)
			So(response.Size, ShouldEqual, maxInlineBytes+1)
			So(second.Close(ctx), ShouldBeNil)
		})
	})
}

// Guards against a second run of a key whose owner died, and against refusals with
// the wrong kind.
func TestKindsOfErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Keys that are running, were lost, are reused, or are sent during an outage", t, func() {
			ctx := context.Background()
			store := platform.NewMemory()
			var outage atomic.Bool
			store.Inject = func(string, string) platform.Fault {
				if outage.Load() {
					return platform.FaultUnavailable
				}
				return platform.NoFault
			}
			first := openJournal(store, "vm-1")
			ticket, _, err := first.Begin(ctx, bookingKey(1), Digest{1})
			So(err, ShouldBeNil)
			kind := func(j *Journal, i int, body Digest) errkind.Kind {
				_, _, err := j.Begin(ctx, bookingKey(i), body)
				return errkind.Of(err)
			}
			So(kind(first, 1, Digest{1}), ShouldEqual, errkind.InProgress)
			So(kind(first, 1, Digest{2}), ShouldEqual, errkind.KeyReused)
			_, _, err = first.Begin(ctx, Key{"w", "other", "k"}, Digest{})
			So(errkind.Is(err, errkind.NotFound), ShouldBeTrue)
			_, _, err = first.Begin(ctx, Key{"w", "booking", ""}, Digest{})
			So(errkind.Is(err, errkind.KeyMissing), ShouldBeTrue)

			second := openJournal(store, "vm-2")
			So(kind(second, 1, Digest{1}), ShouldEqual, errkind.NotRun)
			<-time.After(takeoverWait + time.Second)
			So(kind(second, 1, Digest{1}), ShouldEqual, errkind.OutcomeUnknown)
			ticket.Complete(Response{Status: 200})
			_, response, err := first.Begin(ctx, bookingKey(1), Digest{1})
			So(err, ShouldBeNil)
			So(response.Status, ShouldEqual, 200)

			<-time.After(verifyInterval + time.Second)
			So(first.OwnedShards(), ShouldBeEmpty)
			So(second.OwnedShards(), ShouldHaveLength, 1)
			outage.Store(true)
			start := time.Now()
			So(kind(second, 2, Digest{}), ShouldEqual, errkind.NotRun)
			So(kind(second, 1, Digest{1}), ShouldEqual, errkind.OutcomeUnknown)
			So(time.Since(start), ShouldBeLessThan, time.Second)
			ended, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			So(first.Close(ended), ShouldBeNil)
			So(second.Close(ended), ShouldNotBeNil)
		})
	})
}

// Guards against a key that stays blocked, or is granted although nobody waits, after its
// caller disconnected while the intent was being written.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A caller whose context ends during the write gets NotRun, and a repeat runs", t, func() {
			store := &slowStore{Memory: platform.NewMemory()}
			j := openJournal(store, "vm-1")
			j.Claim("booking")
			<-time.After(vacantWait + time.Second)
			store.delay.Store(int64(time.Second))
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, _, err := j.Begin(ctx, bookingKey(1), Digest{})
			So(errkind.Is(err, errkind.NotRun), ShouldBeTrue)
			ticket, _, err := j.Begin(context.Background(), bookingKey(1), Digest{})
			So(err, ShouldBeNil)
			ticket.NotStarted()
			old := ticket
			old.Complete(Response{Status: 500})
			ticket, _, err = j.Begin(context.Background(), bookingKey(1), Digest{})
			So(err, ShouldBeNil)
			old.Complete(Response{Status: 500})
			ticket.OutcomeUnknown()
			_, _, err = j.Begin(context.Background(), bookingKey(1), Digest{})
			So(errkind.Is(err, errkind.OutcomeUnknown), ShouldBeTrue)
			So(j.Close(context.Background()), ShouldBeNil)
		})
	})
}

// slowStore delays updates.
type slowStore struct {
	*platform.Memory
	delay atomic.Int64
}

func (s *slowStore) Update(ctx context.Context, key string, value []byte, version int64) (platform.Object, error) {
	<-time.After(time.Duration(s.delay.Load()))
	return s.Memory.Update(ctx, key, value, version)
}

// Guards against a shard that depends on more than service and key, or on one of them
// only, because entries and owners compute it independently.
func TestShardOf(t *testing.T) {
	Convey("Keys spread over the shards, and the result does not change", t, func() {
		counts := make([]int, 4)
		for i := range 4000 {
			counts[ShardOf("booking", fmt.Sprint(i), 4)]++
		}
		for _, n := range counts {
			So(n, ShouldBeBetween, 850, 1150)
		}
		So(ShardOf("booking", "a", 4), ShouldEqual, ShardOf("booking", "a", 4))
		So(ShardOf("booking", "a", 0), ShouldEqual, 0)
		So(Key{"a", "bc", "d"}.hash(), ShouldNotEqual, Key{"ab", "c", "d"}.hash())
	})
}

// Guards against an answer with a status that is none, which a process, or an older one that recorded it, replays as the
// response to a request.
func TestAnswerWithAStatusThatIsNoneIsNotReplayed(t *testing.T) {
	for status, replayed := range map[int]bool{0: false, 42: false, 101: false, 199: false, 200: true, 599: true, 600: false, 999: false} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			now := time.Unix(1000, 0)
			entries := []logEntry{
				{Kind: entryIntent, Key: bookingKey(1).hash(), At: now.Unix()},
				{Kind: entryResponse, Key: bookingKey(1).hash(), At: now.Unix(), Response: &RecordedResponse{Status: status}},
			}
			completed := &Shard{records: newRecords()}
			completed.records.add(&record{key: bookingKey(1).hash(), at: now.Unix(), state: stateRunning})
			completed.Complete(bookingKey(1), 0, Response{Status: status}, now)
			for name, known := range map[string]*records{"completed": completed.records, "read": replayLog(entries, now)} {
				s := &Shard{records: known}
				reply := s.beginKnownKey(known.byKey[bookingKey(1).hash()], Call{Key: bookingKey(1)})
				if (reply.Kind == Replayed) != replayed || (!replayed && !errkind.Is(reply.Err, errkind.OutcomeUnknown)) {
					t.Errorf("%s: %+v", name, reply)
				}
			}
		})
	}
}
