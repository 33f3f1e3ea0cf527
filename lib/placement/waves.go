package placement

// switchVersions moves the replicas to the target version.
func (p *planner) switchVersions() {
	for _, g := range p.groups {
		for _, r := range g.replicas {
			if r.fits && r.digest != g.target.Digest {
				r.digest = g.target.Digest
				r.wave++
			}
		}
		p.report(g)
	}
}

// report records what is missing in a group and explains its decision.
func (p *planner) report(g *group) {
	if missing := g.desired - len(g.replicas); missing > 0 {
		p.unmet = append(p.unmet, Unmet{Model: g.model, Zone: g.zone, Missing: missing, Reason: g.missingReason()})
	}
	p.explanations = append(p.explanations, Explanation{
		Model: g.model, Zone: g.zone, Target: g.target.Digest, Desired: g.desired, Replicas: len(g.replicas),
		Updated: g.updated(), Pending: g.pending(), Action: ActionKeep, Reason: "no wave limit",
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
