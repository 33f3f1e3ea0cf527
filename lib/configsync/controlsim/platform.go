package controlsim

import (
	"errors"
	"fmt"
	"slices"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/configsync"
	"laburnumgw/lib/platform"
)

// PlatformZone is the zone name that stands for the platform in Sim.Cut.
const PlatformZone = "platform"

const (
	platformDelay   = 5 * time.Millisecond
	platformTimeout = 3 * time.Second
	// listCalls is the number of calls of a complete read: one list call each for config/,
	// models/, placement/ and vms.
	listCalls = 4
	// maxSingleGets is the number of missing files up to which a read gets them one by one;
	// otherwise it lists config/ once.
	maxSingleGets = 4
	// headEntryBytes is the size of one file's entry in config/head.
	headEntryBytes = 100
	// callBytes is the size of a call's HTTP headers, TLS and TCP in both directions.
	callBytes = 700
)

// Platform is a simulated platform that holds the configuration and counts its calls.
type Platform struct {
	// Bundle is the accepted configuration.
	Bundle *pb.ConfigBundle
	// Down makes all calls time out. SetDown also ends the waiting watches.
	Down bool
	// LostResponses is the probability that the response to a write-back is lost.
	LostResponses float64
	// StaleReads is the probability that a read returns the state before the last call of
	// Apply, or the restored copy after Restore.
	StaleReads float64
	// Calls counts the calls by second of virtual time. After CountWaitingWatches, each
	// waiting watch counts in each second.
	Calls map[int64]int

	sim         *Sim
	version     int64
	headVersion int64
	// stale is the bundle that stale reads return.
	stale   *pb.ConfigBundle
	waiting []*waitingWatch
	nextID  int
}

type waitingWatch struct {
	node  *Node
	id    int
	since time.Duration
}

var errDown = &platform.UnavailableError{Err: errors.New("simulated outage")}

func newPlatform(s *Sim) *Platform {
	return &Platform{sim: s, Calls: make(map[int64]int)}
}

func (p *Platform) count(calls int) { p.Calls[int64(p.sim.now/time.Second)] += calls }

// PeakCalls returns the largest number of calls in one second of a period. It includes the
// waiting watches if CountWaitingWatches was called.
func (p *Platform) PeakCalls(from, to time.Duration) int {
	peak := 0
	for second := int64(from / time.Second); second < int64(to/time.Second); second++ {
		peak = max(peak, p.Calls[second])
	}
	return peak
}

// CountWaitingWatches adds the number of waiting watches to the calls of each second from
// now on.
func (p *Platform) CountWaitingWatches() {
	p.count(len(p.waiting))
	p.sim.at(p.sim.now+time.Second, p.CountWaitingWatches)
}

// Apply accepts a new generation in which some files have changed.
func (p *Platform) Apply(changed int) uint64 {
	o := p.sim.Options
	p.stale = p.Bundle
	next := &pb.ConfigBundle{Generation: p.Bundle.GetGeneration() + 1}
	next.Digest = fmt.Sprintf("%060x%04x", next.Generation, p.sim.Rng.IntN(1<<16))
	if p.Bundle == nil {
		next.Files = newFiles(o.FileCount, o.FileBytes)
		next.Models = newModels(o.ModelCount, o.ChunkCount)
	} else {
		next.Files = slices.Clone(p.Bundle.GetFiles())
		next.Models = p.Bundle.GetModels()
	}
	for i := range min(changed, len(next.Files)) {
		j := (int(next.Generation) + i) % len(next.Files)
		next.Files[j] = newFile(j, next.Generation, o.FileBytes)
	}
	p.set(next)
	return next.Generation
}

// SetPlacement replaces all placements by one, without a new configuration generation.
func (p *Platform) SetPlacement(placement *pb.Placement) {
	b := p.Bundle
	p.set(&pb.ConfigBundle{Generation: b.GetGeneration(), Digest: b.GetDigest(), Files: b.GetFiles(), Models: b.GetModels(),
		Placements: []*pb.Placement{placement}})
}

// Restore replaces the configuration by an older copy and ends all waiting watches.
func (p *Platform) Restore(old *pb.ConfigBundle) {
	p.stale = old
	p.Bundle = old
	p.version++
	p.headVersion = p.version
	p.dropWatches()
}

// set replaces the configuration and reports the change to all waiting watches.
func (p *Platform) set(bundle *pb.ConfigBundle) {
	p.Bundle = bundle
	p.version++
	p.headVersion = p.version
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		p.completeWatch(w, true, nil, platformDelay)
	}
}

func newFile(index int, generation uint64, size int) *pb.ConfigFile {
	content := make([]byte, size)
	copy(content, fmt.Sprint(generation))
	return &pb.ConfigFile{Name: fmt.Sprintf("%04d-file.yaml", index), Digest: fmt.Sprintf("%04x%060x", index, generation), Content: content}
}

func newFiles(count, size int) []*pb.ConfigFile {
	var files []*pb.ConfigFile
	for i := range count {
		files = append(files, newFile(i, 0, size))
	}
	return files
}

func newModels(count, chunks int) []*pb.ModelVersion {
	var models []*pb.ModelVersion
	for i := range count {
		model := &pb.ModelVersion{Model: fmt.Sprintf("model-%d", i), Version: "1", ManifestDigest: fmt.Sprintf("%064x", i), Size: 1 << 36, ChunkSize: 1 << 28}
		for range chunks {
			model.ChunkDigests = append(model.ChunkDigests, make([]byte, 32))
		}
		models = append(models, model)
	}
	return models
}

func (p *Platform) reachable(n *Node) bool {
	return !p.Down && p.sim.Reachable(n.Self.Zone, PlatformZone)
}

// reply runs a function at a node after a delay, unless the node stopped or restarted.
func (p *Platform) reply(n *Node, delay time.Duration, run func()) {
	incarnation := n.incarnation
	p.sim.at(p.sim.now+delay, func() {
		if n.incarnation != incarnation {
			return
		}
		n.whenRunning(func() {
			run()
			n.step()
		}, func() {})
	})
}

func (p *Platform) read(n *Node) {
	p.count(1)
	if !p.reachable(n) {
		p.reply(n, platformTimeout, func() { n.Sync.ReadResult(n.clock(), configsync.ReadResult{}, errDown) })
		return
	}
	bundle := p.Bundle
	head := p.headVersion
	if p.stale != nil && p.sim.Rng.Float64() < p.StaleReads {
		bundle = p.stale
		head--
	}
	calls, bytes := readCost(n.Sync.Current(), bundle)
	p.count(calls - 1)
	n.received(bytes + calls*callBytes)
	result := configsync.ReadResult{Bundle: bundle, HeadVersion: head, Version: p.version}
	p.reply(n, platformDelay, func() { n.Sync.ReadResult(n.clock(), result, nil) })
}

// readCost returns the calls and bytes of a read of bundle by a process that holds have.
func readCost(have, bundle *pb.ConfigBundle) (calls, bytes int) {
	known := make(map[string]bool)
	for _, file := range have.GetFiles() {
		known[file.GetDigest()] = true
	}
	missing := 0
	for _, file := range bundle.GetFiles() {
		bytes += headEntryBytes
		if !known[file.GetDigest()] {
			missing++
			bytes += len(file.GetContent())
		}
	}
	if have == nil || missing > maxSingleGets {
		return listCalls, bytes
	}
	return 1 + missing, bytes
}

func (p *Platform) watch(n *Node, after int64) {
	p.count(1)
	n.received(callBytes)
	p.nextID++
	w := &waitingWatch{node: n, id: p.nextID, since: p.sim.now}
	n.watchID = w.id
	switch {
	case !p.reachable(n):
		p.completeWatch(w, false, errDown, platformTimeout)
	case after > p.version:
		p.completeWatch(w, false, platform.ErrTooOld, platformDelay)
	case after < p.version:
		p.completeWatch(w, true, nil, platformDelay)
	default:
		p.waiting = append(p.waiting, w)
		p.sim.at(p.sim.now+platform.WatchTimeout, func() { p.endWatch(w) })
	}
}

func (p *Platform) endWatch(w *waitingWatch) {
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.completeWatch(w, false, nil, platformDelay)
	}
}

func (p *Platform) completeWatch(w *waitingWatch, changed bool, err error, delay time.Duration) {
	version := p.version
	p.reply(w.node, delay, func() {
		if w.node.watchID == w.id {
			w.node.Sync.WatchResult(w.node.clock(), changed, version, err)
		}
	})
}

// dropWatches ends all waiting watches with an error.
func (p *Platform) dropWatches() {
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		p.completeWatch(w, false, errDown, platformDelay)
	}
}

// dropWatch ends the watch of a node without a result.
func (p *Platform) dropWatch(n *Node) {
	n.watchID = 0
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waitingWatch) bool { return w.node == n })
}

// WaitingWatches returns the number of waiting watches.
func (p *Platform) WaitingWatches() int { return len(p.waiting) }

func (p *Platform) writeBack(n *Node, w configsync.WriteBack) {
	p.count(1)
	if !p.reachable(n) {
		p.reply(n, platformTimeout, func() { n.Sync.WriteBackResult(n.clock(), errDown) })
		return
	}
	var err error
	if w.HeadVersion != p.headVersion {
		err = platform.ErrConflict
	} else {
		p.set(w.Bundle)
	}
	if p.sim.Rng.Float64() < p.LostResponses {
		err = &platform.UnknownOutcomeError{Err: errDown}
	}
	p.reply(n, platformDelay, func() { n.Sync.WriteBackResult(n.clock(), err) })
}

// SetDown starts or ends an outage.
func (p *Platform) SetDown(down bool) {
	p.Down = down
	if down {
		p.dropWatches()
	}
}
