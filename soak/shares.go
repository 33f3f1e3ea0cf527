package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"laburnumgw/standin/hosted"
)

const (
	// shareCallers is the number of callers of each workspace at an entry. Together they ask for twice what the plain workers
	// have room for, with sharedSlots and sharedTime.
	shareCallers = 12
	sharedSlots  = 4
	sharedTime   = 200 * time.Millisecond
	// minDrawTime and maxDrawTime bound how long something that was drawn lasts. Workers are compared within that time, once
	// the entries know of it.
	minDrawTime = 3 * time.Second
	maxDrawTime = 5 * time.Second
	noticedTime = time.Second
	// rankSettle is the time after which shares follow ranks: the configuration is in force, shortage is noticed and demand
	// is known at all entries.
	rankSettle = changeBound + settleWindow
	// rankMargin is by how much the urgent workspace may be refused more often: of callers that come back once, it loses one in a
	// hundred then.
	rankMargin = 0.1
	// minCompared is the least number of requests of each side of a comparison, and minRefused the share of them that shows a want
	// of room.
	minCompared = 200
	minRefused  = 0.1
	// floodFactor is how much more a worker may get than the mean of the others, or less: with half of its part it is as good as
	// left out.
	floodFactor = 2.0
	usualPace   = 100
	slowPace    = 300
)

// statedNonsense are statements of load with one figure that is none.
var statedNonsense = []hosted.Statement{
	{Figure: 0, Text: "-5"}, {Figure: 0, Text: "NaN"}, {Figure: 1, Text: "-1"}, {Figure: 1, Text: "1e300"}, {Figure: 2, Text: "x"},
	{Figure: 3, Text: "0"}, {Figure: 3, Text: "1000000000"}, {Figure: 3, Text: "-250"}, {Figure: 4, Text: "0"},
}

// rankStretch is a time in which the workspace of one key comes before that of another.
type rankStretch struct {
	window
	urgent, other string
}

// sharesRun has callers of two workspaces ask for more than the plain workers have room for.
type sharesRun struct {
	*run
	stretches []rankStretch
	// compared counts the comparisons that could show something.
	compared int
}

// RunShares starts a fleet with too little room for two workspaces that differ in rank, and draws one of these at a time: the ranks
// change, a worker states nonsense of its load, or is slow and says so, or leaves, or entries reload their settings.
func RunShares(options Options, seed uint64, duration time.Duration) (result Result, err error) {
	options.PlainSlots, options.PlainTime = sharedSlots, sharedTime
	fleet, err := Start(options)
	if err != nil {
		return Result{Seed: seed}, err
	}
	defer func() { err = errors.Join(err, fleet.Stop()) }()
	s := &sharesRun{run: &run{
		fleet: fleet, rng: rand.New(rand.NewPCG(seed, 23)), result: Result{Seed: seed}, plannedRestarts: make(map[string][]window),
		starts: make(map[string][]window), settings: newSettings(), configVersion: 1,
	}}
	if err := fleet.AwaitReady(readyTimeout); err != nil {
		return s.result, err
	}
	for _, m := range s.workers() {
		m.SetLimit("") // it counts arrivals from here on
		m.SetStatement(hosted.Statement{Pace: usualPace})
	}
	s.callers = fleet.startSharing(seed)
	s.rankWorkspaces()
	s.stateNonsense()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		s.draw()
	}
	s.endStretch()
	s.checkRun(s.callers.Stop())
	return s.result, errors.Join(s.startErrors...)
}

// workers returns the workers that the callers share.
func (s *sharesRun) workers() []*ProxiedWorker { return s.fleet.PlainWorkers[:s.fleet.Plain] }

// startSharing starts callers of two workspaces at each entry.
func (f *Fleet) startSharing(seed uint64) *Callers {
	c := f.newCallers()
	for i, entry := range f.Entries {
		for k := range 2 * shareCallers {
			key, kind := []string{APIKey, otherKey}[k%2], []string{kindBook, kindView}[k/2%2]
			c.repeat(func(n int) {
				m, _, _ := f.newMessage(entry, kind, fmt.Sprintf("%d-%s-%d-%d", seed, kind, i, k*callerNumbers+n), n)
				m.key = key
				o := c.sendMessage(entry, m)
				c.record(o)
				time.Sleep(callerPause)
				if o.Status != http.StatusOK {
					time.Sleep(refusalPause)
				}
			})
		}
	}
	return c
}

func (s *sharesRun) draw() {
	switch s.rng.IntN(6) {
	case 0:
		s.rankWorkspaces()
	case 1, 2:
		s.stateNonsense()
	case 3:
		s.stateLoad(hosted.Statement{Pace: slowPace})
	case 4:
		s.leave(pick(s.rng, s.workers()))
		time.Sleep(drainBound + settleWindow)
	case 5:
		s.hangUp()
		time.Sleep(maxSeriesTime)
	}
}

func (s *sharesRun) stateNonsense() {
	stated := pick(s.rng, statedNonsense)
	stated.Pace = usualPace
	s.stateLoad(stated)
}

// rankWorkspaces puts one of the workspaces before the other.
func (s *sharesRun) rankWorkspaces() {
	s.endStretch()
	urgent, other := APIKey, otherKey
	if s.rng.IntN(2) == 0 {
		urgent, other = other, urgent
	}
	s.settings.ranks = map[string]int{urgent: 0, other: 2}
	s.note("the workspace of %q comes first", urgent)
	s.publish(s.settings)
	time.Sleep(rankSettle)
	s.stretches = append(s.stretches, rankStretch{window{from: time.Now()}, urgent, other})
	time.Sleep(maxDrawTime)
}

func (s *sharesRun) endStretch() {
	if last := len(s.stretches) - 1; last >= 0 {
		s.stretches[last].to = time.Now()
	}
}

// stateLoad has a worker state its load in another way for some time, and compares what it gets with what the others get.
func (s *sharesRun) stateLoad(stated hosted.Statement) {
	m, lasts := pick(s.rng, s.workers()), minDrawTime+time.Duration(s.rng.Int64N(int64(maxDrawTime-minDrawTime)))
	s.note("%s states for %s: %+v", m.ID, lasts, stated)
	m.SetStatement(stated)
	time.Sleep(noticedTime)
	from := time.Now()
	time.Sleep(lasts - noticedTime)
	arrived, others := m.Arrivals(from, time.Now()), 0
	for _, w := range s.workers() {
		if w != m {
			others += w.Arrivals(from, time.Now())
		}
	}
	m.SetStatement(hosted.Statement{Pace: usualPace})
	s.note("%s got %d requests, the others %d", m.ID, arrived, others)
	if err := s.checkArrivals(stated, float64(arrived), float64(others)/float64(len(s.workers())-1)); err != nil {
		s.result.Violations = append(s.result.Violations, fmt.Errorf("%s: %w", m.ID, err))
	}
	time.Sleep(noticedTime)
}

// checkArrivals compares what a worker gets with the mean of the others.
func (s *sharesRun) checkArrivals(stated hosted.Statement, got, mean float64) error {
	if mean+got < minCompared/4 {
		return nil
	}
	s.compared++
	switch {
	case got > floodFactor*mean, stated.Pace > usualPace && got > mean:
		return fmt.Errorf("got %.0f requests and the others %.0f in the mean while it stated %+v", got, mean, stated)
	case stated.Pace == usualPace && got < mean/floodFactor:
		return fmt.Errorf("got only %.0f requests and the others %.0f in the mean while it stated %+v", got, mean, stated)
	}
	return nil
}

// checkRun reports refused requests that ran, entries that refuse all, and urgent workspaces that were refused more often than less urgent ones.
func (s *sharesRun) checkRun(outcomes []Outcome) {
	violation := func(format string, args ...any) {
		s.result.Violations = append(s.result.Violations, fmt.Errorf(format, args...))
	}
	for _, o := range outcomes {
		s.result.Requests++
		if o.Status == http.StatusOK && o.Err == nil {
			s.result.Served++
		}
		if o.Violation != nil {
			violation("%s at %s: %w", o.ID, o.Entry, o.Violation)
		}
		runs := 0
		for _, m := range s.fleet.PlainWorkers {
			runs += m.Runs(o.ID)
		}
		if isRefusal(o) && runs > 0 {
			violation("%s was answered %d and ran", o.ID, o.Status)
		}
		if o.Kind == kindBook && runs > 1 {
			violation("%s ran %d times", o.ID, runs)
		}
	}
	shown := 0
	for _, stretch := range s.stretches {
		urgent, asked := stretch.refused(outcomes, stretch.urgent)
		other, otherAsked := stretch.refused(outcomes, stretch.other)
		if min(asked, otherAsked) < minCompared || max(urgent, other) < minRefused {
			continue
		}
		shown++
		s.checkEntries(stretch, outcomes, violation)
		s.note("%.3f of %d requests of %q were refused, and %.3f of %d of %q", urgent, asked, stretch.urgent, other, otherAsked, stretch.other)
		if urgent > other+rankMargin {
			violation("%.3f of %d requests of the urgent workspace were refused from %s on, %.3f of %d of the other", urgent, asked, stretch.from.UTC().Format("15:04:05.000"), other, otherAsked)
		}
	}
	if shown == 0 || s.compared == 0 {
		violation("nothing was shown: %d of %d times with ranks had too little room, %d statements of load were compared", shown, len(s.stretches), s.compared)
	}
}

// checkEntries reports entries that refused all requests of the urgent workspace while others served it.
func (s *sharesRun) checkEntries(stretch rankStretch, outcomes []Outcome, violation func(format string, args ...any)) {
	for _, p := range s.fleet.Entries {
		at := slices.DeleteFunc(slices.Clone(outcomes), func(o Outcome) bool { return o.Entry != p.Name })
		refused, asked := stretch.refused(at, stretch.urgent)
		s.note("%s refused %.3f of %d requests of the urgent workspace", p.Name, refused, asked)
		if asked >= minCompared/len(s.fleet.Entries) && refused == 1 {
			violation("%s refused all %d requests of the urgent workspace from %s on", p.Name, asked, stretch.from.UTC().Format("15:04:05.000"))
		}
	}
}

// refused returns the share of a workspace's requests in a stretch that were refused, and how many it sent.
func (r rankStretch) refused(outcomes []Outcome, key string) (share float64, asked int) {
	refused := 0
	for _, o := range outcomes {
		if o.Key != key || o.Sent.Before(r.from) || !o.Sent.Before(r.to) {
			continue
		}
		asked++
		if isRefusal(o) {
			refused++
		}
	}
	return float64(refused) / float64(max(asked, 1)), asked
}

// isRefusal reports whether a request was answered as not run.
func isRefusal(o Outcome) bool {
	return o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests
}
