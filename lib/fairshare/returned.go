package fairshare

import (
	"math"
	"slices"
	"time"
)

const (
	// preferredPart is the part of a share that requests that have returned may use before new ones. With all of it every
	// caller would be refused once while room stays short, since those of the last moment would use it up.
	preferredPart = 0.5
	// preference is how many times as often as new ones they pass at least: half of a share is no preference where half of all requests
	// have returned.
	preference = 2.0
	// minRetryDivisor divides the objective; the result is the shortest time after which a refused caller may return.
	// A response can still be in time then.
	minRetryDivisor = 8
	// retrySpread is the part of the objective over which those return that are as many as those that pass, and
	// maxRetrySpread the largest part: what returns later is late for certain, and takes room from what is not.
	retrySpread    = 0.25
	maxRetrySpread = 0.5
	// defaultObjective holds where none is configured.
	defaultObjective = time.Second
	// leftDivisor divides the time that a caller has left; the result is the longest time that it may be told to wait.
	leftDivisor = 3
	// minPassing bounds how far the returns to a class are spread of which hardly anything passes.
	minPassing = 0.1
	// returnMargin is the least by which the time of a request that has returned is shorter than that of new ones.
	returnMargin = 25 * time.Millisecond
)

// returnedPart is the part of the offered work that has been refused before.
type returnedPart struct{ requests, all, returned window }

func (r *returnedPart) count(at time.Duration, request Request) {
	r.requests.add(at, 1)
	r.all.add(at, request.Work)
	if request.Returned {
		r.returned.add(at, request.Work)
	}
}

func (r *returnedPart) part(at time.Duration) float64 {
	all := r.all.rate(at)
	if all <= 0 {
		return 0
	}
	return r.returned.rate(at) / all
}

// meanWork returns the mean work of a request, zero if there was none.
func (r *returnedPart) meanWork(at time.Duration) float64 {
	requests := r.requests.rate(at)
	if requests <= 0 {
		return 0
	}
	return r.all.rate(at) / requests
}

// preferReturned divides the part of a class that passes into those of requests that have returned, which are a given
// part of all, and of new ones.
func preferReturned(part, returned float64) (ofReturned, ofNew float64) {
	if returned <= 0 || returned >= 1 || part >= 1 {
		return part, part
	}
	often := preference * returned / (preference*returned + 1 - returned)
	taken := min(returned, max(preferredPart*part, often*part, part-(1-returned)))
	return taken / returned, (part - taken) / (1 - returned)
}

// retryAfter returns when the caller of a request that is not run may return. The more are refused, the longer the
// time over which they return.
func (s *Service) retryAfter(request Request, part float64) time.Duration {
	objective := request.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	shortest := objective / minRetryDivisor
	refusedPerPassing := (1 - part) / max(part, minPassing)
	spread := float64(objective) * min(maxRetrySpread, retrySpread*(1+refusedPerPassing))
	if longest := request.Left / leftDivisor; request.Left > 0 {
		shortest = min(shortest, longest)
		spread = min(spread, float64(longest-shortest))
	}
	return shortest + time.Duration(s.rng.Float64()*spread)
}

// Bounded bounds the time after which a caller may return by the time that it has left; no bound without one.
func Bounded(after, left time.Duration) time.Duration {
	if left <= 0 {
		return after
	}
	return min(after, left/leftDivisor)
}

const (
	// patienceSamples is the number of the last requests of a route that are compared, of which patienceQuantile state no
	// longer time than is taken for that of new ones: single callers may state any.
	patienceSamples  = 64
	patienceQuantile = 0.9
	// patienceInterval is the number of requests after which that is computed again.
	patienceInterval = 8
	// maxRoutes bounds the routes that are kept. All are forgotten beyond it.
	maxRoutes = 4096
)

// Patience tells requests that have returned from new ones by the time that their callers still wait, which is the
// longest for new ones.
type Patience struct{ routes map[string]*routeTimes }

// routeTimes holds the times that the callers of the last requests of a route waited.
type routeTimes struct {
	times  [patienceSamples]time.Duration
	count  int
	ofNew  time.Duration
	sorted [patienceSamples]time.Duration
}

// NewPatience returns a Patience that has seen no request.
func NewPatience() *Patience { return &Patience{routes: make(map[string]*routeTimes)} }

// Returned reports whether a request of a route has returned. A stated time counts up to the timeout of the route. Without one
// the request counts as new.
func (p *Patience) Returned(route string, left, timeout time.Duration) bool {
	if left <= 0 {
		return false
	}
	known := p.routes[route]
	if known == nil {
		if len(p.routes) >= maxRoutes {
			clear(p.routes)
		}
		known = new(routeTimes)
		p.routes[route] = known
	}
	if timeout > 0 {
		left = min(left, timeout)
	}
	known.add(left)
	return left < known.ofNew-returnMargin
}

func (r *routeTimes) add(left time.Duration) {
	r.times[r.count%patienceSamples] = left
	r.count++
	if r.count > patienceSamples && r.count%patienceInterval != 0 {
		return
	}
	times := r.sorted[:copy(r.sorted[:], r.times[:min(r.count, patienceSamples)])]
	slices.Sort(times)
	r.ofNew = times[int(math.Ceil(patienceQuantile*float64(len(times))))-1]
}
