package routing

import (
	"slices"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

// poolKey names a model or a plain service.
type poolKey struct {
	model   string
	service string
}

// member is one endpoint of a pool.
type member struct {
	endpoint *endpoint
	digest   string
}

// pool holds the endpoints that serve one model or plain service.
type pool struct {
	key     poolKey
	members []member
	cursor  int
}

func (p *pool) index(e *endpoint) int {
	return slices.IndexFunc(p.members, func(m member) bool { return m.endpoint == e })
}

// updatePools makes the memberships of an endpoint match its report.
func (t *Table) updatePools(e *endpoint, r *laburnumgwv1.ReportRequest) {
	for i := len(e.pools) - 1; i >= 0; i-- {
		p := e.pools[i]
		_, serves := r.GetServing()[p.key.model]
		if p.key.model == "" {
			serves = slices.Contains(r.GetServices(), p.key.service)
		}
		if !serves {
			e.pools = slices.Delete(e.pools, i, i+1)
			t.leavePool(e, p)
		}
	}
	for model, digest := range r.GetServing() {
		t.joinPool(e, poolKey{model: model}, digest)
	}
	for _, service := range r.GetServices() {
		t.joinPool(e, poolKey{service: service}, "")
	}
}

func (t *Table) joinPool(e *endpoint, key poolKey, digest string) {
	p := t.pools[key]
	if p == nil {
		p = &pool{key: key}
		t.pools[key] = p
	}
	for _, known := range e.pools {
		if known == p {
			p.members[p.index(e)].digest = digest
			return
		}
	}
	e.pools = append(e.pools, p)
	m := member{e, digest}
	at, _ := slices.BinarySearchFunc(p.members, m, compareMembers)
	p.members = slices.Insert(p.members, at, m)
}

// compareMembers orders members by VM, so that decisions do not depend on the order
// in which reports arrived.
func compareMembers(a, b member) int {
	switch {
	case a.endpoint.vm < b.endpoint.vm:
		return -1
	case a.endpoint.vm > b.endpoint.vm:
		return 1
	}
	return 0
}

func (t *Table) leavePool(e *endpoint, p *pool) {
	i := p.index(e)
	p.members = slices.Delete(p.members, i, i+1)
	if len(p.members) == 0 {
		delete(t.pools, p.key)
		return
	}
	p.limitEjections()
}

// limitEjections restores the limit on ejections in every pool of an endpoint.
func (t *Table) limitEjections(e *endpoint) {
	for _, p := range e.pools {
		p.limitEjections()
	}
}
