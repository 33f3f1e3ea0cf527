package routing

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/senders"
)

// Figures of the simulated engines: 12 slots, and prompts that are read between the passes.
const (
	simSlots     = 12
	simStride    = 7
	simStep      = 6730 * time.Microsecond
	simPerSeq    = 22 * time.Microsecond
	simRead      = 30_600.0 // prompt tokens in a second
	simPrompt    = 965.0    // mean tokens
	simAnswer    = 121.0    // mean tokens
	simSpread    = 0.8      // of the logarithms of both
	simObjective = 400 * time.Millisecond
	simReport    = 150 * time.Millisecond
	simFar       = 3 // reports of which one goes to the other zones
	simDelay     = time.Millisecond
	simBound     = 26.0 // requests that a cold engine bears in a second
	simUneven    = 2.0  // callers of the most used entry for each of the least used one
	simFrom      = 4 * time.Second
	simUntil     = 12 * time.Second
	// The settings of the entries.
	simQueue      = 2
	simRetryAfter = 300 * time.Millisecond
)

var simZones = []string{"a", "b", "c"}

// simCapacity returns the requests in a second that one engine carries. Each takes a slot for
// its passes, and each pass reads the prompts of the requests that begin in it.
func simCapacity() float64 {
	begun := simSlots / (simAnswer/simStride + 1)
	pass := simStride*(simStep+simSlots*simPerSeq).Seconds() + begun*simPrompt/simRead
	return begun / pass
}

// simulation lets entries send to engines for some seconds of virtual time. Entries know the
// reports that reach them, which are some hundred ms old, and their own requests.
type simulation struct {
	now    time.Duration
	events simEvents
	rng    *rand.Rand
	rate   float64
	// entries have their tables, which are those of the code under test.
	entries []*Table
	engines map[string]*simEngine

	// asked, inTime, late and refused count the callers that came between simFrom and
	// simUntil; waits are the times to the first event of those that were sent.
	asked, inTime, late, refused int
	waits                        []time.Duration
}

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simEvents struct {
	list  []simEvent
	count int
}

func (e *simEvents) Len() int { return len(e.list) }
func (e *simEvents) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at < b.at || (a.at == b.at && a.order < b.order)
}
func (e *simEvents) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *simEvents) Push(x any)    { e.list = append(e.list, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

type simEngine struct {
	vm, zone string
	// hears are the indices of the entries that hear its reports, those of its zone first.
	near, far        []int
	waiting, running []*simCall
	passing          bool
	// closed is set while it loads other weights.
	closed   bool
	sequence uint64
}

type simCall struct {
	came, sent time.Duration
	counted    bool
	back       bool
	prompt     float64
	passes     int
	began      bool
	entry      *Table
	attempt    Attempt
}

func newSimulation(entries, engines int, load float64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(1, 2)), engines: make(map[string]*simEngine),
		rate: load * simCapacity() * float64(engines),
	}
	zoneOf := make(map[string]string)
	zone := func(i int) string { return simZones[i%len(simZones)] }
	for i := range entries {
		zoneOf[strconv.Itoa(i)] = zone(i)
		table, err := New(Settings{
			Zone: zone(i), Region: zone(i), QueueLength: simQueue,
			ArrivalsPerSecond: max(1, int(simBound)/entries), Senders: entries, FreeCapacityLimit: simObjective.Seconds() / 2 * simRead / simPrompt,
			RetryAfter: simRetryAfter, FullRetryAfter: simObjective / 8,
			MaxWaitingPromptTokens: int64(simObjective.Seconds() / 2 * simRead / float64(min(entries, senders.UnboundedSubsetSize))),
		}, rand.New(rand.NewPCG(uint64(i), 3)))
		if err != nil {
			panic(err)
		}
		s.entries = append(s.entries, table)
	}
	fleet := senders.NewFleet(zoneOf)
	size := senders.UnboundedSubsetSize
	if float64(entries) > simBound {
		size = senders.SubsetSize(simBound)
	}
	for i := range engines {
		e := &simEngine{vm: "vm" + strconv.Itoa(i), zone: zone(i)}
		s.engines[e.vm] = e
		near, far := fleet.Members(e.vm, e.zone, size)
		e.near, e.far = indices(near), indices(far)
		s.after(time.Duration(s.rng.Int64N(int64(simReport))), func() { s.report(e) })
		for j, table := range s.entries {
			table.ReportReceived(e.report(), day)
			table.SetShare(e.vm, fleet.ShareOf(strconv.Itoa(j), zone(j), e.vm, e.zone, simBound, 1))
		}
	}
	return s
}

func indices(names []string) []int {
	list := make([]int, 0, len(names))
	for _, name := range names {
		i, _ := strconv.Atoi(name)
		list = append(list, i)
	}
	return list
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events.count++
	heap.Push(&s.events, simEvent{s.now + d, s.events.count, run})
}

func (s *simulation) time() time.Time { return day.Add(s.now) }

// change closes each engine once for some time, one after the other.
func (s *simulation) change(length time.Duration) *simulation {
	for _, vm := range slices.Sorted(maps.Keys(s.engines)) {
		e := s.engines[vm]
		s.after(simFrom-length+time.Duration(s.rng.Int64N(int64(simUntil-simFrom))), func() {
			e.closed = true
			s.after(length, func() { e.closed = false })
		})
	}
	return s
}

// run plays until all that is counted has been answered.
func (s *simulation) run() *simulation {
	s.after(0, s.arrive)
	for s.now < simUntil+2*time.Second {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
	slices.Sort(s.waits)
	return s
}

// carried returns the requests that the engines carry while those counted come.
func (s *simulation) carried() float64 {
	return simCapacity() * float64(len(s.engines)) * (simUntil - simFrom).Seconds()
}

// quantile returns a quantile of the waits for the first event.
func (s *simulation) quantile(part float64) time.Duration {
	return s.waits[int(part*float64(len(s.waits)-1))]
}

// report tells an engine's load to the entries that send to it.
func (s *simulation) report(e *simEngine) {
	report := e.report()
	hears := e.near
	if e.sequence%simFar == 0 {
		hears = slices.Concat(e.near, e.far)
	}
	s.after(simDelay, func() {
		for _, i := range hears {
			s.entries[i].ReportReceived(report, s.time())
			s.entries[i].ShareFreeCapacity(e.vm)
		}
	})
	s.after(simReport, func() { s.report(e) })
}

func (e *simEngine) report() *laburnumgwv1.ReportRequest {
	e.sequence++
	return &laburnumgwv1.ReportRequest{
		Vm: e.vm, Zone: e.zone, Region: e.zone, Address: e.vm, Incarnation: &laburnumgwv1.Incarnation{Counter: 1},
		Sequence: e.sequence, Load: e.load(), Serving: map[string]string{"m": "1"},
	}
}

func (e *simEngine) load() *laburnumgwv1.Load {
	if e.closed {
		return &laburnumgwv1.Load{InFlight: int32(len(e.running)), Queued: int32(len(e.waiting))}
	}
	return &laburnumgwv1.Load{Limit: simSlots, InFlight: int32(len(e.running)), Queued: int32(len(e.waiting))}
}

// tokens draws from a log-normal distribution with a mean.
func (s *simulation) tokens(mean float64) float64 {
	return min(4, math.Exp(simSpread*s.rng.NormFloat64()-simSpread*simSpread/2)) * mean
}

func (s *simulation) arrive() {
	c := &simCall{
		came: s.now, counted: s.now >= simFrom && s.now < simUntil,
		prompt: s.tokens(simPrompt), passes: 1 + int(math.Ceil(s.tokens(simAnswer)/simStride)),
	}
	if c.counted {
		s.asked++
	}
	s.send(c)
	s.after(time.Duration(s.rng.ExpFloat64()/s.rate*float64(time.Second)), s.arrive)
}

// choose returns the entry that a caller reaches. The share of callers per entry is uneven.
func (s *simulation) choose() int {
	for {
		i := s.rng.IntN(len(s.entries))
		if s.rng.Float64()*simUneven < 1+float64(i%7)/6*(simUneven-1) {
			return i
		}
	}
}

// send hands a call to some entry. A caller that is refused comes back once, when it was told.
func (s *simulation) send(c *simCall) {
	c.entry = s.entries[s.choose()]
	request := &Request{Model: "m", PromptTokens: int64(c.prompt), Tokens: int64(simAnswer), Duration: time.Second}
	decision, err := c.entry.Pick(request, s.time())
	if err != nil {
		var refusal *errkind.Error
		switch {
		case !c.back && errors.As(err, &refusal):
			c.back = true
			s.after(time.Duration(float64(refusal.RetryAfter)*(1+s.rng.Float64()/2)), func() { s.send(c) })
		case c.counted:
			s.refused++
		}
		return
	}
	c.sent = s.now
	c.attempt = c.entry.AttemptSent(decision, request, s.time())
	e := s.engines[decision.VM]
	s.after(simDelay, func() {
		e.waiting = append(e.waiting, c)
		if !e.passing {
			s.pass(e)
		}
	})
}

// pass runs one pass of an engine: it takes what waits into free slots, reads their prompts
// and writes for all that run.
func (s *simulation) pass(e *simEngine) {
	length := time.Duration(0)
	for len(e.running) < simSlots && len(e.waiting) > 0 {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, c)
		length += time.Duration(c.prompt / simRead * float64(time.Second))
	}
	e.passing = len(e.running) > 0
	if !e.passing {
		return
	}
	length += simStride * (simStep + time.Duration(len(e.running))*simPerSeq)
	s.after(length, func() {
		for _, c := range e.running {
			if !c.began {
				c.began = true
				s.begin(c, e.load())
			}
			c.passes--
		}
		e.running = slices.DeleteFunc(e.running, func(c *simCall) bool {
			if c.passes > 0 {
				return false
			}
			c.entry.AttemptFinished(c.attempt, Result{Outcome: laburnumgwv1.Outcome_OUTCOME_COMPLETE, Sent: true}, s.time())
			return true
		})
		s.pass(e)
	})
}

// begin passes the first event of a call on.
func (s *simulation) begin(c *simCall, load *laburnumgwv1.Load) {
	c.entry.LoadReceived(c.attempt, load, s.time())
	c.entry.AttemptAccepted(&c.attempt)
	if !c.counted {
		return
	}
	s.waits = append(s.waits, s.now-c.sent)
	if s.now-c.came <= simObjective {
		s.inTime++
	} else {
		s.late++
	}
}

// A sustained load beyond what the engines carry: each of 19 entries that hear of an engine
// took the places that its report showed free, so that an engine held 18 requests in place of
// 12 and what was let in waited 0.7 s for a slot.
func TestSustainedOverloadKeepsQueuesShort(t *testing.T) {
	Convey("Given 35 entries before 52 engines, whose reports are up to 450 ms old", t, func() {
		edge := newSimulation(35, 52, 0.9).run().inTime
		for _, load := range []float64{1.3, 1.7, 3} {
			Convey(fmt.Sprintf("a load of %g times what they carry does not fill their queues", load), func() {
				s := newSimulation(35, 52, load).run()
				So(s.quantile(0.5), ShouldBeLessThan, simObjective*3/4)
				// Those that are refused come back while they can be answered in time.
				So(float64(s.inTime), ShouldBeGreaterThan, 0.9*float64(edge))
				// The engines stay busy.
				So(float64(s.inTime+s.late), ShouldBeGreaterThan, 0.92*s.carried())
			})
		}
	})
	Convey("Given engines that come back empty from a change of weights under overload", t, func() {
		for _, load := range []float64{1.3, 1.7} {
			Convey(fmt.Sprintf("their prompts do not pile up at %g times what they carry", load), func() {
				s := newSimulation(35, 52, load).change(2 * time.Second).run()
				So(float64(s.late), ShouldBeLessThan, 0.1*s.carried())
				// A quarter of the engines are away at any time.
				So(float64(s.inTime), ShouldBeGreaterThan, 0.9*0.75*s.carried())
			})
		}
	})
	Convey("Given 8 entries before 24 engines", t, func() {
		Convey("a load of 1.7 times what they carry does not fill their queues", func() {
			s := newSimulation(8, 24, 1.7).run()
			So(s.quantile(0.5), ShouldBeLessThan, simObjective*3/4)
			So(float64(s.inTime+s.late), ShouldBeGreaterThan, 0.92*s.carried())
		})
		Convey("a load of 0.7 times that is not refused", func() {
			s := newSimulation(8, 24, 0.7).run()
			So(s.refused, ShouldBeZeroValue)
			So(float64(s.inTime), ShouldBeGreaterThan, 0.99*float64(s.asked))
		})
	})
}
