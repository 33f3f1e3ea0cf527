package hosted

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/departure"
	"laburnumgw/lib/rpc"
)

// departuresTimeout bounds the call in which a starting process asks another entry for the
// departures it knows.
const departuresTimeout = time.Second

// departuresServer lists the leaving workers for entries that have just started.
type departuresServer struct {
	laburnumgwv1.UnimplementedDeparturesServer
	view *view
}

// ListDepartures implements the Departures service.
func (s *departuresServer) ListDepartures(context.Context, *laburnumgwv1.ListDeparturesRequest) (*laburnumgwv1.ListDeparturesResponse, error) {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	response := new(laburnumgwv1.ListDeparturesResponse)
	for _, d := range s.view.departures.All() {
		response.Departures = append(response.Departures, &laburnumgwv1.Departure{Vm: d.VM, Born: d.StartedAtMs})
	}
	return response, nil
}

// addDeparture records that a worker has stated that it is leaving. It reports whether that is
// new. The caller holds the lock.
func (v *view) addDeparture(d departure.Departure, from string) bool {
	if !v.departures.Add(d) {
		return false
	}
	write := func() {
		v.log.Info("worker states that it is leaving", zap.String("vm", d.VM), zap.Int64("born", d.StartedAtMs), zap.String("told_by", from))
	}
	if w := v.workers[d.VM]; w != nil {
		write()
		v.updateRouting(w)
	} else {
		v.unlistedLines.Do(write)
	}
	return true
}

// responseStatesLeaving records that a response states that its worker is leaving, and announces
// it to the other entries.
func (v *view) responseStatesLeaving(vm string) {
	if d, isNew := v.recordLeaving(vm); isNew && v.announceDeparture != nil {
		v.announceDeparture(d)
	}
}

// recordLeaving records that a listed worker is leaving, and reports whether that was unknown.
func (v *view) recordLeaving(vm string) (d departure.Departure, isNew bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.workers[vm]
	if w == nil {
		return d, false
	}
	d = departure.Departure{VM: vm, StartedAtMs: w.StartedAtMs}
	return d, v.addDeparture(d, "its answer")
}

// announceDeparture returns a function that sends a departure to all other entries. An entry
// that misses the datagram learns of the departure from the worker's next response to it, or
// from the list of workers.
func (p *Process) announceDeparture(socket net.PacketConn) func(departure.Departure) {
	return func(d departure.Departure) {
		data, err := proto.Marshal(&laburnumgwv1.WorkerReport{LeavingVm: d.VM, Born: d.StartedAtMs})
		if err != nil {
			p.log.Error("departure not encoded", zap.Error(err))
			return
		}
		p.sendToEntries(socket, data)
	}
}

// fetchDepartures asks another entry which workers are leaving.
func (p *Process) fetchDepartures(ctx context.Context, address string) {
	response, err := rpc.Call(ctx, p.conns, address, departuresTimeout, laburnumgwv1.NewDeparturesClient,
		laburnumgwv1.DeparturesClient.ListDepartures, new(laburnumgwv1.ListDeparturesRequest))
	if err != nil {
		p.log.Debug("departures not received from entry", zap.String("entry", address), zap.Error(err))
		return
	}
	p.view.addDepartures(response, address)
}

// addDepartures records the departures that another entry knows.
func (v *view) addDepartures(response *laburnumgwv1.ListDeparturesResponse, from string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, d := range response.GetDepartures() {
		v.addDeparture(departure.Departure{VM: d.GetVm(), StartedAtMs: d.GetBorn()}, from)
	}
}
