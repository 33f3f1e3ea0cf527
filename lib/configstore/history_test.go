package configstore

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"laburnumgw/lib/config"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

var historySeed = flag.Uint64("history.seed", 0, "run only the history of this seed")

// historyCount is the number of seeds that TestRacingOperators runs.
const historyCount = 2500

// scheduler runs one operator at a time and picks the next one at each platform call,
// so that a seed always gives the same history. An operator sends true on paused before
// each call and false when it has finished.
type scheduler struct {
	rng    *rand.Rand
	paused chan bool
	resume []chan struct{}
}

func (s *scheduler) run(operators []func(platform.Store), store platform.Store) {
	var running []int
	for range operators {
		s.resume = append(s.resume, make(chan struct{}))
	}
	for i, operator := range operators {
		running = append(running, i)
		go func() {
			<-s.resume[i]
			operator(&scheduledStore{Store: store, s: s, id: i})
			s.paused <- false
		}()
	}
	for len(running) > 0 {
		pick := s.rng.IntN(len(running))
		s.resume[running[pick]] <- struct{}{}
		if !<-s.paused {
			running = slices.Delete(running, pick, pick+1)
		}
	}
}

// scheduledStore waits before each call until the scheduler resumes its operator.
type scheduledStore struct {
	platform.Store
	s  *scheduler
	id int
}

func (t *scheduledStore) waitScheduled() {
	t.s.paused <- true
	<-t.s.resume[t.id]
}

func (t *scheduledStore) Get(ctx context.Context, key string) (platform.Object, error) {
	t.waitScheduled()
	return t.Store.Get(ctx, key)
}

func (t *scheduledStore) List(ctx context.Context, prefix string) ([]platform.Object, int64, error) {
	t.waitScheduled()
	return t.Store.List(ctx, prefix)
}

func (t *scheduledStore) Create(ctx context.Context, key string, value []byte) (platform.Object, error) {
	t.waitScheduled()
	return t.Store.Create(ctx, key, value)
}

func (t *scheduledStore) Update(ctx context.Context, key string, value []byte, version int64) (platform.Object, error) {
	t.waitScheduled()
	return t.Store.Update(ctx, key, value, version)
}

// randomFaults returns an injector that makes calls fail with the given probability.
// Only writes get lost requests and lost responses.
func randomFaults(rng *rand.Rand, probability float64) func(verb, key string) platform.Fault {
	return func(verb, _ string) platform.Fault {
		if rng.Float64() >= probability {
			return platform.NoFault
		}
		if verb == "get" || verb == "list" {
			return platform.FaultUnavailable
		}
		return []platform.Fault{platform.FaultUnavailable, platform.FaultLostResponse, platform.FaultLostRequest}[rng.IntN(3)]
	}
}

func noWait(context.Context, time.Duration) error { return nil }

func testClient(store platform.Store) *Client {
	c := NewClient(store)
	c.Wait = noWait
	c.MaxConcurrentCalls = 1
	c.SweepEveryGenerations = 2
	return c
}

// outcome is the result of one edit as its operator received it.
type outcome struct {
	id, workspace string
	generation    uint64
	err           error
}

// editor applies edits to random files and reads the configuration before each.
type editor struct {
	rng      *rand.Rand
	name     string
	outcomes []outcome
}

func (e *editor) run(store platform.Store, edits int) {
	ctx := context.Background()
	c := testClient(store)
	for n := range edits {
		base, files, err := e.read(ctx, c)
		if err != nil && !errkind.Is(err, errkind.NotFound) {
			e.outcomes = append(e.outcomes, outcome{id: "read", err: err})
			continue
		}
		change := Change{Operator: e.name, ApplyID: fmt.Sprintf("%s-%d", e.name, n), Base: base, Files: slices.Clone(files)}
		workspace := fmt.Sprintf("w-%s-%d", e.name, n)
		change.Files = addWorkspace(change.Files, fmt.Sprintf("%d.yaml", e.rng.IntN(3)), workspace)
		change.Files = setFile(change.Files, "toggle.yaml", fmt.Sprintf("limits: {queue_length: %d}", e.rng.IntN(3)))
		applied, err := c.Apply(ctx, change)
		e.outcomes = append(e.outcomes, outcome{id: change.ApplyID, workspace: workspace, generation: applied.Generation, err: err})
	}
}

// read reads the accepted files with ReadFiles or Read, picked at random.
func (e *editor) read(ctx context.Context, c *Client) (uint64, []config.File, error) {
	if e.rng.IntN(2) == 0 {
		return c.ReadFiles(ctx)
	}
	bundle, err := c.Read(ctx, nil)
	if err != nil {
		return 0, nil, err
	}
	return bundle.Generation, bundle.Files, nil
}

// setFile replaces a file. With few different contents, a content that became unused is
// used again later.
func setFile(files []config.File, name, content string) []config.File {
	files = slices.DeleteFunc(files, func(f config.File) bool { return f.Name == name })
	return append(files, config.File{Name: name, Content: []byte(content)})
}

func addWorkspace(files []config.File, name, workspace string) []config.File {
	line := fmt.Sprintf("  %s: {}\n", workspace)
	for i, file := range files {
		if file.Name == name {
			files[i].Content = []byte(string(file.Content) + line)
			return files
		}
	}
	return append(files, config.File{Name: name, Content: []byte("workspaces:\n" + line)})
}

func (t *scheduledStore) Delete(ctx context.Context, key string, version int64) error {
	t.waitScheduled()
	return t.Store.Delete(ctx, key, version)
}

// acceptedHeads returns every head that the store ever held, read from its events.
func acceptedHeads(store *platform.Memory) ([]Head, error) {
	store.Inject = nil
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	events, _, err := store.Watch(ctx, []string{HeadKey}, 0)
	if err != nil {
		return nil, err
	}
	var heads []Head
	for _, event := range events {
		head, err := decodeHead(event.Object.Value)
		if err != nil {
			return nil, err
		}
		heads = append(heads, head)
	}
	return heads, nil
}

func runHistory(seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, 1))
	store := platform.NewMemory()
	store.Inject = randomFaults(rng, 0.4*rng.Float64())
	editors := make([]*editor, 2+rng.IntN(4))
	var operators []func(platform.Store)
	for i := range editors {
		editors[i] = &editor{rng: rng, name: fmt.Sprintf("op%d", i)}
		edits := 1 + rng.IntN(4)
		operators = append(operators, func(store platform.Store) { editors[i].run(store, edits) })
	}
	s := &scheduler{rng: rng, paused: make(chan bool)}
	s.run(operators, store)
	heads, err := acceptedHeads(store)
	if err != nil {
		return err
	}
	for i, head := range heads {
		if head.Generation != uint64(i+1) || head.Parent != uint64(i) {
			return fmt.Errorf("generation %d with parent %d follows %d", head.Generation, head.Parent, i)
		}
	}
	return checkOutcomes(store, heads, editors)
}

// checkOutcomes compares the outcomes that the operators received with the accepted heads.
func checkOutcomes(store platform.Store, heads []Head, editors []*editor) error {
	accepted := make(map[string]uint64)
	for _, head := range heads {
		if earlier, ok := accepted[head.ApplyID]; ok {
			return fmt.Errorf("%s was accepted as %d and %d", head.ApplyID, earlier, head.Generation)
		}
		accepted[head.ApplyID] = head.Generation
	}
	final := ""
	if len(heads) > 0 {
		bundle, err := testClient(store).Read(context.Background(), nil)
		if err != nil {
			return err
		}
		for _, file := range bundle.Files {
			final += string(file.Content)
		}
	}
	for _, editor := range editors {
		for _, o := range editor.outcomes {
			generation, ok := accepted[o.id]
			var conflict *ConflictError
			switch {
			case ok && o.err == nil && generation != o.generation:
				return fmt.Errorf("%s: reported generation %d, accepted as %d", o.id, o.generation, generation)
			case ok && o.err != nil && !errkind.Is(o.err, errkind.OutcomeUnknown):
				return fmt.Errorf("%s was accepted as %d, but its operator received: %w", o.id, generation, o.err)
			case !ok && o.err == nil:
				return fmt.Errorf("%s was not accepted, but reported as accepted", o.id)
			case o.err != nil && !errors.As(o.err, &conflict):
				return fmt.Errorf("%s: untyped or unresolved error: %w", o.id, o.err)
			case conflict != nil && conflict.Generation <= conflict.Base:
				return fmt.Errorf("%s: conflict without a later generation: %w", o.id, o.err)
			}
			if ok != strings.Contains(final, o.workspace+":") {
				return fmt.Errorf("%s: accepted %v, in the final files %v", o.id, ok, !ok)
			}
		}
	}
	return nil
}

// Guards against accepted edits that are lost, edits that are reported with another
// outcome than they had, and forked generations, when operators apply concurrently and
// responses are lost. Every outcome must be resolved, because no history has more applies
// than the head keeps in RecentApplies.
func TestRacingOperators(t *testing.T) {
	if *historySeed != 0 {
		if err := runHistory(*historySeed); err != nil {
			t.Fatalf("seed %d: %v", *historySeed, err)
		}
		return
	}
	failed := 0
	for seed := uint64(1); seed <= historyCount; seed++ {
		if err := runHistory(seed); err != nil {
			failed++
			if failed <= 3 {
				t.Errorf("seed %d: %v", seed, err)
			}
		}
	}
	t.Logf("%d of %d histories failed", failed, historyCount)
}
