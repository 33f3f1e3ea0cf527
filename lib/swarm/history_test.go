package swarm_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/swarm"
	"laburnumgw/lib/weights"
)

const (
	historyChunks    = 12
	historyChunkSize = 8
	historyTick      = 50 * time.Millisecond
)

// fleet is a few VMs with real weight stores, whose messages a test delivers in any order.
type fleet struct {
	t         *rapid.T
	now       time.Duration
	manifests []*weights.Manifest
	contents  [][]byte
	vms       []*testVM
	pending   []func(fault int)
	// published is the version whose bytes the weight store sends.
	published int
	uploads   swarm.UploadID
}

type testVM struct {
	fleet       *fleet
	member      swarm.Member
	incarnation int
	dead        bool
	store       *weights.Store
	coordinator *swarm.Coordinator
	machines    []*swarm.Machine
	// version is the newest version that the VM has started.
	version int
	// fetches holds the open fetches, keyed by id with the version in the upper 32 bits, and
	// uploads the open upload requests.
	fetches map[swarm.FetchID]bool
	uploads map[swarm.UploadID]func(accepted, held bool)
}

func newFleet(t *rapid.T, vms int) *fleet {
	f := &fleet{t: t}
	for version := range 2 {
		content := make([]byte, historyChunks*historyChunkSize-3)
		for i := range content {
			content[i] = byte(i*(version+3) + version)
		}
		m, err := weights.Build("m", fmt.Sprint(version), bytes.NewReader(content), historyChunkSize)
		if err != nil {
			t.Fatal(err)
		}
		f.manifests = append(f.manifests, m)
		f.contents = append(f.contents, content)
	}
	for i := range vms {
		member := swarm.Member{VM: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("z%d", i%2), Region: "a"}
		f.vms = append(f.vms, &testVM{fleet: f, member: member})
	}
	for _, v := range f.vms {
		v.restart(0)
	}
	return f
}

func (f *fleet) members() []swarm.Member {
	var members []swarm.Member
	for _, v := range f.vms {
		if !v.dead {
			members = append(members, v.member)
		}
	}
	return members
}

// restart gives a VM an empty store and starts a version.
func (v *testVM) restart(version int) {
	v.incarnation++
	v.dead = false
	v.store = weights.NewStore(2 * historyChunks * historyChunkSize)
	v.coordinator = swarm.NewCoordinator(swarm.Limits{}, 2)
	v.machines = make([]*swarm.Machine, len(v.fleet.manifests))
	v.fetches = make(map[swarm.FetchID]bool)
	v.uploads = make(map[swarm.UploadID]func(accepted, held bool))
	v.startVersion(version)
}

// startVersion starts a version and removes the older ones from the store.
func (v *testVM) startVersion(version int) {
	f := v.fleet
	v.version = version
	if _, err := v.store.Reserve(f.manifests[version]); err != nil {
		f.t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(uint64(v.incarnation), uint64(version)))
	machine, err := swarm.New(swarm.Config{
		Self: v.member, Digest: f.manifests[version].Digest(), Chunks: historyChunks, HomeRegion: "a",
		ChunkTime: 2 * historyTick, SourceInterval: historyTick,
	}, rng, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	v.machines[version] = machine
	v.perform(v.coordinator.Add(f.now, "m", machine))
	for old := range version {
		v.store.Remove(f.manifests[old].Digest())
	}
	v.step(version, swarm.MembersChanged{Members: f.members()})
}

func (v *testVM) step(version int, event swarm.Event) {
	if !v.dead {
		v.perform(v.coordinator.Step(v.fleet.now, v.fleet.manifests[version].Digest(), event))
	}
}

func (f *fleet) versionOf(digest weights.Digest) int {
	return slices.IndexFunc(f.manifests, func(m *weights.Manifest) bool { return m.Digest() == digest })
}

func (f *fleet) find(vm string) *testVM {
	return f.vms[slices.IndexFunc(f.vms, func(v *testVM) bool { return v.member.VM == vm })]
}

func (v *testVM) perform(actions []swarm.VersionAction) {
	for _, action := range actions {
		version := v.fleet.versionOf(action.Digest)
		if _, refusal := action.Action.(swarm.RefuseUpload); version < v.version && !refusal {
			if _, cancel := action.Action.(swarm.CancelFetch); !cancel {
				v.fleet.t.Fatalf("%s: %T for withdrawn version %d", v.member.VM, action.Action, version)
			}
		}
		v.performOne(version, action.Action)
	}
}

func (v *testVM) performOne(version int, action swarm.Action) {
	f := v.fleet
	later := func(run func(fault int)) {
		incarnation := v.incarnation
		f.pending = append(f.pending, func(fault int) {
			if v.incarnation == incarnation && !v.dead {
				run(fault)
			}
		})
	}
	switch a := action.(type) {
	case swarm.FetchChunk:
		if v.machines[version].HeldChunks().Has(a.Chunk) {
			f.t.Fatalf("%s fetches chunk %d that it holds", v.member.VM, a.Chunk)
		}
		v.fetches[a.ID+swarm.FetchID(version)<<32] = true
		if a.From == swarm.Origin {
			later(func(fault int) { v.deliverChunk(version, a, f.bytes(f.published, a.Chunk), fault) })
			return
		}
		later(func(fault int) { v.requestChunk(version, a, fault, later) })
	case swarm.CancelFetch:
		delete(v.fetches, a.ID+swarm.FetchID(version)<<32)
	case swarm.SendBitmap:
		to := f.find(a.To)
		later(func(fault int) {
			if to.dead || fault == 1 || to.machines[version] == nil {
				v.step(version, swarm.BitmapFailed{To: a.To})
				return
			}
			to.step(version, swarm.BitmapReceived{From: v.member.VM, Bitmap: a.Bitmap})
			v.step(version, swarm.BitmapReceived{From: a.To, Bitmap: to.machines[version].HeldChunks()})
		})
	case swarm.AcceptUpload:
		v.respondToUpload(a.ID, true, true)
	case swarm.RefuseUpload:
		v.respondToUpload(a.ID, false, a.ChunkHeld)
	}
}

func (v *testVM) respondToUpload(id swarm.UploadID, accepted, held bool) {
	if respond := v.uploads[id]; respond != nil {
		delete(v.uploads, id)
		respond(accepted, held)
	}
}

// requestChunk requests a chunk from a peer and schedules the delivery of its response.
func (v *testVM) requestChunk(version int, a swarm.FetchChunk, fault int, later func(func(int))) {
	f := v.fleet
	from := f.find(a.From)
	if from.dead || from.machines[version] == nil || fault == 1 {
		v.finish(version, a.ID, swarm.ResultFailed)
		return
	}
	f.uploads++
	id := f.uploads
	from.uploads[id] = func(accepted, held bool) {
		if !accepted {
			result := swarm.ResultNotHeld
			if held {
				result = swarm.ResultRefused
			}
			later(func(int) { v.finish(version, a.ID, result) })
			return
		}
		replica, err := from.store.Replica(f.manifests[version].Digest())
		if err != nil {
			f.t.Fatalf("%s accepted an upload of a version that it removed: %v", a.From, err)
		}
		data, err := replica.Chunk(a.Chunk)
		if err != nil {
			f.t.Fatalf("%s accepted an upload that it cannot serve: %v", a.From, err)
		}
		later(func(fault int) {
			from.step(version, swarm.UploadFinished{ID: id})
			v.deliverChunk(version, a, data, fault)
		})
	}
	from.step(version, swarm.UploadRequested{ID: id, From: v.member.VM, Chunk: a.Chunk})
}

func (f *fleet) bytes(version, chunk int) []byte {
	m := f.manifests[version]
	start := int64(chunk) * m.ChunkSize
	return f.contents[version][start : start+m.ChunkLen(chunk)]
}

// deliverChunk delivers the bytes of a chunk, with a fault: 0 is none, 1 loses them, 2 flips
// a bit, 3 sends the chunk of the other version, 4 sends another chunk.
func (v *testVM) deliverChunk(version int, a swarm.FetchChunk, data []byte, fault int) {
	f := v.fleet
	switch fault {
	case 1:
		return
	case 2:
		data = slices.Clone(data)
		data[0] ^= 1
	case 3:
		data = f.bytes(1-version, a.Chunk)
	case 4:
		data = f.bytes(version, (a.Chunk+1)%historyChunks)
	}
	if !v.fetches[a.ID+swarm.FetchID(version)<<32] {
		return
	}
	replica, err := v.store.Replica(f.manifests[version].Digest())
	if err != nil {
		f.t.Fatalf("open fetch for a removed version: %v", err)
	}
	result := swarm.ResultOK
	if err := replica.Put(a.Chunk, data); errkind.Is(err, errkind.Corrupt) {
		result = swarm.ResultCorrupt
	} else if err != nil {
		f.t.Fatal(err)
	}
	v.finish(version, a.ID, result)
}

func (v *testVM) finish(version int, id swarm.FetchID, result swarm.Result) {
	delete(v.fetches, id+swarm.FetchID(version)<<32)
	v.step(version, swarm.ChunkDone{ID: id, Result: result})
}

// checkStores fails when a store holds chunks of the current version that its Machine does not
// know, or opens anything but one complete version.
func (f *fleet) checkStores() {
	for _, v := range f.vms {
		for version, m := range f.manifests {
			replica, err := v.store.Replica(m.Digest())
			if err != nil {
				continue
			}
			if v.machines[version].HeldChunks().Missing(replica.Bitmap()) != 0 && version == v.version {
				f.t.Fatalf("%s holds chunks that its machine does not know", v.member.VM)
			}
			reader, err := replica.Open()
			if err != nil {
				continue
			}
			got, err := io.ReadAll(reader)
			if err != nil || !bytes.Equal(got, f.contents[version]) {
				f.t.Fatalf("%s opened bytes that differ from version %d: %v", v.member.VM, version, err)
			}
		}
	}
}

func (f *fleet) tick() {
	f.now += historyTick
	for _, v := range f.vms {
		v.step(v.version, swarm.Tick{})
	}
}

func (f *fleet) deliver(index, fault int) {
	run := f.pending[index]
	f.pending = slices.Delete(f.pending, index, index+1)
	run(fault)
}

func (f *fleet) announce() {
	for _, v := range f.vms {
		v.step(v.version, swarm.MembersChanged{Members: f.members()})
	}
}

// Guards invariant I1 over random sequences of faults: no VM opens partial or mixed weights
// or acts on a withdrawn version, and every VM completes once the faults end.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 5).Draw(t, "vms"))
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			v := rapid.SampledFrom(f.vms).Draw(t, "vm")
			switch rapid.SampledFrom([]string{"deliver", "deliver", "deliver", "deliver", "deliver", "tick",
				"tick", "kill", "restart", "upgrade", "publish", "announce"}).Draw(t, "step") {
			case "deliver":
				if len(f.pending) > 0 {
					index := rapid.IntRange(0, len(f.pending)-1).Draw(t, "index")
					f.deliver(index, rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, 2, 3, 4}).Draw(t, "fault"))
				}
			case "tick":
				f.tick()
			case "kill":
				v.dead = true
			case "restart":
				v.restart(v.version)
			case "upgrade":
				if v.version == 0 && !v.dead {
					v.startVersion(1)
				}
			case "publish":
				f.published = 1
			case "announce":
				f.announce()
			}
			f.checkStores()
		}
		f.completeAll()
	})
}

// completeAll ends all faults, moves every VM to the last version and waits until all are
// complete.
func (f *fleet) completeAll() {
	const limit = 20000
	f.published = 1
	for _, v := range f.vms {
		switch {
		case v.dead:
			v.restart(1)
		case v.version == 0:
			v.startVersion(1)
		}
	}
	f.announce()
	complete := func(v *testVM) bool { return v.machines[1].Complete() }
	for range limit {
		if !slices.ContainsFunc(f.vms, func(v *testVM) bool { return !complete(v) }) {
			f.checkStores()
			return
		}
		f.tick()
		for range len(f.pending) {
			f.deliver(0, 0)
		}
	}
	f.t.Fatal("a VM did not complete after the faults ended")
}
