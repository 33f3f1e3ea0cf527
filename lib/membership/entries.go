package membership

import (
	"slices"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/rendezvous"
)

const (
	// maxCompactItems is the largest number of compact entries in one gossip message, and
	// maxNewItems that of announced entries.
	maxCompactItems = 6
	maxNewItems     = 6
	// zoneAnnouncements and remoteAnnouncements are the numbers of times that an entry lists
	// a new, restarted or leaving entry of its own and of another zone in its messages. The
	// change reaches all entries within seconds this way; the rotation through 340 entries
	// takes minutes.
	zoneAnnouncements   = 4
	remoteAnnouncements = 2
	// maxRelayItems is the largest number of endpoints in one message to another zone.
	maxRelayItems = 1
	// zoneEntrySuspectAfter is the time after which an entry of the own zone is suspect and
	// contacted directly if it was not seen, neither directly nor by a newer heartbeat.
	// Heartbeats pass through the zone's other entries within seconds.
	zoneEntrySuspectAfter = 10 * time.Second
	// remoteEntrySuspectAfter is the same for entries of other zones. There are many of them,
	// and their heartbeats arrive seldom. A failed exchange makes them suspect at once.
	remoteEntrySuspectAfter = 10 * time.Minute
	// entryDeadAfterFailures is the number of consecutive failed exchanges after which a
	// suspect entry is dead. Four gave a false death within an hour at 5% loss.
	entryDeadAfterFailures = 8
	// deadEntryRetry is the interval between attempts to reach a dead entry.
	deadEntryRetry = 10 * time.Second
	// maxEntries is the largest number of entries in the table.
	maxEntries = 2048
	// neverAsked is the value of lastAsked for an entry that was never contacted.
	neverAsked = -time.Hour
	// maxListed is the largest number of changed entries in one response to a report.
	maxListed = 4
	// remoteListEvery is the number of reports of which one is answered with entries of
	// another zone.
	remoteListEvery = 32
	// maxListedJoin is the largest number of zone entries in the response to an entry that
	// has just started.
	maxListedJoin = 16
	// maxListedFirst is the largest number of entries in the response to the first report of
	// an endpoint process.
	maxListedFirst = 40
)

// entryRecord is what an entry knows of another entry.
type entryRecord struct {
	view      EntryView
	heartbeat uint64
	lastSeen  time.Duration
	failures  int
	lastAsked time.Duration
	seed      bool
	// announcementsLeft is the number of times that the entry is still to be listed in
	// messages as new, restarted or leaving.
	announcementsLeft int
}

func (e *Entry) addEntry(now time.Duration, peer Peer) *entryRecord {
	if peer.VM == e.self.VM || len(e.entries) >= maxEntries {
		return nil
	}
	record := &entryRecord{view: EntryView{Peer: peer}, lastSeen: now, lastAsked: neverAsked}
	e.entries[peer.VM] = record
	e.entryOrder = append(e.entryOrder, record)
	return record
}

// Gossip handles a gossip request and returns the response.
func (e *Entry) Gossip(now time.Duration, request *pb.GossipRequest) *pb.GossipResponse {
	from := request.GetFrom()
	response := &pb.GossipResponse{ConfigGeneration: e.generation, From: e.selfInfo()}
	record := e.entries[from.GetVm()]
	if incarnationOf(from.GetIncarnation()).Counter == 0 {
		response.Entries = e.answerJoin(now, from, record)
		return response
	}
	restarted := record == nil || record.view.Incarnation != incarnationOf(from.GetIncarnation())
	e.applyGossip(now, from, request.GetEntries(), request.GetEndpoints())
	response.Entries, response.Endpoints = e.items(now, from.GetVm(), from.GetZone())
	if restarted && from.GetZone() == e.self.Zone {
		response.Entries = append(response.Entries, e.zoneList(from.GetVm(), from.GetZone())...)
	}
	if record != nil && record.view.Incarnation.Compare(incarnationOf(from.GetIncarnation())) > 0 {
		response.Entries = append(response.Entries, entryInfo(record, false))
	}
	return response
}

// answerJoin returns the response items for a joining entry: its highest known
// incarnation, the entries of its zone, and this entry. An entry that has itself just
// started returns only the incarnation, because any other item makes the joining entry
// shorten its join, and the joins after a full restart have to stay spread.
func (e *Entry) answerJoin(now time.Duration, from *pb.EntryInfo, record *entryRecord) []*pb.EntryInfo {
	var infos []*pb.EntryInfo
	if record != nil && record.view.Incarnation.Counter > 0 {
		infos = append(infos, entryInfo(record, false))
	}
	if !e.settled(now) {
		return infos
	}
	infos = append(infos, e.zoneList(from.GetVm(), from.GetZone())...)
	return append(infos, e.selfInfo())
}

// zoneList returns live entries of a zone for an entry of that zone that has just started,
// so that it can query its neighbours before it serves.
func (e *Entry) zoneList(vm, zone string) []*pb.EntryInfo {
	var infos []*pb.EntryInfo
	for _, other := range e.entryOrder {
		alive := other.view.State == Alive && !other.view.Leaving && other.view.VM != vm
		if alive && other.view.Zone == zone && len(infos) < maxListedJoin {
			infos = append(infos, entryInfo(other, true))
		}
	}
	return infos
}

// GossipResult handles the response to a gossip request; a nil response means that the
// call failed.
func (e *Entry) GossipResult(now time.Duration, vm string, response *pb.GossipResponse) {
	if response == nil {
		e.exchangeFailed(now, vm)
		return
	}
	if len(response.GetEntries()) > 0 && !e.joined {
		e.raiseIncarnation(findInfo(response.GetEntries(), e.self.VM))
		e.shortenJoin(now, response)
	}
	e.applyGossip(now, response.GetFrom(), response.GetEntries(), response.GetEndpoints())
}

// shortenJoin brings the join forward when the response shows a running system, that is,
// when it lists other entries.
func (e *Entry) shortenJoin(now time.Duration, response *pb.GossipResponse) {
	others := len(response.GetEntries())
	if findInfo(response.GetEntries(), e.self.VM) != nil {
		others--
	}
	if others == 0 || e.systemRunning {
		return
	}
	e.systemRunning = true
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
	if record.view.State == Suspect && record.failures >= entryDeadAfterFailures {
		record.view.State = Dead
		e.recordChange(vm)
		e.emit(EntryDead, vm, now-record.lastSeen)
	}
}

func (e *Entry) entrySuspectAfter(record *entryRecord) time.Duration {
	if record.view.Zone == e.self.Zone {
		return zoneEntrySuspectAfter
	}
	return remoteEntrySuspectAfter
}

// checkEntries marks unresponsive entries as suspect, so that gossip contacts them
// directly, and removes dead entries other than seeds after deadRetention.
func (e *Entry) checkEntries(now time.Duration) {
	kept := e.entryOrder[:0]
	for _, record := range e.entryOrder {
		sinceLastSeen := now - record.lastSeen
		if record.view.State == Dead && sinceLastSeen > deadRetention && !record.seed {
			delete(e.entries, record.view.VM)
			continue
		}
		kept = append(kept, record)
		if record.view.State == Alive && sinceLastSeen >= e.entrySuspectAfter(record) {
			record.view.State = Suspect
			record.failures = 0
		}
	}
	e.entryOrder = kept
}

// applyGossip applies the items of one message. The sender counts as seen directly, even if
// its heartbeat is not newer.
func (e *Entry) applyGossip(now time.Duration, from *pb.EntryInfo, entries []*pb.EntryInfo, endpoints []*pb.ReportRequest) {
	if from != nil {
		e.learnEntry(now, from, true)
	}
	for _, item := range entries {
		if item.GetVm() == e.self.VM {
			e.raiseIncarnation(item)
			continue
		}
		e.learnEntry(now, item, false)
	}
	for _, report := range endpoints {
		e.addToSample(now, report)
	}
}

// raiseIncarnation raises the incarnation of this process above the one that another
// process knows of this VM.
func (e *Entry) raiseIncarnation(item *pb.EntryInfo) {
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
	e.markEntryAlive(now, record, item, order > 0)
}

func (e *Entry) markEntryAlive(now time.Duration, record *entryRecord, item *pb.EntryInfo, announce bool) {
	if item.GetZone() != "" {
		record.view.Peer = peerOf(item)
	}
	if record.view.State != Alive && record.view.State != Suspect {
		e.emit(EntryAlive, item.GetVm(), now-record.lastSeen)
		announce = true
	}
	record.view.State = Alive
	if item.GetLeaving() != record.view.Leaving {
		record.view.Leaving = item.GetLeaving()
		announce = true
		if item.GetLeaving() {
			e.emit(EntryLeaving, item.GetVm(), 0)
		}
	}
	record.view.Incarnation = incarnationOf(item.GetIncarnation())
	record.heartbeat = item.GetHeartbeat()
	record.lastSeen = now
	record.failures = 0
	if announce {
		record.announcementsLeft = remoteAnnouncements
		if record.view.Zone == e.self.Zone {
			record.announcementsLeft = zoneAnnouncements
		}
		e.recordChange(item.GetVm())
	}
}

// recordChange records a change of an entry of the own zone, so that responses to reports
// list it to the endpoints of the zone. Entries of other zones are ignored.
func (e *Entry) recordChange(vm string) {
	if e.entries[vm].view.Zone != e.self.Zone {
		return
	}
	e.entryListVersion++
	if i := slices.Index(e.changes, vm); i >= 0 {
		e.changes = slices.Delete(e.changes, i, i+1)
	}
	e.changes = append(e.changes, vm)
}

func entryInfo(record *entryRecord, full bool) *pb.EntryInfo {
	item := &pb.EntryInfo{Vm: record.view.VM, Incarnation: record.view.Incarnation.Proto(),
		Leaving: record.view.Leaving, Heartbeat: record.heartbeat}
	if full {
		item.Zone = record.view.Zone
		item.Region = record.view.Region
		item.Address = record.view.Address
	}
	return item
}

// gossip starts the exchanges of one round: one with a random live entry of the own zone,
// one with a random live entry of another zone, and one with a random entry that is not
// alive. Before the join, it queries random entries instead.
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
	notAlive := e.pick(func(r *entryRecord) bool {
		wait := deadEntryRetry
		if r.view.State == Suspect || r.view.State == Unverified {
			wait = gossipInterval
		}
		return r.view.State != Alive && now-r.lastAsked >= wait
	})
	e.exchange(now, notAlive, out)
}

// askSeeds sends the queries of a joining entry.
func (e *Entry) askSeeds(now time.Duration, out *Output) {
	e.nextGossip = min(e.joinAt, now+jittered(e.rng, joinQueryInterval))
	for range joinQueries {
		record := e.pick(func(r *entryRecord) bool { return r.lastAsked != now })
		if record == nil {
			return
		}
		record.lastAsked = now
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
	record.lastAsked = now
	entries, endpoints := e.items(now, record.view.VM, record.view.Zone)
	out.Gossip = append(out.Gossip, GossipSend{To: record.view.Peer, Request: &pb.GossipRequest{
		From: e.selfInfo(), ConfigGeneration: e.generation, Entries: entries, Endpoints: endpoints}})
}

// items returns the next entries and endpoints to send to an entry. Both lists rotate and
// are bounded. A receiver of the own zone gets no endpoints, and no entries of other zones
// but announced ones.
func (e *Entry) items(now time.Duration, vm, zone string) ([]*pb.EntryInfo, []*pb.ReportRequest) {
	var list []*pb.EntryInfo
	sameZone := zone == e.self.Zone
	var relayed []*pb.ReportRequest
	if !sameZone {
		relayed = e.relay()
	}
	for range len(e.entryOrder) {
		if len(list) >= maxCompactItems {
			break
		}
		record := e.nextEntry()
		if sameZone && record.view.Zone != e.self.Zone {
			continue
		}
		if fresh := now-record.lastSeen < e.entrySuspectAfter(record)/2; record.view.State == Alive && fresh && record.view.VM != vm {
			list = append(list, entryInfo(record, false))
		}
	}
	list = append(list, e.fullItems(vm, sameZone)...)
	return list, relayed
}

// fullItems returns full items: the entries to announce, and the next entry of a rotation
// that makes up for lost announcements. For a receiver of the own zone, entries of the zone
// are announced first.
func (e *Entry) fullItems(vm string, sameZone bool) []*pb.EntryInfo {
	var list []*pb.EntryInfo
	var added []*entryRecord
	add := func(record *entryRecord) {
		added = append(added, record)
		if record.view.VM != vm {
			record.announcementsLeft--
			list = append(list, entryInfo(record, true))
		}
	}
	for _, zoneFirst := range []bool{true, false} {
		for _, record := range e.entryOrder {
			isFirst := record.view.Zone == e.self.Zone || !sameZone
			if record.announcementsLeft > 0 && len(list) < maxNewItems && isFirst == zoneFirst {
				add(record)
			}
		}
	}
	for range len(e.entryOrder) {
		e.nextFull = (e.nextFull + 1) % len(e.entryOrder)
		record := e.entryOrder[e.nextFull]
		if record.view.State == Alive && (!sameZone || record.view.Zone == e.self.Zone) && !slices.Contains(added, record) {
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

// relay returns the next live endpoints of the own zone to send to entries of other zones.
func (e *Entry) relay() []*pb.ReportRequest {
	var reports []*pb.ReportRequest
	for range len(e.endpointOrder) {
		e.nextRelay = (e.nextRelay + 1) % len(e.endpointOrder)
		record := e.endpointOrder[e.nextRelay]
		if record.view.State == Alive && record.hasFullReport && record.view.Zone == e.self.Zone && !record.view.Leaving {
			reports = append(reports, relayedReport(record.view.Report))
		}
		if len(reports) >= maxRelayItems {
			break
		}
	}
	return reports
}

// relayedReport returns the part of a report that entries of another zone need to reach the
// endpoint.
func relayedReport(report *pb.ReportRequest) *pb.ReportRequest {
	return &pb.ReportRequest{Vm: report.GetVm(), Zone: report.GetZone(), Region: report.GetRegion(),
		Address: report.GetAddress(), Incarnation: report.GetIncarnation(), Sequence: report.GetSequence()}
}

// entryListFor returns the entries to list in the response to an endpoint's report: those
// to report to after its first report, then those of the zone that changed, and with every
// remoteListEvery-th report those of another zone that it has to report to.
func (e *Entry) entryListFor(record *endpointRecord) []*pb.EntryInfo {
	if record.listedVersion == 0 {
		record.listedVersion = e.entryListVersion + 1
		return e.firstList(record)
	}
	if e.listedReports++; e.listedReports%remoteListEvery == 0 && len(e.entryOrder) > 0 {
		return e.remoteTargetsFor(record)
	}
	unsent := min(e.entryListVersion+1-record.listedVersion, uint64(len(e.changes)))
	if unsent == 0 || record.view.Zone != e.self.Zone {
		return nil
	}
	start := len(e.changes) - int(unsent)
	end := min(start+maxListed, len(e.changes))
	record.listedVersion = e.entryListVersion + 1 - uint64(len(e.changes)-end)
	var infos []*pb.EntryInfo
	for _, vm := range e.changes[start:end] {
		known := e.entries[vm]
		if known != nil && known.view.State == Alive {
			infos = append(infos, entryInfo(known, true))
		}
	}
	return infos
}

// remoteTargetsFor returns the entries of the next other zone that an endpoint has to
// report to.
func (e *Entry) remoteTargetsFor(endpoint *endpointRecord) []*pb.EntryInfo {
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
		infos = append(infos, entryInfo(e.entries[vm], true))
	}
	return infos
}

// Entries calls yield for each known entry except this one.
func (e *Entry) Entries(yield func(EntryView) bool) {
	for _, record := range e.entryOrder {
		if !yield(record.view) {
			return
		}
	}
}
