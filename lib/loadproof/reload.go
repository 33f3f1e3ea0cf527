package loadproof

// State returns what is known about the layers that the worker reports to hold. It is Pending while the report does
// not show yet what the worker has taken.
func (l *Ledger) State(h Holdings) State {
	if !l.started || h.StartedAtMs != l.start || h.Sequence != l.sequence {
		return Pending
	}
	state := Whole
	for i := h.Layers.From; i < h.Layers.To; i++ {
		switch held, ok := l.layers[i]; {
		case !ok || held.version != h.Version || held.state == Pending:
			return Pending
		case held.state == Unproven:
			state = Unproven
		}
	}
	return state
}

// Reload returns the layers to order next, so that the worker ends with all layers proven. A worker keeps the layers of
// the same version that it holds, so that those which are not proven must be dropped by an order for others first.
func (l *Ledger) Reload(m Model, version int) Range {
	half := m.Layers / 2
	lower, upper := Range{To: half}, Range{From: half, To: m.Layers}
	holdsLower, holdsUpper := l.holds(version, lower), l.holds(version, upper)
	switch {
	case half == 0 || !holdsLower && !holdsUpper:
		return m.All()
	case l.proven(version, lower):
		if holdsUpper && !l.proven(version, upper) {
			return lower
		}
		return m.All()
	case l.proven(version, upper):
		if holdsLower {
			return upper
		}
		return m.All()
	case holdsUpper && !holdsLower:
		return lower
	default:
		return upper
	}
}

// holds reports whether the worker holds any layer of a range at a version.
func (l *Ledger) holds(version int, layers Range) bool {
	for i := layers.From; i < layers.To; i++ {
		if l.layers[i].version == version {
			return true
		}
	}
	return false
}

// proven reports whether the worker holds all layers of a range and they are proven.
func (l *Ledger) proven(version int, layers Range) bool {
	for i := layers.From; i < layers.To; i++ {
		if held := l.layers[i]; held.version != version || held.state != Whole {
			return false
		}
	}
	return layers.To > layers.From
}
