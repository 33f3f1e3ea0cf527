package hosted

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/catalog"
	"laburnumgw/lib/departure"
	"laburnumgw/lib/quarantine"
	"laburnumgw/platform"
)

// maxReportBytes bounds the datagram of a report.
const maxReportBytes = 2 << 10

// readRetryPause separates two attempts to read reports after a failed one.
const readRetryPause = 50 * time.Millisecond

// readReports applies the datagrams of endpoint processes and of other
// entries until the socket is closed.
func (p *Process) readReports(socket net.PacketConn) {
	buffer := make([]byte, maxReportBytes)
	failing := false
	for {
		n, _, err := socket.ReadFrom(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			if !failing {
				p.log.Error("reports cannot be read", zap.Error(err))
			}
			failing = true
			time.Sleep(readRetryPause)
			continue
		case failing:
			p.log.Info("reports are read again")
		}
		failing = false
		p.view.applyDatagram(buffer[:n])
	}
}

// datagramLogInterval separates two lines about datagrams that anybody can send.
const datagramLogInterval = time.Second

// ignoreDatagram counts a datagram without sense, and logs it from time to time.
func (v *view) ignoreDatagram(message string, fields ...zap.Field) {
	v.metrics.datagramsIgnored.Inc()
	v.datagramLines.Do(func() { v.log.Warn(message, fields...) })
}

// applyDatagram applies a report or the crash of a worker, or what another entry has announced.
func (v *view) applyDatagram(data []byte) {
	var report laburnumgwv1.WorkerReport
	if err := proto.Unmarshal(data, &report); err != nil {
		v.ignoreDatagram("report ignored", zap.Error(err))
		return
	}
	if vm := report.GetLeavingVm(); vm != "" {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.addDeparture(departure.Departure{VM: vm, StartedAtMs: report.GetBorn()}, "another entry")
		return
	}
	if limit := report.GetLimit(); limit != nil {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.mergeLimit(limit, "another entry")
		return
	}
	if evidence := report.GetEvidence(); evidence != nil {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.mergeEvidence(evidence)
		return
	}
	if facts := report.GetFacts(); facts != nil {
		v.factsHeard(facts)
		return
	}
	if report.GetCrashed() {
		v.workerCrashed(quarantine.Start{Address: report.GetAddress(), StartedAtMs: report.GetBorn()}, "the process beside it")
		return
	}
	if min(report.GetQueued(), report.GetRunning(), report.GetClosesInMs(), report.GetVersion(), report.GetProvenVersion(), report.GetOrders(), report.GetPacePercent()) < 0 || min(report.GetKvUsed(), report.GetKvTotal()) < 0 {
		v.ignoreDatagram("report with a negative number ignored", zap.String("address", report.GetAddress()))
		return
	}
	v.applyReport(report.GetAddress(), report.GetSequence(), catalog.Report{
		StartedAtMs: report.GetBorn(), Busy: report.GetBusy(), Queued: int(report.GetQueued()), Running: int(report.GetRunning()),
		Leaving: report.GetLeaving(), ProvenVersion: int(report.GetProvenVersion()), Unproven: report.GetUnproven(), Sequence: int(report.GetOrders()), SwitchoverIn: time.Duration(report.GetClosesInMs()) * time.Millisecond,
		Pace: float64(report.GetPacePercent()) / 100, UsedTokens: report.GetKvUsed(), TotalTokens: report.GetKvTotal(),
		Weights: catalog.Weights{
			Model: report.GetModel(), Version: int(report.GetVersion()),
			From: int(report.GetLayersFrom()), To: int(report.GetLayersTo()),
		},
	})
}

// applyReport applies the report of the endpoint process of a worker.
func (v *view) applyReport(address string, sequence uint64, report catalog.Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, w := range v.byAddress[address] {
		if report.StartedAtMs == w.report.StartedAtMs && sequence <= w.reportSequence && time.Since(w.reportedAt) < reportReorderWindow {
			continue // overtaken by a later report
		}
		w.reportSequence = sequence
		w.report = report
		w.reportedAt = time.Now()
		v.applyProof(w, report)
		if report.StartedAtMs == w.StartedAtMs && w.misdirectedVersion > 0 && report.Weights.Version != w.misdirectedVersion {
			w.misdirected = false
		}
		w.crashed = w.crashed && report.StartedAtMs != w.StartedAtMs
		state := v.services[w.Service]
		if state != nil && state.config.Engine != nil && report.StartedAtMs == w.StartedAtMs {
			w.waits.Observe(state.config.Engine.StartWait(report.Queued, report.Running), w.reportedAt)
		}
		if report.Leaving && report.StartedAtMs == w.StartedAtMs {
			v.addDeparture(departure.Departure{VM: w.ID, StartedAtMs: w.StartedAtMs}, "the process beside it")
		}
		if report.StartedAtMs == w.StartedAtMs {
			v.reportLoad(w, report)
		}
		v.updateRouting(w)
		if state != nil && report.StartedAtMs == w.StartedAtMs {
			state.table.ShareFreeCapacity(w.ID, w.reportedAt)
			v.compareZones(state, w.reportedAt)
		}
	}
}

// reconfigure applies the settings that may change while the process runs.
func (v *view) reconfigure(next *platform.Settings) {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := *v.settings
	changed.Bounds = next.Bounds
	changed.Zones = next.Zones
	v.settings = &changed
	for _, state := range v.services {
		v.configureService(state.config)
		state.table.SetZones(v.zones())
	}
	v.updateAllRouting()
	v.rescheduleRetirements()
}

// bounds returns the bounds of the deployment.
func (v *view) bounds() platform.Bounds {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.settings.Bounds
}

// grace returns the time from SIGTERM to SIGKILL.
func (v *view) grace() time.Duration { return v.bounds().Grace }
