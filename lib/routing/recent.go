package routing

import (
	"errors"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

// RecentDecisions keeps the last decisions and refusals for the explain command. It is not
// safe for concurrent use.
type RecentDecisions struct {
	slots  []recentSlot
	next   int
	serial uint64
	latest map[string]int
}

// recentSlot is one decision and the slot of the previous one of the same request.
type recentSlot struct {
	// serial counts the decisions from 1; zero marks an unused slot.
	serial   uint64
	decision Decision
	outcome  string
	previous int
}

const noSlot = -1

// NewRecentDecisions returns a ring that keeps the given number of decisions, at least one.
func NewRecentDecisions(capacity int) *RecentDecisions {
	capacity = max(capacity, 1)
	return &RecentDecisions{
		slots:  make([]recentSlot, capacity),
		latest: make(map[string]int, capacity),
	}
}

// Add records a decision and drops the oldest one when the ring is full.
func (r *RecentDecisions) Add(d Decision) { r.add(d, "") }

// AddRefusal records that Pick found no endpoint, with the candidates if the request
// asked for details.
func (r *RecentDecisions) AddRefusal(requestID string, attempt uint32, err error) {
	d := Decision{RequestID: requestID, Attempt: attempt}
	var cause *NoEndpointError
	if errors.As(err, &cause) {
		d.Candidates = cause.Candidates
	}
	r.add(d, err.Error())
}

func (r *RecentDecisions) add(d Decision, outcome string) {
	slot := &r.slots[r.next]
	if slot.serial > 0 && r.latest[slot.decision.RequestID] == r.next {
		delete(r.latest, slot.decision.RequestID)
	}
	previous, known := r.latest[d.RequestID]
	if !known {
		previous = noSlot
	}
	r.serial++
	*slot = recentSlot{serial: r.serial, decision: d, outcome: outcome, previous: previous}
	r.latest[d.RequestID] = r.next
	r.next = (r.next + 1) % len(r.slots)
}

// SetOutcome records the outcome of an attempt.
func (r *RecentDecisions) SetOutcome(requestID string, attempt uint32, outcome string) {
	r.each(requestID, func(slot *recentSlot) {
		if slot.decision.Attempt == attempt {
			slot.outcome = outcome
		}
	})
}

// Explain returns the recorded decisions of a request, the newest first.
func (r *RecentDecisions) Explain(requestID string) []*laburnumgwv1.Decision {
	var list []*laburnumgwv1.Decision
	r.each(requestID, func(slot *recentSlot) { list = append(list, slot.proto()) })
	return list
}

// each visits the slots of a request. A slot that was overwritten since ends the
// chain, because all earlier ones were overwritten too.
func (r *RecentDecisions) each(requestID string, visit func(*recentSlot)) {
	i, known := r.latest[requestID]
	newest := r.serial + 1
	for known && i != noSlot {
		slot := &r.slots[i]
		if slot.decision.RequestID != requestID || slot.serial >= newest {
			return
		}
		visit(slot)
		newest = slot.serial
		i = slot.previous
	}
}

func (s *recentSlot) proto() *laburnumgwv1.Decision {
	d := &laburnumgwv1.Decision{
		RequestId: s.decision.RequestID,
		Attempt:   s.decision.Attempt,
		Chosen:    s.decision.VM,
		Reason:    string(s.decision.Reason),
		Outcome:   s.outcome,
	}
	for _, c := range s.decision.Candidates {
		d.Candidates = append(d.Candidates, &laburnumgwv1.Candidate{
			Vm: c.VM, Zone: c.Zone, Score: c.Score, FilteredBy: string(c.FilteredBy),
		})
	}
	return d
}
