package routing

import (
	"slices"
	"strings"
	"time"
)

// Status describes one endpoint for operators and metrics.
type Status struct {
	VM               string
	Zone             string
	Liveness         Liveness
	Leaving          bool
	ZoneOutOfService bool
	Cold             bool
	Ejected          bool
	// NextProbe is the time from which a request may probe an ejected endpoint.
	NextProbe time.Time
	Limit     int32
	// OwnAttempts counts this entry's running attempts; OthersLoad estimates the load that
	// other entries cause.
	OwnAttempts int32
	OthersLoad  float64
	// Models and Services list the pools of the endpoint.
	Models   []string
	Services []string
}

// Status lists all endpoints in the order of their VMs.
func (t *Table) Status() []Status {
	list := make([]Status, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		list = append(list, e.status())
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.VM, b.VM) })
	return list
}

func (e *endpoint) status() Status {
	s := Status{
		VM:               e.vm,
		Zone:             e.zone,
		Liveness:         e.liveness,
		Leaving:          e.leaving,
		ZoneOutOfService: e.zoneOutOfService,
		Cold:             e.cold,
		Ejected:          e.health.ejected,
		NextProbe:        e.health.nextProbe,
		Limit:            e.limit,
		OwnAttempts:      e.ownAttempts,
		OthersLoad:       e.othersLoad,
	}
	for _, p := range e.pools {
		if p.key.model != "" {
			s.Models = append(s.Models, p.key.model)
		} else {
			s.Services = append(s.Services, p.key.service)
		}
	}
	return s
}
