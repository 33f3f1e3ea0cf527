package fairshare

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// updateInterval is the time between two computations of the shares.
	updateInterval = 200 * time.Millisecond
	// maxUpdateGap is the time without an update after which the state is too old to refuse anything by it.
	maxUpdateGap = 2 * time.Second
	// maxRate bounds the rates of one demand, in units of work a second.
	maxRate = 1e6
	// maxClasses bounds the classes of a service that are kept and told.
	maxClasses = 1024
)

// Class is a kind of request that is served alike.
type Class struct {
	Workspace string
	// Rank is that of the requests; 0 is the most urgent.
	Rank int
}

// Demand is what callers ask for one class, in units of work a second.
type Demand struct {
	Class
	Offered  float64
	Admitted float64
	// TurnedAway is the part of Offered that found no room although its share had allowed it.
	TurnedAway float64
	// Usual is the mean of Offered while there was room for all.
	Usual float64
}

// need estimates what callers ask for without their returns. A caller that is refused comes back once, and counts twice in
// Offered if it is refused again.
func (d *Demand) need() float64 { return (d.Offered + min(d.Admitted, d.Offered)) / 2 }

// isSane reports whether the demand may be counted.
func (d *Demand) isSane() bool {
	for _, rate := range []float64{d.Offered, d.Admitted, d.TurnedAway, d.Usual} {
		if !(rate >= 0 && rate <= maxRate) {
			return false
		}
	}
	if _, isRest := restRank(d.Workspace); !isRest && strings.HasPrefix(d.Workspace, restPrefix) {
		return false
	}
	return d.Rank >= 0 && d.Rank <= MaxRank
}

// Request is a request that asks to pass.
type Request struct {
	Class
	// Work is what the request takes of the room, in the unit of all requests of the service.
	Work float64
	// Returned is set for a request that has been refused before.
	Returned bool
	// Objective is the latency within which a response has its full value, and Left how long the caller waits.
	Objective, Left time.Duration
}

// Decision is the answer to a request.
type Decision struct {
	Admitted bool
	// Beyond is set for a request of a class that asks for more than its share. It must leave the last places of a worker
	// to others.
	Beyond bool
	// RetryAfter is the time after which the caller of a refused request may find room.
	RetryAfter time.Duration
}

// Share is the part of a class that passes.
type Share struct {
	Class
	// Part is between 0 and 1.
	Part float64
}

// Workers is what is known of the workers of a service.
type Workers struct {
	// Places is the number of requests that those run at once which may serve; zero if it is not known.
	Places int
	// HaveRoom is set when they are known to have room for all.
	HaveRoom bool
}

// Service holds the demand and the shares of one service as one entry knows them. It is not safe for concurrent use.
type Service struct {
	settings Settings
	// applies is set if the settings ask for shares.
	applies  bool
	rng      *rand.Rand
	origin   time.Time
	classes  map[Class]*class
	room     room
	returned returnedPart
	places   places
	// named are the classes of this entry that the others are told one by one; nil for all.
	named map[Class]bool
	// known is what the other entries have told of classes.
	known map[Class]float64
	// turnedAway is that of all classes.
	turnedAway window
	// parts are the parts that pass of the classes that the callers of any entry use.
	parts map[Class]float64
	// whole is set if one of them passes as a whole, whose requests are to find a place at once.
	whole bool
	// updatedAt is the time of the last update, and toldShort whether another entry had turned requests away then.
	updatedAt time.Time
	toldShort bool
	// askedAt is the time of the last request.
	askedAt time.Time
}

// class is what this entry knows of one class.
type class struct {
	offered, passed, turnedAway window
	usual                       usual
	// part is the part of what is offered that passes, and the others those of requests that have returned and of new
	// ones. credits hold what has not been used of them.
	part, partReturned, partNew   float64
	creditOfReturned, creditOfNew float64
}

// New returns the state of a service. It fails when a setting is out of range.
func New(settings Settings, rng *rand.Rand, now time.Time) (*Service, error) {
	s := &Service{rng: rng, origin: now, updatedAt: now, askedAt: now, classes: make(map[Class]*class)}
	return s, s.Configure(settings)
}

// Configure replaces the settings. An invalid setting leaves the service unchanged.
func (s *Service) Configure(settings Settings) error {
	if err := settings.validate(); err != nil {
		return err
	}
	s.settings, s.applies = settings, settings.applies()
	s.settings.byRank = settings.crowds()
	if !s.applies {
		s.end()
	}
	return nil
}

// end has all requests pass.
func (s *Service) end() {
	s.room.end()
	s.parts, s.toldShort = nil, false
	for _, c := range s.classes {
		c.part, c.partReturned, c.partNew = 1, 1, 1
	}
}

func (s *Service) elapsed(now time.Time) time.Duration { return now.Sub(s.origin) }

// makeRoom forgets the classes that ask for nothing, or all, if there are too many.
func (s *Service) makeRoom() {
	if len(s.classes) < maxClasses {
		return
	}
	at := s.elapsed(s.askedAt)
	maps.DeleteFunc(s.classes, func(_ Class, c *class) bool { return c.offered.rate(at) == 0 })
	if len(s.classes) > maxClasses/2 {
		clear(s.classes)
	}
}

func (s *Service) class(key Class) *class {
	c := s.classes[key]
	if c == nil {
		s.makeRoom()
		c = &class{part: 1, creditOfReturned: s.rng.Float64(), creditOfNew: s.rng.Float64()}
		if part, known := s.partOf(key); known {
			c.part = part
		}
		c.partReturned, c.partNew = c.part, c.part
		s.classes[key] = c
	}
	return c
}

// Admit records a request and decides whether it passes.
func (s *Service) Admit(request Request, now time.Time) Decision {
	c, at := s.class(request.Class), s.elapsed(now)
	s.askedAt = now
	c.offered.add(at, request.Work)
	s.returned.count(at, request)
	if s.Short() && !c.passes(request.Returned) {
		return Decision{RetryAfter: s.retryAfter(request, c.part)}
	}
	c.passed.add(at, request.Work)
	return Decision{Admitted: true, Beyond: s.Short() && c.part < 1 && s.whole}
}

// passes takes a request into account and reports whether the share of its class lets it pass.
func (c *class) passes(returned bool) bool {
	credit, part := &c.creditOfNew, c.partNew
	if returned {
		credit, part = &c.creditOfReturned, c.partReturned
	}
	if *credit += part; !(*credit >= 0 && *credit < 2) {
		*credit = 1
	}
	if *credit < 1 {
		return false
	}
	*credit--
	return true
}

// TurnedAway records that a request that had passed was not run for want of room. It returns the time after which
// its caller may try again.
func (s *Service) TurnedAway(request Request, now time.Time) time.Duration {
	c := s.class(request.Class)
	c.turnedAway.add(s.elapsed(now), request.Work)
	s.turnedAway.add(s.elapsed(now), request.Work)
	return s.retryAfter(request, c.part)
}

// isIdle reports whether the last request is so long ago that nothing can be said about room.
func (s *Service) isIdle(now time.Time) bool { return now.Sub(s.askedAt) > maxUpdateGap }

// Suspended ends a shortage: the machine was suspended, and what was known is old.
func (s *Service) Suspended() { s.end() }

// UpdateDue reports whether the shares are to be computed again.
func (s *Service) UpdateDue(now time.Time) bool { return now.Sub(s.updatedAt) >= updateInterval }

// Update computes the shares. others are the sums over the other entries. It reports whether room has become short or is
// enough again.
func (s *Service) Update(others []Demand, workers Workers, now time.Time) (changed bool) {
	gap := now.Sub(s.updatedAt)
	s.updatedAt = now
	if !s.applies {
		return false
	}
	was := s.room.short
	isKnown := s.places.isSettled(workers.Places, s.elapsed(now)) && gap <= maxUpdateGap && !workers.HaveRoom && !s.isIdle(now)
	if s.room.short && !isKnown {
		s.room.end()
	}
	if !was && len(others) == 0 && s.turnedAway.rate(s.elapsed(now)) == 0 {
		s.calm(gap, now)
		return false
	}
	demands, total := s.sums(others, s.elapsed(now))
	if isKnown {
		s.room.update(total, s.returned.meanWork(s.elapsed(now)))
	}
	if !s.room.short && total.TurnedAway == 0 {
		s.observeUsual(min(gap, maxUpdateGap), s.elapsed(now))
	}
	s.share(demands, now)
	return was != s.room.short
}

// calm takes in that nothing was turned away anywhere.
func (s *Service) calm(gap time.Duration, now time.Time) {
	s.toldShort = false
	offered := s.returned.all.rate(s.elapsed(now))
	s.room.update(Demand{Offered: offered, Admitted: offered}, 0)
	s.observeUsual(min(gap, maxUpdateGap), s.elapsed(now))
}

// sums returns the demand of each class in all entries, and the total.
func (s *Service) sums(others []Demand, at time.Duration) (map[Class]Demand, Demand) {
	demands := make(map[Class]Demand, len(s.classes)+len(others))
	var total Demand
	add := func(d Demand) {
		sum := demands[d.Class]
		sum.Class = d.Class
		sum.add(d)
		demands[d.Class] = sum
		total.add(d)
	}
	s.toldShort, s.known = false, make(map[Class]float64, len(others))
	for _, d := range others {
		if _, isKnown := demands[d.Class]; d.isSane() && (isKnown || len(demands) < maxClasses) {
			add(d)
			s.toldShort = s.toldShort || d.TurnedAway > 0
		}
	}
	for key, sum := range demands {
		s.known[key] = sum.size()
	}
	for key, c := range s.classes {
		d := c.demand(key, at)
		_, isNamed := demands[key]
		d.Class = s.toldAs(key, isNamed)
		add(d)
	}
	return demands, total
}

func (d *Demand) add(other Demand) {
	d.Offered += other.Offered
	d.Admitted += other.Admitted
	d.TurnedAway += other.TurnedAway
	d.Usual += other.Usual
}

func (c *class) demand(key Class, at time.Duration) Demand {
	turnedAway := c.turnedAway.rate(at)
	return Demand{
		Class: key, Offered: c.offered.rate(at), Admitted: max(0, c.passed.rate(at)-turnedAway), TurnedAway: turnedAway, Usual: c.usual.rate(),
	}
}

func (s *Service) observeUsual(length, at time.Duration) {
	for _, c := range s.classes {
		c.usual.observe(c.offered.rate(at), length)
	}
}

// share sets the parts that pass.
func (s *Service) share(demands map[Class]Demand, now time.Time) {
	s.parts, s.whole = nil, false
	if s.room.short {
		s.parts = allocate(s.room.rate, slices.SortedFunc(maps.Values(demands), compareDemands), &s.settings)
	}
	for key, part := range s.parts {
		s.whole = s.whole || (part >= 1-rounding && demands[key].Offered > 0)
	}
	returned := s.returned.part(s.elapsed(now))
	for key, c := range s.classes {
		c.part = 1
		if part, known := s.partOf(key); known && part >= 0 && part <= 1 {
			c.part = part
		}
		c.partReturned, c.partNew = preferReturned(c.part, returned)
	}
}

// partOf returns the part of a class that passes, if it is known.
func (s *Service) partOf(key Class) (float64, bool) {
	part, isNamed := s.parts[key]
	if !isNamed {
		part, isNamed = s.parts[s.restOf(key)]
	}
	return part, isNamed
}

func compareDemands(a, b Demand) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Rank, b.Rank))
}

// Offers returns what the other entries are to be told, the largest first; nothing while there is room for all, or where the settings
// ask for no shares, or without requests.
func (s *Service) Offers(service string, now time.Time) []Offer {
	if !s.applies || s.isIdle(now) {
		s.named = nil
		return nil
	}
	at := s.elapsed(now)
	isTold := s.room.short || s.toldShort
	var offers []Offer
	workspaces, total := make(map[string]float64), 0.0
	for key, c := range s.classes {
		d := c.demand(key, at)
		isTold = isTold || d.TurnedAway > 0
		if d.size() > 0 {
			offers = append(offers, Offer{Service: service, Demand: d, WorkspaceRank: s.settings.workspace(key.Workspace).Rank})
		}
	}
	if !isTold {
		s.named = nil
		return nil
	}
	for i := range offers {
		key, size := offers[i].Class, offers[i].size()
		workspaces[key.Workspace] += size
		total += size
	}
	for key, size := range s.known {
		total += size
		if _, isRest := restRank(key.Workspace); isRest {
			continue
		}
		workspaces[key.Workspace] += size
		if c := s.classes[key]; c == nil || (c.offered.rate(at) == 0 && c.usual.rate() == 0) {
			offers = append(offers, Offer{Service: service, Demand: Demand{Class: key}, WorkspaceRank: s.settings.workspace(key.Workspace).Rank})
		}
	}
	for i := range offers {
		offers[i].Known = workspaces[offers[i].Workspace] / total
	}
	slices.SortFunc(offers, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(b.Known, a.Known), compareDemands(a.Demand, b.Demand))
	})
	return offers
}

// Short reports whether room is short.
func (s *Service) Short() bool { return s.room.short }

// MayBeShort reports whether requests are turned away, so that it matters whether the workers have room.
func (s *Service) MayBeShort() bool { return s.room.short || s.room.suspected > 0 }

// Room returns the work a second for which there is room while it is short.
func (s *Service) Room() float64 { return s.room.rate }

// Shares returns the classes of this entry that do not pass as a whole.
func (s *Service) Shares() []Share {
	var shares []Share
	for key, c := range s.classes {
		if c.part < 1 {
			shares = append(shares, Share{key, c.part})
		}
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Rank, b.Rank))
	})
	return shares
}
