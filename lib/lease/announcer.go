package lease

// Announcer tracks which endpoints know the fencing number of a new holder. An endpoint
// that does not know it still accepts commands of an earlier holder that was paused, so
// that a new holder issues its first command only when all live endpoints know it.
// Endpoints that come alive later are announced to before their first command.
type Announcer struct {
	fencing uint64
	known   map[string]bool
}

// NewAnnouncer returns an announcer for which no endpoint knows any number.
func NewAnnouncer() *Announcer {
	return &Announcer{known: make(map[string]bool)}
}

// Pending returns the live endpoints that are still to be sent the number. Fence.Check at
// the endpoint takes it.
func (a *Announcer) Pending(fencing uint64, live []string) []string {
	if fencing != a.fencing {
		a.fencing = fencing
		clear(a.known)
	}
	var pending []string
	for _, vm := range live {
		if !a.known[vm] {
			pending = append(pending, vm)
		}
	}
	return pending
}

// MarkAcknowledged notes that an endpoint has accepted a number.
func (a *Announcer) MarkAcknowledged(vm string, fencing uint64) {
	if fencing == a.fencing {
		a.known[vm] = true
	}
}
