package lease

// Announcer tracks which endpoints know the fencing number of a new holder. An endpoint
// that does not know it still accepts commands of an earlier holder that was paused, so a
// new holder issues its first command only when all live endpoints know the number.
// Endpoints that become alive later receive the number before their first command.
type Announcer struct {
	fencing uint64
	known   map[string]bool
}

// NewAnnouncer returns an announcer that assumes that no endpoint knows any number.
func NewAnnouncer() *Announcer {
	return &Announcer{known: make(map[string]bool)}
}

// Pending returns the live endpoints that have not acknowledged the number yet. The
// endpoint passes the number to Fence.Check. A number that differs from that of the
// previous call discards all acknowledgements.
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

// MarkAcknowledged records that an endpoint has accepted a number. Acknowledgements of
// any number but the current one are ignored.
func (a *Announcer) MarkAcknowledged(vm string, fencing uint64) {
	if fencing == a.fencing {
		a.known[vm] = true
	}
}
