package admission

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain raises the number of random histories; the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "5000"); err != nil {
		panic(err)
	}
	m.Run()
}

// model is a simple reference model: it tracks which requests wait and run, by id.
type model struct {
	t       *rapid.T
	c       *Controller
	config  Config
	now     time.Time
	waiting map[string]Request
	expires map[string]time.Time
	running map[string]Request
	done    map[string]bool
	leaving bool
	next    int
}

func (m *model) inFlight(workspace string) int { return count(m.running, workspace) }

func count(requests map[string]Request, workspace string) int {
	n := 0
	for _, r := range requests {
		if r.Workspace == workspace {
			n++
		}
	}
	return n
}

func (m *model) weight(workspace string) int { return max(1, m.config.Workspaces[workspace].Weight) }

// share is the workspace's part of the queue among those with queued requests.
func (m *model) share(workspace string) float64 {
	total := m.weight(workspace)
	seen := map[string]bool{workspace: true}
	for _, r := range m.waiting {
		if !seen[r.Workspace] {
			seen[r.Workspace] = true
			total += m.weight(r.Workspace)
		}
	}
	return float64(m.config.Limits.QueueLength*m.weight(workspace)) / float64(total)
}

func (m *model) apply(decisions []Decision) {
	for _, d := range decisions {
		request, ok := m.waiting[d.ID]
		if !ok {
			m.t.Fatalf("decision %v on %s, which does not wait", d.Verdict, d.ID)
		}
		switch d.Verdict {
		case Admitted:
			m.admit(request)
		case Refused:
			if d.Err == nil || d.Err.Kind != "not_run" || d.Err.RetryAfter <= 0 {
				m.t.Fatalf("refusal of %s without kind or Retry-After: %v", d.ID, d.Err)
			}
		default:
			m.t.Fatalf("queued twice: %s", d.ID)
		}
		delete(m.waiting, d.ID)
		m.done[d.ID] = true
	}
}

func (m *model) admit(request Request) {
	for _, other := range m.waiting {
		if !m.withinShare(request.Workspace) && m.withinShare(other.Workspace) {
			m.t.Fatalf("%v above its share started before %v within its share", request, other)
		}
		if other.Workspace == request.Workspace && preferred(other, request) {
			m.t.Fatalf("%v started before %v of the same workspace", request, other)
		}
	}
	if e := m.expires[request.ID]; !e.IsZero() && !e.After(m.now) {
		m.t.Fatalf("%s started after its time for queueing", request.ID)
	}
	if m.leaving {
		m.t.Fatalf("%s started while leaving", request.ID)
	}
	if limit := m.config.Workspaces[request.Workspace].MaxInFlight; limit > 0 && m.inFlight(request.Workspace) >= limit {
		m.t.Fatalf("%s started above the workspace's limit %d", request.ID, limit)
	}
	if m.c.Load().InFlight > m.c.Load().Limit {
		m.t.Fatalf("%s started above the limit", request.ID)
	}
	m.running[request.ID] = request
}

// withinShare reports whether the workspace may start a request inside its share of the limit.
func (m *model) withinShare(workspace string) bool {
	total := 0
	for _, name := range []string{"a", "b", "c"} {
		if count(m.waiting, name)+count(m.running, name) > 0 || name == workspace {
			total += m.weight(name)
		}
	}
	n := m.inFlight(workspace)
	limit := m.config.Workspaces[workspace].MaxInFlight
	return (limit == 0 || n < limit) && (n+1)*total <= m.c.Load().Limit*m.weight(workspace)
}

// preferred reports whether a must start before b. Equal requests may start in any order.
func preferred(a, b Request) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.Deadline.IsZero() || b.Deadline.IsZero() {
		return b.Deadline.IsZero() && !a.Deadline.IsZero()
	}
	return a.Deadline.Before(b.Deadline)
}

func (m *model) offer(t *rapid.T) {
	m.next++
	request := Request{
		ID: fmt.Sprint(m.next), Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		Priority: rapid.Int32Range(0, 2).Draw(t, "priority"),
	}
	if budget := rapid.IntRange(0, 20).Draw(t, "budget"); budget > 0 {
		request.Deadline = m.now.Add(time.Duration(budget) * 100 * time.Millisecond)
	}
	decision, others := m.c.Offer(request, m.now)
	m.apply(others)
	switch decision.Verdict {
	case Admitted:
		m.admit(request)
	case Queued:
		m.waiting[request.ID] = request
		if !request.Deadline.IsZero() {
			m.expires[request.ID] = m.now.Add(request.Deadline.Sub(m.now) / 2)
		}
	case Refused:
		full := strings.Contains(decision.Err.Error(), "queue is full")
		if full && float64(count(m.waiting, request.Workspace)+1) <= m.share(request.Workspace) {
			t.Fatalf("%s refused inside its share", request.Workspace)
		}
	}
}

// drawID returns the id of a random request, or "" when there is none.
func (m *model) drawID(t *rapid.T, from map[string]Request) string {
	var ids []string
	for i := 1; i <= m.next; i++ {
		if _, ok := from[fmt.Sprint(i)]; ok {
			ids = append(ids, fmt.Sprint(i))
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *model) finish(t *rapid.T) {
	id := m.drawID(t, m.running)
	delete(m.running, id)
	latency := time.Duration(rapid.IntRange(1, 300).Draw(t, "latency")) * time.Millisecond
	m.apply(m.c.Finish(id, rapid.SampledFrom([]Result{Succeeded, Failed, Abandoned}).Draw(t, "result"), latency, m.now))
}

func (m *model) cancel(t *rapid.T) {
	id := m.drawID(t, m.waiting)
	removed, others := m.c.Cancel(id, m.now)
	if removed != (id != "") {
		t.Fatalf("cancel of %q: removed %v", id, removed)
	}
	delete(m.waiting, id)
	m.apply(others)
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "step")) * time.Millisecond)
	m.apply(m.c.Tick(m.now))
}

func (m *model) configure(t *rapid.T) {
	m.config = drawConfig(t)
	m.apply(m.c.Configure(m.config, m.now))
}

func drawConfig(t *rapid.T) Config {
	cold := rapid.IntRange(1, 3).Draw(t, "cold")
	config := Config{
		Limits: Limits{
			ColdInFlight: cold, WarmInFlight: cold + rapid.IntRange(0, 5).Draw(t, "warm"), Ramp: 200 * time.Millisecond,
			QueueLength: rapid.IntRange(0, 8).Draw(t, "queue"),
		},
		Workspaces: map[string]Workspace{},
	}
	for _, name := range []string{"a", "b"} {
		config.Workspaces[name] = Workspace{
			Weight: rapid.IntRange(0, 5).Draw(t, "weight"), MaxInFlight: rapid.IntRange(0, 3).Draw(t, "max"),
		}
	}
	return config
}

// check compares the controller with the model after each step.
func (m *model) check(t *rapid.T) {
	load := m.c.Load()
	if load.InFlight != len(m.running) || load.Queued != len(m.waiting) {
		t.Fatalf("load %+v, model runs %d and queues %d", load, len(m.running), len(m.waiting))
	}
	if load.Queued > m.config.Limits.QueueLength {
		t.Fatalf("queue of %d above its bound", load.Queued)
	}
	if len(m.c.queue.lanes) > load.InFlight+load.Queued {
		t.Fatalf("%d workspaces kept for %+v", len(m.c.queue.lanes), load)
	}
	for _, request := range m.waiting {
		limit := m.config.Workspaces[request.Workspace].MaxInFlight
		if load.InFlight < load.Limit && (limit == 0 || m.inFlight(request.Workspace) < limit) {
			t.Fatalf("%s waits although there is a free slot: %+v", request.ID, load)
		}
	}
}

// Guards against lost, duplicated or misordered decisions, starts above a limit, slots
// that stay free while requests wait, and state that grows, over random histories.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := drawConfig(t)
		m := &model{
			t: t, c: New(config, epoch), config: config, now: epoch, waiting: map[string]Request{},
			expires: map[string]time.Time{}, running: map[string]Request{}, done: map[string]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": m.offer, "offer again": m.offer, "finish": m.finish, "cancel": m.cancel, "advance": m.advance,
			"configure": m.configure,
			"cold":      func(*rapid.T) { m.c.ResetToCold(m.now) },
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "drain") == 0 {
					m.apply(m.c.Drain(m.now))
					m.leaving = true
				}
			},
			"": m.check,
		})
	})
}
