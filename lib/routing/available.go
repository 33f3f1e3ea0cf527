package routing

// Places returns how many requests the endpoints of a model or service run at once that may receive new ones.
func (t *Table) Places(model, service string) int {
	p := t.pools[poolKey{model: model, service: service}]
	if p == nil {
		return 0
	}
	places := 0
	for i := range p.members {
		if e := p.members[i].endpoint; !e.impaired() {
			places += int(e.limit)
		}
	}
	return places
}

// Available reports whether an endpoint may receive new requests: it is not dead, not
// leaving, and its availability zone is in service.
func (t *Table) Available(vm string) bool {
	e, ok := t.endpoints[vm]
	return ok && e.available()
}
