package membership

import (
	"slices"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/rendezvous"
)

const (
	// compactItems and newItems bound the entries in one gossip message.
	compactItems = 6
	newItems     = 6
	// tellZone and tellRemote are the numbers of messages in which an entry passes on a
	// new or restarted member of its own and of another zone. News reaches all entries
	// within seconds this way; a rotation through 340 entries takes minutes.
	tellZone   = 4
	tellRemote = 2
	// relayItems bounds the endpoints in one message to another zone.
	relayItems = 1
	// zoneEntrySilence is the silence after which an entry of the own zone is asked
	// directly; news of it passes through the zone's other entries within seconds.
	zoneEntrySilence = 10 * time.Second
	// remoteEntrySilence is the same for entries of other zones, which are many and are
	// heard of seldom. A failed exchange makes them suspect at once instead.
	remoteEntrySilence = 10 * time.Minute
	// entryFailures is the number of consecutive failed exchanges after which a suspect
	// entry is dead. Four gave a false death within an hour at 5% loss.
	entryFailures = 8
	// deadEntryRetry separates attempts to reach an entry that is dead.
	deadEntryRetry = 10 * time.Second
	// maxEntries bounds the table of entries.
	maxEntries = 2048
	// neverAsked is the time of the last exchange with an entry that was never asked.
	neverAsked = -time.Hour
	// maxListed bounds the changed entries in one answer to a report.
	maxListed = 4
	// remoteListEvery is the number of reports per answer that lists another zone.
	remoteListEvery = 32
	// maxListedJoin bounds the entries in the answer to a joining entry.
	maxListedJoin = 16
	// maxListedFirst bounds the entries in the answer to the first report of a process.
	maxListedFirst = 40
)

// entryRecord is what an entry knows of another entry.
type entryRecord struct {
	view      EntryView
	heartbeat uint64
	advanced  time.Duration
	failures  int
	asked     time.Duration
	seed      bool
	// tell is the number of messages that are still to carry the entry as news.
	tell int
}

func (e *Entry) addEntry(now time.Duration, peer Peer) *entryRecord {
	if peer.VM == e.self.VM || len(e.entries) >= maxEntries {
		return nil
	}
	record := &entryRecord{view: EntryView{Peer: peer}, advanced: now, asked: neverAsked}
	e.entries[peer.VM] = record
	e.entryOrder = append(e.entryOrder, record)
	return record
}

// Gossip handles a gossip request and returns the answer.
func (e *Entry) Gossip(now time.Duration, request *pb.GossipRequest) *pb.GossipResponse {
	from := request.GetFrom()
	response := &pb.GossipResponse{ConfigGeneration: e.generation, From: e.selfInfo()}
	record := e.entries[from.GetVm()]
	if incarnationOf(from.GetIncarnation()).Counter == 0 {
		response.Entries = e.answerJoin(now, from, record)
		return response
	}
	restarted := record == nil || record.view.Incarnation != incarnationOf(from.GetIncarnation())
	e.learn(now, from, request.GetEntries(), request.GetEndpoints())
	response.Entries, response.Endpoints = e.items(now, from.GetVm(), from.GetZone())
	if restarted && from.GetZone() == e.self.Zone {
		response.Entries = append(response.Entries, e.zoneList(from.GetVm(), from.GetZone())...)
	}
	if record != nil && record.view.Incarnation.Compare(incarnationOf(from.GetIncarnation())) > 0 {
		response.Entries = append(response.Entries, info(record, false))
	}
	return response
}

// answerJoin tells a joining entry its highest known incarnation and its zone's entries.
// Entries that have themselves just started list nothing else, so that the joins stay
// spread.
func (e *Entry) answerJoin(now time.Duration, from *pb.EntryInfo, record *entryRecord) []*pb.EntryInfo {
	var infos []*pb.EntryInfo
	if record != nil && record.view.Incarnation.Counter > 0 {
		infos = append(infos, info(record, false))
	}
	if !e.settled(now) {
		return infos
	}
	infos = append(infos, e.zoneList(from.GetVm(), from.GetZone())...)
	return append(infos, e.selfInfo())
}

// zoneList returns live entries of a zone for an entry of it that has just started, so
// that it can ask its neighbours before it serves.
func (e *Entry) zoneList(vm, zone string) []*pb.EntryInfo {
	var infos []*pb.EntryInfo
	for _, other := range e.entryOrder {
		alive := other.view.State == Alive && !other.view.Leaving && other.view.VM != vm
		if alive && other.view.Zone == zone && len(infos) < maxListedJoin {
			infos = append(infos, info(other, true))
		}
	}
	return infos
}

// GossipResult handles the answer to a gossip request; nil means that the call failed.
func (e *Entry) GossipResult(now time.Duration, vm string, response *pb.GossipResponse) {
	if response == nil {
		e.exchangeFailed(now, vm)
		return
	}
	if len(response.GetEntries()) > 0 && !e.joined {
		e.noteOwn(findInfo(response.GetEntries(), e.self.VM))
		e.shortenJoin(now, response)
	}
	e.learn(now, response.GetFrom(), response.GetEntries(), response.GetEndpoints())
}

// shortenJoin ends the spread of the join when the answer shows a running system.
func (e *Entry) shortenJoin(now time.Duration, response *pb.GossipResponse) {
	others := len(response.GetEntries())
	if findInfo(response.GetEntries(), e.self.VM) != nil {
		others--
	}
	if others == 0 || e.running {
		return
	}
	e.running = true
	e.joinAt = min(e.joinAt, now+spread(e.rng, joinJitter))
}

func (e *Entry) exchangeFailed(now time.Duration, vm string) {
	record := e.entries[vm]
	if record == nil {
		return
	}
	record.failures++
	if record.view.Zone != e.self.Zone && record.view.State == Alive {
		record.view.State = Suspect
	}
	if record.view.State == Suspect && record.failures >= entryFailures {
		record.view.State = Dead
		e.changed(vm)
		e.emit(EntryDead, vm, now-record.advanced)
	}
}

func (e *Entry) silenceLimit(record *entryRecord) time.Duration {
	if record.view.Zone == e.self.Zone {
		return zoneEntrySilence
	}
	return remoteEntrySilence
}

// checkEntries marks silent entries as suspect; gossip then asks them directly.
func (e *Entry) checkEntries(now time.Duration) {
	kept := e.entryOrder[:0]
	for _, record := range e.entryOrder {
		silent := now - record.advanced
		if record.view.State == Dead && silent > forgetAfter && !record.seed {
			delete(e.entries, record.view.VM)
			continue
		}
		kept = append(kept, record)
		if record.view.State == Alive && silent >= e.silenceLimit(record) {
			record.view.State = Suspect
			record.failures = 0
		}
	}
	e.entryOrder = kept
}

// learn takes over the news of one message. The sender itself is heard directly.
func (e *Entry) learn(now time.Duration, from *pb.EntryInfo, entries []*pb.EntryInfo, endpoints []*pb.ReportRequest) {
	if from != nil {
		e.learnEntry(now, from, true)
	}
	for _, item := range entries {
		if item.GetVm() == e.self.VM {
			e.noteOwn(item)
			continue
		}
		e.learnEntry(now, item, false)
	}
	for _, report := range endpoints {
		e.learnEndpoint(now, report)
	}
}

// noteOwn raises the own incarnation above any that others know of this VM.
func (e *Entry) noteOwn(item *pb.EntryInfo) {
	known := incarnationOf(item.GetIncarnation())
	if known.Compare(e.incarnation) > 0 {
		e.incarnation.Counter = known.Counter + 1
	}
}

func (e *Entry) learnEntry(now time.Duration, item *pb.EntryInfo, direct bool) {
	incarnation := incarnationOf(item.GetIncarnation())
	if item.GetVm() == e.self.VM || incarnation.Counter == 0 {
		return
	}
	record := e.entries[item.GetVm()]
	if record == nil && item.GetZone() != "" {
		record = e.addEntry(now, peerOf(item))
	}
	if record == nil {
		return
	}
	order := incarnation.Compare(record.view.Incarnation)
	if order < 0 || (order == 0 && item.GetHeartbeat() <= record.heartbeat && !direct) {
		return
	}
	if order > 0 && item.GetZone() == "" && record.view.Zone == "" {
		return
	}
	e.entrySeen(now, record, item, order > 0)
}

func (e *Entry) entrySeen(now time.Duration, record *entryRecord, item *pb.EntryInfo, restarted bool) {
	if item.GetZone() != "" {
		record.view.Peer = peerOf(item)
	}
	if record.view.State != Alive && record.view.State != Suspect {
		e.emit(EntryAlive, item.GetVm(), now-record.advanced)
		restarted = true
	}
	record.view.State = Alive
	if item.GetLeaving() != record.view.Leaving {
		record.view.Leaving = item.GetLeaving()
		restarted = true
		if item.GetLeaving() {
			e.emit(EntryLeaving, item.GetVm(), 0)
		}
	}
	record.view.Incarnation = incarnationOf(item.GetIncarnation())
	record.heartbeat = item.GetHeartbeat()
	record.advanced = now
	record.failures = 0
	if restarted {
		record.tell = tellRemote
		if record.view.Zone == e.self.Zone {
			record.tell = tellZone
		}
		e.changed(item.GetVm())
	}
}

// changed records that endpoints of the own zone are to be told of an entry of the zone.
func (e *Entry) changed(vm string) {
	if e.entries[vm].view.Zone != e.self.Zone {
		return
	}
	e.version++
	if i := slices.Index(e.changes, vm); i >= 0 {
		e.changes = slices.Delete(e.changes, i, i+1)
	}
	e.changes = append(e.changes, vm)
}

func info(record *entryRecord, full bool) *pb.EntryInfo {
	item := &pb.EntryInfo{Vm: record.view.VM, Incarnation: record.view.Incarnation.Proto(),
		Leaving: record.view.Leaving, Heartbeat: record.heartbeat}
	if full {
		item.Zone = record.view.Zone
		item.Region = record.view.Region
		item.Address = record.view.Address
	}
	return item
}

// gossip starts the exchanges of one round: one with a random entry of the own zone,
// one with a random entry of another zone, and one with a silent entry.
func (e *Entry) gossip(now time.Duration, out *Output) {
	if !e.joined {
		e.askSeeds(now, out)
		return
	}
	e.nextGossip = now + jittered(e.rng, gossipInterval)
	e.heartbeat++
	own := e.pick(func(r *entryRecord) bool { return r.view.Zone == e.self.Zone && r.view.State == Alive })
	e.exchange(now, own, out)
	other := e.pick(func(r *entryRecord) bool { return r.view.Zone != e.self.Zone && r.view.State == Alive })
	e.exchange(now, other, out)
	silent := e.pick(func(r *entryRecord) bool {
		wait := deadEntryRetry
		if r.view.State == Suspect || r.view.State == Unverified {
			wait = gossipInterval
		}
		return r.view.State != Alive && now-r.asked >= wait
	})
	e.exchange(now, silent, out)
}

// askSeeds sends the queries of a joining entry.
func (e *Entry) askSeeds(now time.Duration, out *Output) {
	e.nextGossip = min(e.joinAt, now+jittered(e.rng, joinQueryInterval))
	for range joinQueries {
		record := e.pick(func(r *entryRecord) bool { return r.asked != now })
		if record == nil {
			return
		}
		record.asked = now
		from := e.selfInfo()
		from.Incarnation = nil
		out.Gossip = append(out.Gossip, GossipSend{To: record.view.Peer,
			Request: &pb.GossipRequest{From: from, ConfigGeneration: e.generation}})
	}
}

// pick returns a random entry that passes the filter, or nil.
func (e *Entry) pick(filter func(*entryRecord) bool) *entryRecord {
	var picked *entryRecord
	passed := 0
	for _, record := range e.entryOrder {
		if !filter(record) {
			continue
		}
		passed++
		if e.rng.IntN(passed) == 0 {
			picked = record
		}
	}
	return picked
}

func (e *Entry) exchange(now time.Duration, record *entryRecord, out *Output) {
	if record == nil {
		return
	}
	record.asked = now
	entries, endpoints := e.items(now, record.view.VM, record.view.Zone)
	out.Gossip = append(out.Gossip, GossipSend{To: record.view.Peer, Request: &pb.GossipRequest{
		From: e.selfInfo(), ConfigGeneration: e.generation, Entries: entries, Endpoints: endpoints}})
}

// items returns the next entries and endpoints to tell an entry of. Both lists rotate
// and are bounded. A receiver of the own zone is told only of the own zone.
func (e *Entry) items(now time.Duration, vm, zone string) ([]*pb.EntryInfo, []*pb.ReportRequest) {
	var list []*pb.EntryInfo
	sameZone := zone == e.self.Zone
	var relayed []*pb.ReportRequest
	if !sameZone {
		relayed = e.relay()
	}
	for range len(e.entryOrder) {
		if len(list) >= compactItems {
			break
		}
		record := e.nextEntry()
		if sameZone && record.view.Zone != e.self.Zone {
			continue
		}
		if fresh := now-record.advanced < e.silenceLimit(record)/2; record.view.State == Alive && fresh && record.view.VM != vm {
			list = append(list, info(record, false))
		}
	}
	list = append(list, e.news(vm, sameZone)...)
	return list, relayed
}

// news returns new members, and the next ones of a rotation that repairs what was lost.
// An entry of the own zone is told of the zone's members first.
func (e *Entry) news(vm string, sameZone bool) []*pb.EntryInfo {
	var list []*pb.EntryInfo
	add := func(record *entryRecord) {
		record.tell--
		if record.view.VM != vm {
			list = append(list, info(record, true))
		}
	}
	for _, zoneFirst := range []bool{true, false} {
		for _, record := range e.entryOrder {
			local := record.view.Zone == e.self.Zone
			if record.tell > 0 && len(list) < newItems && (!zoneFirst || local || !sameZone) {
				add(record)
			}
		}
	}
	for range len(e.entryOrder) {
		e.nextFull = (e.nextFull + 1) % len(e.entryOrder)
		record := e.entryOrder[e.nextFull]
		if record.view.State == Alive && (!sameZone || record.view.Zone == e.self.Zone) {
			add(record)
			break
		}
	}
	return list
}

func (e *Entry) nextEntry() *entryRecord {
	e.nextItem = (e.nextItem + 1) % len(e.entryOrder)
	return e.entryOrder[e.nextItem]
}

// relay returns the next endpoints of the own zone to tell entries of other zones of.
func (e *Entry) relay() []*pb.ReportRequest {
	var reports []*pb.ReportRequest
	for range len(e.endpointOrder) {
		e.nextRelay = (e.nextRelay + 1) % len(e.endpointOrder)
		record := e.endpointOrder[e.nextRelay]
		if record.view.State == Alive && record.full && record.view.Zone == e.self.Zone && !record.view.Leaving {
			reports = append(reports, relayed(record.view.Report))
		}
		if len(reports) >= relayItems {
			break
		}
	}
	return reports
}

// relayed returns the part of a report that another zone needs to reach the endpoint.
func relayed(report *pb.ReportRequest) *pb.ReportRequest {
	return &pb.ReportRequest{Vm: report.GetVm(), Zone: report.GetZone(), Region: report.GetRegion(),
		Address: report.GetAddress(), Incarnation: report.GetIncarnation(), Sequence: report.GetSequence()}
}

// listFor returns entries that an endpoint process is to know: many after its first
// report, then those of the zone that changed, and from time to time those of another
// zone that it is to report to.
func (e *Entry) listFor(record *endpointRecord) []*pb.EntryInfo {
	if record.listed == 0 {
		record.listed = e.version + 1
		return e.firstList(record)
	}
	if e.reports++; e.reports%remoteListEvery == 0 && len(e.entryOrder) > 0 {
		return e.remoteFor(record)
	}
	behind := min(e.version+1-record.listed, uint64(len(e.changes)))
	if behind == 0 || record.view.Zone != e.self.Zone {
		return nil
	}
	start := len(e.changes) - int(behind)
	end := min(start+maxListed, len(e.changes))
	record.listed = e.version + 1 - uint64(len(e.changes)-end)
	var infos []*pb.EntryInfo
	for _, vm := range e.changes[start:end] {
		known := e.entries[vm]
		if known != nil && known.view.State == Alive {
			infos = append(infos, info(known, true))
		}
	}
	return infos
}

// remoteFor returns the entries of the next other zone that an endpoint is to report to.
func (e *Entry) remoteFor(endpoint *endpointRecord) []*pb.EntryInfo {
	e.nextRemote = (e.nextRemote + 1) % len(e.entryOrder)
	zone := e.entryOrder[e.nextRemote].view.Zone
	if zone == e.self.Zone {
		return nil
	}
	var members []string
	for _, record := range e.entryOrder {
		if record.view.Zone == zone && record.view.State == Alive && !record.view.Leaving {
			members = append(members, record.view.VM)
		}
	}
	var infos []*pb.EntryInfo
	for _, vm := range rendezvous.Top(endpoint.view.VM, members, remoteTargets) {
		infos = append(infos, info(e.entries[vm], true))
	}
	return infos
}

// Entries calls yield for each known entry except the own one.
func (e *Entry) Entries(yield func(EntryView) bool) {
	for _, record := range e.entryOrder {
		if !yield(record.view) {
			return
		}
	}
}
