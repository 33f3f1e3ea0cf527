package linkfake

import (
	"math/rand/v2"
	"strconv"
	"time"

	"laburnumgw/lib/rollout"
	"laburnumgw/lib/swarm"
	"laburnumgw/lib/weights"
)

// Sizes of control messages in bytes. The overhead covers gRPC framing and headers,
// TLS records, and TCP and IP headers with acknowledgements.
const (
	messageOverheadBytes = 150
	// identityBytes is the text of a version digest with its tag, and the sender's
	// name, zone and region.
	identityBytes = 66 + 40
	// chunkRequestBytes is the text of a version digest with its tag, and a chunk number.
	chunkRequestBytes = 66 + 6
)

// VM is a simulated VM of a run, with its swarm Machine and its links.
type VM struct {
	swarm.Member
	run     *Run
	config  swarm.Config
	machine *swarm.Machine
	// version counts the versions that were named before; each has VMs of its own, which share the links.
	version int
	up      *link
	down    *link

	uploads  map[swarm.UploadID]*transfer
	incoming map[swarm.FetchID]*transfer

	// Dead is set for a VM that neither sends nor receives.
	Dead bool
	// AdvertisesAllChunks is set for a VM that advertises every chunk, held or not.
	AdvertisesAllChunks bool
	// SendsCorruptChunks is set for a VM whose uploads are all corrupt.
	SendsCorruptChunks bool
	// Excluded is set for a VM whose completion does not count in the result.
	Excluded bool
	// CompletedAt is the time at which the VM held the complete version, or never.
	CompletedAt time.Duration
	startedAt   time.Duration
	// target is the version as the rules of lib/rollout see it.
	target rollout.Target
	// side is the side of a partition; VMs of different sides cannot reach each other.
	side int
	// picked is set once Pick has returned the VM.
	picked bool

	controlBytes    int64
	windowStart     time.Duration
	windowBytes     int64
	peakWindowBytes int64
	CorruptChunks   int
	PeerTransfers   int
	// RefusedRequests counts the VM's requests for chunks that peers refused or ended.
	RefusedRequests int
}

// transfer is one VM's request for a chunk, from its start until it has ended on both sides.
type transfer struct {
	id             swarm.UploadID
	fetchID        swarm.FetchID
	chunk          int
	to             *VM
	from           *VM
	flow           *flow
	ended          bool
	senderReleased bool
}

// key returns the key of the VM of the same version with a name.
func (v *VM) key(name string) string { return strconv.Itoa(v.version) + "/" + name }

func (v *VM) start(number uint64) {
	if v.Dead {
		return
	}
	rng := rand.New(rand.NewPCG(v.run.Scenario.Seed, number))
	machine, err := swarm.New(v.config, rng, v.run.now)
	if err != nil {
		panic(err)
	}
	v.machine = machine
	v.target = rollout.Target{
		Version: v.version + 1, Chunks: v.run.Scenario.Chunks, NamedAt: time.Unix(0, 0).Add(v.startedAt), OpenedAt: time.Unix(0, 0).Add(v.run.now),
	}
	v.step(swarm.MembersChanged{Members: v.run.members(v)})
	offset := time.Duration(v.run.Rand.Int64N(int64(machine.TickInterval())))
	v.run.after(offset, v.tick)
}

func (v *VM) tick() {
	if v.Dead {
		return
	}
	v.step(swarm.Tick{})
	v.run.shareLinks(v.VM)
	v.run.after(v.machine.TickInterval(), v.tick)
}

// observe records which chunks have arrived.
func (v *VM) observe(now time.Time) {
	if held := v.machine.HeldChunks().Count(); held != v.target.Held {
		v.target.Held, v.target.HeldAt = held, now
	}
	if available := v.machine.AvailableChunks(); available != v.target.Available {
		v.target.Available, v.target.AvailableAt = available, now
	}
	v.target.Complete = v.machine.Complete()
}

// step passes an event to the Machine and performs its actions.
func (v *VM) step(event swarm.Event) {
	if v.Dead || v.machine == nil {
		return
	}
	for _, action := range v.machine.Step(v.run.now, event) {
		v.perform(action)
	}
}

func (v *VM) perform(action swarm.Action) {
	switch a := action.(type) {
	case swarm.FetchChunk:
		v.fetch(a)
	case swarm.CancelFetch:
		if t := v.incoming[a.ID]; t != nil {
			v.run.cancelTransfer(t)
		}
	case swarm.SendBitmap:
		v.exchange(a)
	case swarm.AcceptUpload:
		if t := v.uploads[a.ID]; t != nil {
			v.run.startTransfer(t)
		}
	case swarm.RefuseUpload:
		v.refuse(a)
	case swarm.Completed:
		v.CompletedAt = v.run.now
	}
}

// held returns the bitmap that the VM advertises to others.
func (v *VM) held() weights.Bitmap {
	held := v.machine.HeldChunks()
	if v.AdvertisesAllChunks {
		for i := range held.Len() {
			held.Set(i)
		}
	}
	return held
}

func (v *VM) countControl(bytes int) {
	v.controlBytes += int64(bytes)
	if second := v.run.now.Truncate(time.Second); second != v.windowStart {
		v.windowStart = second
		v.windowBytes = 0
	}
	v.windowBytes += int64(bytes)
	v.peakWindowBytes = max(v.peakWindowBytes, v.windowBytes)
}

// send delivers a control message unless the VMs cannot reach each other.
func (v *VM) send(to *VM, bytes int, deliver func()) {
	v.countControl(bytes)
	latency := zoneLatency
	if v.Region != to.Region {
		latency = regionLatency
	}
	v.run.after(latency, func() {
		if v.side != to.side || to.Dead || to.machine == nil {
			return
		}
		to.countControl(bytes)
		deliver()
	})
}

func (v *VM) exchange(a swarm.SendBitmap) {
	to := v.run.byName[v.key(a.To)]
	if to == nil {
		return
	}
	bitmap := a.Bitmap
	if v.AdvertisesAllChunks {
		bitmap = v.held()
	}
	size := messageOverheadBytes + len(bitmap.Bytes())
	v.send(to, size+identityBytes, func() {
		response := to.held()
		to.step(swarm.BitmapReceived{From: v.VM, Bitmap: bitmap})
		to.send(v, size, func() {
			v.step(swarm.BitmapReceived{From: to.VM, Bitmap: response})
		})
	})
}

func (v *VM) fetch(a swarm.FetchChunk) {
	r := v.run
	r.sequence++
	t := &transfer{id: swarm.UploadID(r.sequence), fetchID: a.ID, chunk: a.Chunk, to: v}
	v.incoming[a.ID] = t
	if a.From == swarm.Origin {
		r.after(zoneLatency, func() { r.requestOrigin(t) })
		return
	}
	from := r.byName[v.key(a.From)]
	v.send(from, messageOverheadBytes+chunkRequestBytes, func() {
		if t.ended {
			return
		}
		t.from = from
		from.uploads[t.id] = t
		from.step(swarm.UploadRequested{ID: t.id, From: v.VM, Chunk: a.Chunk})
	})
}

// refuse ends a pending request or a running upload.
func (v *VM) refuse(a swarm.RefuseUpload) {
	t := v.uploads[a.ID]
	if t == nil {
		return
	}
	delete(v.uploads, a.ID)
	result := swarm.ResultRefused
	switch {
	case t.flow != nil:
		v.run.stopFlow(t.flow)
		result = swarm.ResultFailed
	case !a.ChunkHeld:
		result = swarm.ResultNotHeld
	}
	t.to.RefusedRequests++
	v.send(t.to, messageOverheadBytes, func() { t.to.finish(t, result, 0) })
}

// finish reports the result of a fetch to the requester.
func (v *VM) finish(t *transfer, result swarm.Result, retryAfter time.Duration) {
	if t.ended {
		return
	}
	t.ended = true
	delete(v.incoming, t.fetchID)
	v.step(swarm.ChunkDone{ID: t.fetchID, Result: result, RetryAfter: retryAfter})
}
