package routing

// Available reports whether an endpoint may receive new requests: it is not dead, not
// leaving, and its availability zone is in service.
func (t *Table) Available(vm string) bool {
	e, ok := t.endpoints[vm]
	return ok && e.available()
}
