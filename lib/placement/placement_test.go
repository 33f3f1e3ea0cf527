package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"laburnumgw/lib/config"
	"laburnumgw/lib/errkind"
)

var testZones = []string{"a", "b", "c"}

// fleet simulates VMs that follow the decisions with random delays and faults.
type fleet struct {
	in   Input
	last Decision
}

func newFleet() *fleet {
	w := &fleet{in: Input{Config: &config.Snapshot{Models: make(map[string]config.Model)}, Fencing: 1}}
	return w
}

func (w *fleet) addVM(zone string, memory int, models ...string) {
	name := fmt.Sprintf("vm-%s-%d", zone, len(w.in.Endpoints))
	w.in.Endpoints = append(w.in.Endpoints, Endpoint{
		VM: name, Zone: zone, Models: models, MemoryMB: memory, Serving: make(map[string]string), Alive: true})
}

// publish adds versions v0, v1 and so on with the given sizes.
func (w *fleet) publish(model string, sizes ...int) {
	for i, size := range sizes {
		name := fmt.Sprintf("v%d", i)
		w.in.Versions = append(w.in.Versions, Version{Model: model, Name: name, Digest: model + name, SizeMB: size})
	}
}

func (w *fleet) decide() Decision {
	d, err := Decide(w.in)
	if err != nil {
		panic(err)
	}
	w.in.Previous = d.Plans
	w.last = d
	return d
}

func (w *fleet) endpoint(vm string) *Endpoint {
	i := slices.IndexFunc(w.in.Endpoints, func(e Endpoint) bool { return e.VM == vm })
	return &w.in.Endpoints[i]
}

// load lets a VM serve what it is assigned.
func (w *fleet) load(vm string) {
	e := w.endpoint(vm)
	e.Serving = make(map[string]string)
	for _, plan := range w.in.Previous {
		for _, a := range plan.Assignments {
			if a.VM == vm {
				e.Serving[plan.Model] = a.Digest
			}
		}
	}
}

func (w *fleet) loadAll() {
	for _, e := range w.in.Endpoints {
		w.load(e.VM)
	}
}

// groupView is the state of a model in a zone, for the checks.
type groupView struct {
	replicas  map[string]string
	switching map[string]bool
	waiting   int
}

func (w *fleet) view(plans []Plan) map[string]*groupView {
	views := make(map[string]*groupView)
	for _, plan := range plans {
		for _, a := range plan.Assignments {
			e := w.endpoint(a.VM)
			key := plan.Model + "/" + e.Zone
			if views[key] == nil {
				views[key] = &groupView{replicas: make(map[string]string), switching: make(map[string]bool)}
			}
			v := views[key]
			v.replicas[a.VM] = a.Digest
			switch e.Serving[plan.Model] {
			case a.Digest:
			case "":
				v.waiting++
			default:
				v.switching[a.VM] = true
			}
		}
	}
	return views
}

// checkWaves checks the waves that a decision starts, given the previous plans.
func (w *fleet) checkWaves(before, after []Plan) error {
	old, now := w.view(before), w.view(after)
	started := make(map[string]int)
	for _, key := range slices.Sorted(maps.Keys(now)) {
		v := now[key]
		newlySwitching := maps.Clone(v.switching)
		if old[key] != nil {
			maps.DeleteFunc(newlySwitching, func(vm string, _ bool) bool { return old[key].switching[vm] })
		}
		limit := max(1, len(v.replicas)/3)
		if len(newlySwitching) > 0 && len(v.switching) > limit {
			return fmt.Errorf("%s: %d of %d replicas switch, the limit is %d", key, len(v.switching), len(v.replicas), limit)
		}
		if len(newlySwitching) > 0 && (len(newlySwitching) < len(v.switching) || v.waiting > 0) {
			return fmt.Errorf("%s: a wave starts before the previous one serves: %v, newly switching %v, %d not serving", key, v, newlySwitching, v.waiting)
		}
		if len(v.replicas) < 3 && len(v.switching) > 0 {
			model := key[:len(key)-2]
			started[model] += min(1, len(newlySwitching))
			if started[model] > 1 {
				return fmt.Errorf("%s: two zones with fewer than 3 replicas start to switch at once", model)
			}
		}
	}
	return nil
}

func (w *fleet) checkMemory() error {
	used := make(map[string]int)
	sizes := make(map[string]int)
	for _, v := range w.in.Versions {
		sizes[v.Digest] = v.SizeMB
	}
	for _, plan := range w.last.Plans {
		for _, a := range plan.Assignments {
			mb := max(sizes[a.Digest], sizes[w.endpoint(a.VM).Serving[plan.Model]])
			if fixed := w.in.Config.Models[plan.Model].MemoryMB; fixed > 0 {
				mb = fixed
			}
			used[a.VM] += mb
			if e := w.endpoint(a.VM); used[a.VM] > e.MemoryMB || !e.Alive || !slices.Contains(e.Models, plan.Model) {
				return fmt.Errorf("%s: %d of %d MB used, alive %v, accepts %v", a.VM, used[a.VM], e.MemoryMB, e.Alive, e.Models)
			}
		}
	}
	return nil
}

func (w *fleet) checkCounts() error {
	for _, e := range w.last.Explanations {
		missing := 0
		for _, u := range w.last.Shortfalls {
			if u.Model == e.Model && u.Zone == e.Zone && u.Remedy() != "" {
				missing += u.Missing
			}
		}
		if e.Replicas > e.Desired || e.Replicas+missing < e.Desired || e.Reason == "" {
			return fmt.Errorf("%d missing: %s", missing, e)
		}
	}
	return nil
}

func randomFleet(t *rapid.T) *fleet {
	w := newFleet()
	models := []string{"m", "n"}
	for _, zone := range testZones {
		for range rapid.IntRange(0, 9).Draw(t, "vms") {
			w.addVM(zone, rapid.IntRange(5, 40).Draw(t, "memory"), models[:rapid.IntRange(1, 2).Draw(t, "accepts")]...)
		}
	}
	for _, model := range models {
		w.publish(model, rapid.IntRange(4, 12).Draw(t, "size0"), rapid.IntRange(4, 12).Draw(t, "size1"), 8)
		w.in.Config.Models[model] = config.Model{Version: "v0", Zones: testZones, ReplicasPerZone: rapid.IntRange(0, 7).Draw(t, "replicas")}
	}
	return w
}

func (w *fleet) randomEvent(t *rapid.T) {
	models := []string{"m", "n"}
	name := rapid.SampledFrom(models).Draw(t, "model")
	model := w.in.Config.Models[name]
	vm := 0
	if len(w.in.Endpoints) > 0 {
		vm = rapid.IntRange(0, len(w.in.Endpoints)-1).Draw(t, "vm")
	}
	switch event := rapid.IntRange(0, 9).Draw(t, "event"); {
	case event == 0:
		model.Version = rapid.SampledFrom([]string{"v0", "v1", "v2", "missing"}).Draw(t, "version")
	case event == 1:
		model.ReplicasPerZone = rapid.IntRange(0, 7).Draw(t, "replicas")
		model.All = rapid.Bool().Draw(t, "all")
	case event == 2:
		w.addVM(rapid.SampledFrom(testZones).Draw(t, "zone"), rapid.IntRange(5, 40).Draw(t, "memory"), models...)
	case event == 3:
		model.MemoryMB = rapid.IntRange(0, 9).Draw(t, "memory_mb")
	case len(w.in.Endpoints) == 0:
	case event == 4:
		e := &w.in.Endpoints[vm]
		e.Alive = !e.Alive
		e.Serving = make(map[string]string)
	case event == 5:
		w.in.Endpoints[vm].Serving = make(map[string]string)
	default:
		for range 4 {
			w.load(w.in.Endpoints[rapid.IntRange(0, len(w.in.Endpoints)-1).Draw(t, "loads")].VM)
		}
	}
	w.in.Config.Models[name] = model
}

// Guards against memory that is exceeded, waves above their limit or before the
// previous one serves, and decisions that differ for the same state.
func TestRandomFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := randomFleet(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := w.in.Previous
			d := w.decide()
			for _, err := range []error{w.checkWaves(before, d.Plans), w.checkMemory(), w.checkCounts()} {
				if err != nil {
					t.Fatal(err)
				}
			}
			slices.Reverse(w.in.Endpoints)
			if again := w.decide(); len(again.Changed) > 0 {
				t.Fatalf("the same state changes the plans of %v", again.Changed)
			}
			w.randomEvent(t)
		}
	})
}

// Guards against a change of version that never completes, and replicas that move when
// one VM dies or joins.
func TestProgressAndStability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := randomFleet(t)
		w.decide()
		w.loadAll()
		for _, version := range []string{"v2", "v0"} {
			model := w.in.Config.Models["m"]
			model.Version = version
			model.MemoryMB = 4
			w.in.Config.Models["m"] = model
			for range 3 * (len(w.in.Endpoints) + 2) {
				w.decide()
				w.loadAll()
			}
			for _, plan := range w.last.Plans {
				for _, a := range plan.Assignments {
					if plan.Model == "m" && a.Digest != "m"+version {
						t.Fatalf("%s stays at %s", a.VM, a.Digest)
					}
				}
			}
		}
		if len(w.in.Endpoints) == 0 {
			return
		}
		before := w.view(w.in.Previous)
		dead := &w.in.Endpoints[rapid.IntRange(0, len(w.in.Endpoints)-1).Draw(t, "dead")]
		dead.Alive = false
		w.addVM(dead.Zone, 40, "m", "n")
		after := w.view(w.decide().Plans)
		for key, v := range before {
			for vm := range v.replicas {
				if _, kept := after[key].replicas[vm]; vm != dead.VM && !kept {
					t.Fatalf("%s moved away from %s although only %s died", key, vm, dead.VM)
				}
			}
		}
	})
}

// Guards against a stale lease holder that decides, a withdrawn version that is
// placed, and a shortage without its reason.
func TestRefusalsAndShortages(t *testing.T) {
	Convey("A fleet with one model", t, func() {
		w := newFleet()
		for range 6 {
			w.addVM("a", 10, "m")
		}
		w.publish("m", 8, 8)
		w.in.Config.Models["m"] = config.Model{Version: "v0", Zones: []string{"a", "b"}, ReplicasPerZone: 6}
		d := w.decide()
		So(d.Shortfalls, ShouldResemble, []Shortfall{{Model: "m", Zone: "b", Missing: 6, Reason: ReasonEndpoint}})
		So(FromProto(d.Plans[0].Proto()), ShouldResemble, d.Plans[0])
		w.loadAll()
		Convey("switches 2 of 6 replicas per wave and takes 3 waves", func() {
			model := w.in.Config.Models["m"]
			model.Version = "v1"
			w.in.Config.Models["m"] = model
			for wave := 1; wave <= 3; wave++ {
				e := w.decide().Explanations[0]
				So(e.Pending, ShouldEqual, 2)
				So(e.Updated, ShouldEqual, 2*wave)
				So(e.Wave, ShouldEqual, wave)
				So(e.String(), ShouldContainSubstring, "action=switch")
				So(w.decide().Explanations[0].Action, ShouldEqual, ActionWait)
				w.loadAll()
			}
			So(w.decide().Explanations[0].Action, ShouldEqual, ActionKeep)
		})
		Convey("keeps its replicas when the version is withdrawn", func() {
			w.in.Versions = w.in.Versions[1:]
			d := w.decide()
			So(d.Changed, ShouldBeEmpty)
			So(d.Explanations[0].Action, ShouldEqual, ActionHold)
			So(d.Explanations[0].Replicas, ShouldEqual, 6)
		})
		Convey("frees its VMs when the model is removed", func() {
			delete(w.in.Config.Models, "m")
			So(w.decide().Plans[0].Assignments, ShouldBeEmpty)
		})
		Convey("reports memory that is missing for a larger version", func() {
			w.publish("n", 4)
			w.in.Config.Models["n"] = config.Model{Version: "v0", Zones: []string{"a"}, ReplicasPerZone: 1}
			w.in.Endpoints[0].Models = []string{"m", "n"}
			So(w.decide().Shortfalls[1], ShouldResemble, Shortfall{Model: "n", Zone: "a", Missing: 1, Reason: ReasonMemory})
		})
		Convey("refuses a fencing number below that of its placement", func() {
			w.in.Fencing = 0
			_, err := Decide(w.in)
			So(errkind.Of(err), ShouldEqual, errkind.Stale)
		})
	})
}

// Measures one decision for 750 VMs and 10 models.
func BenchmarkDecide(b *testing.B) {
	w := newFleet()
	var models []string
	for i := range 10 {
		name := fmt.Sprintf("m%d", i)
		models = append(models, name)
		w.publish(name, 4)
		w.in.Config.Models[name] = config.Model{Version: "v0", Zones: testZones, ReplicasPerZone: 100}
	}
	for i := range 750 {
		w.addVM(testZones[i%3], 20, models...)
	}
	w.decide()
	for b.Loop() {
		w.decide()
	}
}
