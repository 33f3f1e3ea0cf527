package hosted

import (
	"context"
	"math"
	"net"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/fleetload"
	"laburnumgw/platform"
)

const (
	// minFactsInterval is the interval at which an entry tells the others of its zone its facts. With many entries it is
	// factsPerEntry for each, up to maxFactsInterval.
	minFactsInterval = 250 * time.Millisecond
	factsPerEntry    = 10 * time.Millisecond
	maxFactsInterval = time.Second
	// allToldEntries is the largest number of other entries of a zone that are told at each interval. Of more, a part is told
	// that changes, in one datagram each, so that all datagrams take up to factsBytesPerSecond.
	allToldEntries      = 20
	factsBytesPerSecond = 14_500
	// packetBytes is what one packet holds on any way beside the headerBytes of its addresses, and maxFactsDatagrams bounds
	// the datagrams of one interval. The workers with the longest queues come first. A fact of more than maxFactBytes, which
	// only names can take, is left out.
	packetBytes       = 1232
	headerBytes       = 48
	maxFactsDatagrams = 4
	maxFactBytes      = 480
	// demandBytes is the most that a demand takes besides its names, and maxDemandBytes with them. Workspaces with longer names are
	// told together with others.
	demandBytes    = 50
	maxDemandBytes = 160
)

// factsPlan is when and to how many an entry with some others in its zone tells its facts.
type factsPlan struct {
	others, datagrams int
	interval          time.Duration
}

func planFacts(others int) factsPlan {
	plan := factsPlan{others: others, datagrams: maxFactsDatagrams, interval: min(max(minFactsInterval, time.Duration(others)*factsPerEntry), maxFactsInterval)}
	if others > allToldEntries {
		plan.datagrams = 1
	}
	return plan
}

// told returns the number of entries to which datagrams of some bytes in all may be sent at one interval.
func (p factsPlan) told(bytes int) int {
	if p.others <= allToldEntries {
		return p.others
	}
	return min(max(int(factsBytesPerSecond*p.interval.Seconds())/bytes, 1), p.others)
}

// leastTold returns the same for datagrams as large as they may be.
func (p factsPlan) leastTold() int { return p.told(p.datagrams * (packetBytes + headerBytes)) }

// timeToLive returns the time within which every other entry of the zone is told, with one interval as reserve.
func (p factsPlan) timeToLive() time.Duration {
	if p.others <= allToldEntries {
		return fleetload.DefaultTimeToLive
	}
	intervals := (p.others + p.leastTold() - 1) / p.leastTold()
	return time.Duration(intervals+1) * longestPause(p.interval)
}

// longestPause returns the longest pause that is drawn for an interval; the shortest is a third of it.
func longestPause(interval time.Duration) time.Duration { return interval * 3 / 2 }

// demandSource returns what the callers of this entry ask for, in no more than some bytes.
type demandSource func(now time.Time, bytes int) []fleetload.Demand

// tellFacts tells the entries of the zone what this one knows first hand about load, until the context ends.
func (p *Process) tellFacts(ctx context.Context) {
	next := int(p.view.random() * float64(1<<20))
	for {
		plan := p.view.planFacts()
		shortest := longestPause(plan.interval) / 3
		if !dispatch.Sleep(ctx, shortest+time.Duration(p.view.random()*float64(plan.interval))) {
			return
		}
		messages := p.view.ownFacts(time.Now())
		if len(messages) == 0 {
			continue
		}
		datagrams := make([][]byte, 0, len(messages))
		for _, message := range messages {
			data, err := proto.Marshal(&laburnumgwv1.WorkerReport{Facts: message})
			if err != nil {
				p.log.Error("facts not encoded", zap.Error(err))
				break
			}
			datagrams = append(datagrams, data)
		}
		addresses := p.view.zoneAddresses()
		for range min(plan.told(sentBytes(messages)), len(addresses)) {
			next %= len(addresses)
			p.sendFacts(addresses[next], datagrams)
			next++
		}
	}
}

func (p *Process) sendFacts(entry string, datagrams [][]byte) {
	address, err := netip.ParseAddrPort(entry)
	if err != nil {
		p.log.Debug("entry has no usable address", zap.String("entry", entry), zap.Error(err))
		return
	}
	for _, data := range datagrams {
		if _, err := p.reports.WriteTo(data, net.UDPAddrFromAddrPort(address)); err != nil {
			p.log.Debug("facts not sent", zap.String("entry", entry), zap.Error(err))
			return
		}
		p.frontend.metrics.factsSent.Inc()
	}
}

// zoneAddresses returns the addresses of the other entries of this zone, in order.
func (v *view) zoneAddresses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var addresses []string
	for name, entry := range v.entries {
		if v.isZoneNeighbour(name, entry) {
			addresses = append(addresses, entry.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func (v *view) isZoneNeighbour(name string, entry platform.Entry) bool {
	return name != v.settings.VM && entry.Zone == v.settings.Zone
}

// planFacts returns how facts are told among the entries of this zone, and has those of others hold as long as they need to come again.
func (v *view) planFacts() factsPlan {
	v.mu.Lock()
	defer v.mu.Unlock()
	plan := v.factsPlan()
	v.load.fleet.SetTimeToLive(plan.timeToLive())
	return plan
}

// factsPlan returns how facts are told among the entries of this zone. The caller holds the lock.
func (v *view) factsPlan() factsPlan {
	others := 0
	for name, entry := range v.entries {
		if v.isZoneNeighbour(name, entry) {
			others++
		}
	}
	return planFacts(others)
}

// ownFacts returns the messages with the facts of this entry. It returns none while no decision uses them, and none once
// all were told that there are none.
func (v *view) ownFacts(now time.Time) []*laburnumgwv1.EntryFacts {
	v.mu.Lock()
	defer v.mu.Unlock()
	plan := v.factsPlan()
	var demands []fleetload.Demand
	if v.load.demands != nil {
		demands = v.load.demands(now, v.bytesForDemands(plan))
	}
	if !v.load.inUse && len(demands) == 0 && !v.load.toldDemands {
		return nil
	}
	v.load.toldDemands = len(demands) > 0
	facts := v.load.fleet.Facts(now)
	facts.Demands = demands
	if !v.load.inUse {
		facts.Workers = nil
	}
	messages := factsMessages(facts, plan.datagrams)
	isEmpty := len(facts.Workers)+len(facts.Demands) == 0
	switch {
	case !isEmpty:
		v.load.toldNothing = 0
	case v.load.toldNothing >= max(plan.others, 1):
		return nil
	default:
		v.load.toldNothing += max(plan.told(sentBytes(messages)), 1)
	}
	return messages
}

// bytesForDemands returns how many bytes of demands are sent for certain beside any number of workers: a message takes demands up to half
// of what is free, and between two of them one may not fit. The caller holds the lock.
func (v *view) bytesForDemands(plan factsPlan) int {
	message := &laburnumgwv1.EntryFacts{Entry: v.settings.VM, Zone: v.settings.Zone, Born: math.MaxInt64, Sequence: math.MaxUint64, Partial: true}
	free := packetBytes - proto.Size(&laburnumgwv1.WorkerReport{Facts: message}) - 1
	return plan.datagrams*(free/2) - (plan.datagrams-1)*maxDemandBytes
}

// sentBytes returns what the datagrams with some messages take on the way.
func sentBytes(messages []*laburnumgwv1.EntryFacts) int {
	size := 0
	for _, message := range messages {
		size += headerBytes + proto.Size(&laburnumgwv1.WorkerReport{Facts: message})
	}
	return size
}

// factsMessages divides facts into some messages at most that fit into one packet each: demands up to half of it, then workers, then demands
// again.
func factsMessages(facts fleetload.Facts, most int) []*laburnumgwv1.EntryFacts {
	demands := fitting(facts.Demands, demandMessage)
	workers := fitting(facts.Workers, workerMessage)
	var messages []*laburnumgwv1.EntryFacts
	for {
		message := &laburnumgwv1.EntryFacts{Entry: facts.Entry, Zone: facts.Zone, Born: facts.StartedAtMs, Sequence: facts.Sequence, Partial: true}
		// The message itself is an element of the report.
		free := packetBytes - proto.Size(&laburnumgwv1.WorkerReport{Facts: message}) - 1
		first, forWorkers := takeUpTo(demands, free/2)
		message.Workers, free = takeUpTo(workers, forWorkers+free-free/2)
		further, _ := takeUpTo(demands[len(first):], free)
		message.Demands = demands[:len(first)+len(further)]
		demands, workers = demands[len(message.Demands):], workers[len(message.Workers):]
		messages = append(messages, message)
		if len(demands)+len(workers) == 0 || len(messages) == most {
			message.Partial = false
			return messages
		}
	}
}

// fitting encodes facts without those beyond maxFactBytes.
func fitting[F any, M proto.Message](facts []F, encode func(F) M) []M {
	var messages []M
	for _, fact := range facts {
		if message := encode(fact); elementBytes(message) <= maxFactBytes {
			messages = append(messages, message)
		}
	}
	return messages
}

// takeUpTo returns the first messages that take no more than some bytes as elements of another, and the bytes left.
func takeUpTo[M proto.Message](messages []M, free int) (taken []M, left int) {
	for i, message := range messages {
		size := elementBytes(message)
		if size > free {
			return messages[:i], free
		}
		free -= size
	}
	return messages, free
}

// elementBytes returns what a message takes as a repeated field with a number below 16.
func elementBytes(message proto.Message) int { return 1 + protowire.SizeBytes(proto.Size(message)) }

func demandMessage(d fleetload.Demand) *laburnumgwv1.Demand {
	return &laburnumgwv1.Demand{
		Service: d.Service, Workspace: d.Workspace, Rank: int32(d.Rank), Offered: d.Offered, Admitted: d.Admitted, TurnedAway: d.TurnedAway, Usual: d.Usual,
	}
}

func workerMessage(w fleetload.WorkerFact) *laburnumgwv1.WorkerFact {
	return &laburnumgwv1.WorkerFact{
		Vm: w.VM, Born: w.StartedAtMs, Running: int32(w.Running), Waiting: int32(w.Waiting),
		WaitingPromptTokens: w.WaitingPromptTokens, HeldBytes: w.HeldBytes,
	}
}

// factsHeard applies the facts of another entry of this zone. Only the list of entries decides which there are.
func (v *view) factsHeard(message *laburnumgwv1.EntryFacts) {
	facts := fleetload.Facts{Entry: message.GetEntry(), Zone: message.GetZone(), StartedAtMs: message.GetBorn(), Sequence: message.GetSequence(), Partial: message.GetPartial()}
	for _, d := range message.GetDemands() {
		facts.Demands = append(facts.Demands, fleetload.Demand{
			Service: d.GetService(), Workspace: d.GetWorkspace(), Rank: int(d.GetRank()), Offered: d.GetOffered(), Admitted: d.GetAdmitted(),
			TurnedAway: d.GetTurnedAway(), Usual: d.GetUsual(),
		})
	}
	for _, w := range message.GetWorkers() {
		facts.Workers = append(facts.Workers, fleetload.WorkerFact{
			VM: w.GetVm(), StartedAtMs: w.GetBorn(), Running: int(w.GetRunning()), Waiting: int(w.GetWaiting()),
			WaitingPromptTokens: w.GetWaitingPromptTokens(), HeldBytes: w.GetHeldBytes(),
		})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	entry, listed := v.entries[facts.Entry]
	used := listed && v.isZoneNeighbour(facts.Entry, entry) && v.load.fleet.Heard(facts, time.Now())
	v.metrics.factsHeard(used).Inc()
}
