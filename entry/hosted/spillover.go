package hosted

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/routing"
	"laburnumgw/lib/spillover"
)

// spilloverInterval is the least pause between two comparisons of the zones of a service.
const spilloverInterval = 150 * time.Millisecond

// serviceSpillover decides which requests to a service leave the zone.
type serviceSpillover struct {
	*spillover.Control
	comparedAt time.Time
}

// followSpillover has a service whose load is known decide by it which requests leave the zone. The caller holds the lock.
func (v *view) followSpillover(state *service) {
	if state.spillover == nil && !v.settings.NoSpillover {
		state.spillover = &serviceSpillover{Control: spillover.New(spillover.Settings{})}
		state.table.SetSpillover(state.spillover)
	}
}

// compareZones takes into account what requests to a service are expected to find in the zones. The caller holds the lock.
func (v *view) compareZones(state *service, now time.Time) {
	s := state.spillover
	if s == nil || now.Sub(s.comparedAt) < spilloverInterval {
		return
	}
	s.comparedAt = now
	name := state.config.Name
	figures := state.zoneFigures(v.objective(name), now)
	change := s.Observe(figures, now)
	part := s.Part(now)
	v.metrics.spilloverPart(name, part)
	fields := []zap.Field{
		zap.String("service", name), zap.Float64("part", part), zap.Duration("expected_here", figures.Near),
		zap.Duration("expected_elsewhere", figures.Far), zap.Float64("room", figures.Room),
	}
	switch change {
	case spillover.Began:
		v.metrics.spilloverChanged(name, "began")
		v.log.Info("requests leave the availability zone", fields...)
	case spillover.Ended:
		v.metrics.spilloverChanged(name, "ended")
		v.log.Info("requests stay in the availability zone again", fields...)
	}
}

// zoneFigures returns what a service's requests are expected to find, or nothing without recent loads of both sides. The way is
// not known to the routing; it is a small part of the margin.
func (s *service) zoneFigures(aim time.Duration, now time.Time) spillover.Figures {
	var waits routing.ZoneWaits
	if engine := s.config.Engine; engine != nil {
		waits = s.table.ZoneWaits(s.config.Name, "", int64(engine.MeanPromptTokens), now)
	} else {
		waits = s.table.ZoneWaits("", s.config.Name, 0, now)
	}
	if !waits.Known {
		return spillover.Figures{}
	}
	return spillover.Figures{Near: waits.Near, Far: waits.Far, Aim: aim, Room: waits.Free / max(waits.Load, 1)}
}

// spilloverPart states the part of the requests to a service that may leave the zone.
func (m *entryMetrics) spilloverPart(service string, part float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf("laburnumgw_entry_spillover_part{service=%q}", service), nil).Set(part)
}

// spilloverChanged counts the times at which requests to a service began or ceased to leave the zone.
func (m *entryMetrics) spilloverChanged(service, change string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_entry_spillover_changes_total{service=%q,change=%q}", service, change)).Inc()
}

// sentToZone counts the requests that were sent to another zone, for whatever reason.
func (m *entryMetrics) sentToZone(service, zone string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_entry_sent_to_zone_total{service=%q,zone=%q}", service, zone)).Inc()
}
