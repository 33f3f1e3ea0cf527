package placement

import "fmt"

const (
	// waveDivisor is the inverse of the share of a zone's replicas that may switch at
	// a time.
	waveDivisor = 3
	// smallGroup is the number of replicas below which one switch takes more than that
	// share out of service. The zones with fewer replicas switch one after the other.
	smallGroup = 3
)

// waveLimit returns the number of replicas that may switch at a time: a third, and at
// least one, because a zone with one or two replicas could never switch otherwise.
// Other zones serve while the only replica of a zone switches.
func (g *group) waveLimit() int { return max(1, len(g.replicas)/waveDivisor) }

// switchVersions starts the next wave of each group where that is possible, and reports
// every group.
func (p *planner) switchVersions() {
	switchingSmallZone := make(map[string]string)
	for _, g := range p.groups {
		if len(g.replicas) < smallGroup && g.pending() > 0 {
			switchingSmallZone[g.model] = g.zone
		}
	}
	for _, g := range p.groups {
		action, reason := g.startWave(switchingSmallZone)
		p.report(g, action, reason)
	}
}

// startWave assigns the target version to the replicas of the next wave when all replicas
// of the previous wave serve it. The map names, by model, the small zone that is switching.
func (g *group) startWave(switchingSmallZone map[string]string) (Action, string) {
	if g.target.Digest == "" {
		return ActionHold, fmt.Sprintf("version %s is not published or was withdrawn; replicas keep their version", g.settings.Version)
	}
	var waiting []*replica
	tooLarge := 0
	last := 0
	for _, r := range g.replicas {
		switch {
		case r.digest == g.target.Digest:
			last = max(last, r.wave)
		case r.fits:
			waiting = append(waiting, r)
		default:
			tooLarge++
		}
	}
	switch pending := g.pending(); {
	case len(waiting) == 0:
		return g.noWaveAction(pending, tooLarge)
	case pending > 0:
		return ActionWait, fmt.Sprintf("%d replicas do not serve the version yet; %d wait for the next wave", pending, len(waiting))
	case len(g.replicas) < smallGroup && switchingSmallZone[g.model] != "":
		return ActionWait, fmt.Sprintf("zone %s with fewer than %d replicas switches first", switchingSmallZone[g.model], smallGroup)
	}
	wave := waiting[:min(g.waveLimit(), len(waiting))]
	for _, r := range wave {
		r.digest = g.target.Digest
		r.wave = last + 1
	}
	g.wave = last + 1
	if len(g.replicas) < smallGroup {
		switchingSmallZone[g.model] = g.zone
	}
	return ActionSwitch, fmt.Sprintf("wave %d switches %d of %d replicas", g.wave, len(wave), len(g.replicas))
}

// noWaveAction explains a group in which no replica waits for a wave.
func (g *group) noWaveAction(pending, tooLarge int) (Action, string) {
	switch {
	case tooLarge > 0:
		return ActionHold, fmt.Sprintf("%d replicas keep their version because the new one does not fit into their memory", tooLarge)
	case g.placed > 0:
		return ActionPlace, fmt.Sprintf("%d replicas are new", g.placed)
	case pending > 0:
		return ActionWait, fmt.Sprintf("%d replicas do not serve the version yet", pending)
	default:
		return ActionKeep, "all replicas serve the version"
	}
}

// report records what is missing in a group and explains its decision.
func (p *planner) report(g *group, action Action, reason string) {
	if missing := g.desired - len(g.replicas); missing > 0 {
		p.shortfalls = append(p.shortfalls, Shortfall{Model: g.model, Zone: g.zone, Missing: missing, Reason: g.missingReason()})
		reason = fmt.Sprintf("%s; %d replicas missing: %s", reason, missing, g.missingReason())
	}
	p.explanations = append(p.explanations, Explanation{
		Model: g.model, Zone: g.zone, Target: g.target.Digest, Desired: g.desired, Replicas: len(g.replicas),
		Updated: g.updated(), Pending: g.pending(), WaveLimit: g.waveLimit(), Wave: g.wave, Action: action, Reason: reason,
	})
}

func (g *group) missingReason() Reason {
	switch {
	case g.target.Digest == "":
		return ReasonVersion
	case len(g.ranked) > len(g.replicas):
		return ReasonMemory
	default:
		return ReasonEndpoint
	}
}
