package placement

import "fmt"

const (
	// waveDivisor is the inverse of the share of a zone's replicas that may switch at
	// a time.
	waveDivisor = 3
	// smallGroup is the number of replicas below which one switch takes more than that
	// share out of service. Such zones switch one after the other.
	smallGroup = 3
)

// waveLimit returns the number of replicas that may switch at a time: a third, and at
// least one, because a zone with one or two replicas could never switch otherwise.
// Other zones serve while the only replica of a zone switches.
func (g *group) waveLimit() int { return max(1, len(g.replicas)/waveDivisor) }

// switchVersions assigns the target version to more replicas of each group, and
// reports every group.
func (p *planner) switchVersions() {
	smallBusy := make(map[string]string)
	for _, g := range p.groups {
		if len(g.replicas) < smallGroup && g.pending() > 0 {
			smallBusy[g.model] = g.zone
		}
	}
	for _, g := range p.groups {
		action, reason := g.startWave(smallBusy)
		p.report(g, action, reason)
	}
}

// startWave assigns the target version to the next wave when all replicas of the
// previous one serve it.
func (g *group) startWave(smallBusy map[string]string) (Action, string) {
	if g.target.Digest == "" {
		return ActionHold, fmt.Sprintf("version %s is not published or was withdrawn; replicas keep their version", g.settings.Version)
	}
	var waiting []*replica
	held := 0
	last := 0
	for _, r := range g.replicas {
		switch {
		case r.digest == g.target.Digest:
			last = max(last, r.wave)
		case r.fits:
			waiting = append(waiting, r)
		default:
			held++
		}
	}
	switch pending := g.pending(); {
	case len(waiting) == 0:
		return g.idleAction(pending, held)
	case pending > 0:
		return ActionWait, fmt.Sprintf("%d replicas do not serve the version yet; %d wait for the next wave", pending, len(waiting))
	case len(g.replicas) < smallGroup && smallBusy[g.model] != "":
		return ActionWait, fmt.Sprintf("zone %s with fewer than %d replicas switches first", smallBusy[g.model], smallGroup)
	}
	wave := waiting[:min(g.waveLimit(), len(waiting))]
	for _, r := range wave {
		r.digest = g.target.Digest
		r.wave = last + 1
	}
	g.wave = last + 1
	if len(g.replicas) < smallGroup {
		smallBusy[g.model] = g.zone
	}
	return ActionSwitch, fmt.Sprintf("wave %d switches %d of %d replicas", g.wave, len(wave), len(g.replicas))
}

// idleAction explains a group in which no replica waits for a wave.
func (g *group) idleAction(pending, held int) (Action, string) {
	switch {
	case held > 0:
		return ActionHold, fmt.Sprintf("%d replicas keep their version because the new one does not fit into their memory", held)
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
		p.unmet = append(p.unmet, Shortfall{Model: g.model, Zone: g.zone, Missing: missing, Reason: g.missingReason()})
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
