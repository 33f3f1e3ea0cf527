package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation drives a Controller in virtual time. The endpoint runs the admitted
// requests in parallel, each for its own service time.
type simulation struct {
	controller *Controller
	now        time.Time
	// ends holds the ends of the running requests in order.
	ends     []end
	offers   map[string]offer
	admitted map[string]int
	refused  map[string]int
	// useful counts the requests that finished before their deadlines.
	useful        map[string]int
	aboveLimit    int
	lateRefusals  int
	maxConcurrent int
	sequence      int
}

type offer struct {
	request Request
	at      time.Time
	service time.Duration
}

type end struct {
	at time.Time
	id string
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(config Config) *simulation {
	return &simulation{
		controller: New(config, epoch), now: epoch, offers: map[string]offer{},
		admitted: map[string]int{}, refused: map[string]int{}, useful: map[string]int{},
	}
}

func (s *simulation) offer(workspace string, budget, service time.Duration) {
	s.sequence++
	request := Request{ID: fmt.Sprint(s.sequence), Workspace: workspace, Deadline: s.now.Add(budget)}
	s.offers[request.ID] = offer{request, s.now, service}
	decision, others := s.controller.Offer(request, s.now)
	s.apply(others)
	s.apply([]Decision{decision})
}

func (s *simulation) apply(decisions []Decision) {
	for _, decision := range decisions {
		o := s.offers[decision.ID]
		switch decision.Verdict {
		case Admitted:
			s.admitted[o.request.Workspace]++
			e := end{s.now.Add(o.service), decision.ID}
			index, _ := slices.BinarySearchFunc(s.ends, e, func(a, b end) int { return a.at.Compare(b.at) })
			s.ends = slices.Insert(s.ends, index, e)
			load := s.controller.Load()
			if load.InFlight > load.Limit {
				s.aboveLimit++
			}
			s.maxConcurrent = max(s.maxConcurrent, len(s.ends))
		case Refused:
			s.refused[o.request.Workspace]++
			if s.now.Sub(o.at)*2 >= o.request.Deadline.Sub(o.at) {
				s.lateRefusals++
			}
			delete(s.offers, decision.ID)
		}
	}
}

// advance processes the ends and expiries of requests in time order until the given time.
func (s *simulation) advance(until time.Time) {
	for {
		at, expires := s.controller.Next()
		if len(s.ends) > 0 && (!expires || !s.ends[0].at.After(at)) {
			if s.ends[0].at.After(until) {
				break
			}
			e := s.ends[0]
			s.ends = s.ends[1:]
			s.finish(e)
			continue
		}
		if !expires || at.After(until) {
			break
		}
		s.now = at
		s.apply(s.controller.Tick(at))
	}
	s.now = until
}

func (s *simulation) finish(e end) {
	s.now = e.at
	o := s.offers[e.id]
	if !e.at.After(o.request.Deadline) {
		s.useful[o.request.Workspace]++
	}
	delete(s.offers, e.id)
	s.apply(s.controller.Finish(e.id, Succeeded, o.service, e.at))
}

// arrivals offers requests of one workspace at a fixed rate with seeded jitter.
type arrivals struct {
	workspace string
	perSecond float64
	budget    time.Duration
	service   time.Duration
}

// run offers all streams for a duration.
func (s *simulation) run(seed uint64, duration time.Duration, streams ...arrivals) {
	random := rand.New(rand.NewPCG(seed, 1))
	stop := s.now.Add(duration)
	next := make([]time.Time, len(streams))
	for i := range next {
		next[i] = s.now
	}
	for {
		first := 0
		for i := range next {
			if next[i].Before(next[first]) {
				first = i
			}
		}
		if !next[first].Before(stop) {
			break
		}
		s.advance(next[first])
		stream := streams[first]
		jitter := 0.5 + random.Float64()
		s.offer(stream.workspace, stream.budget, time.Duration(float64(stream.service)*(0.7+0.6*random.Float64())))
		next[first] = next[first].Add(time.Duration(jitter / stream.perSecond * float64(time.Second)))
	}
	s.advance(stop)
}
