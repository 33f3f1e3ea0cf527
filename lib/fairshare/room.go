package fairshare

import (
	"math"
	"time"
)

const (
	// shortLoss is the part of what has passed that finds no room from which on room is short, after shortUpdates in a
	// row: a few refusals are those of single workers.
	shortLoss     = 0.05
	shortUpdates  = 3
	minTurnedAway = 3.0 // requests a second
	// cleanLoss is the part below which more may pass.
	cleanLoss = 0.03
	// probeGrowth is the growth of the room per update while little is turned away, for probeUpdates. It doubles after
	// that up to maxGrowth, since what an entry lets pass too much shows at the others only later.
	probeGrowth  = 0.0025
	probeUpdates = 10
	maxGrowth    = 0.04
	// lostPart is the part of the best rate below which much of the room was lost for a while. It may return at any moment,
	// so that the room grows by returnGrowth then, up to restoredPart. The best rate counts less by bestDecay per update.
	lostPart     = 0.7
	returnGrowth = 1.0
	restoredPart = 0.9
	bestDecay    = 0.005
	// maxLost bounds the best rate as a multiple of what is admitted now, and bestLost is its decay each time that room which
	// was found by it is lost again: it was not the workers' or is not there any more.
	maxLost  = 20.0
	bestLost = 0.25
	// reserve is the part of what was admitted that is kept free after more has passed than there was room for.
	reserve = 0.02
	// graceUpdates is the number of updates after the end of a shortage in which what was turned away before still counts.
	graceUpdates = 6
	// cutUpdates is the least number of updates between two reductions for the same loss: the effect of one shows in the
	// rates of the last second, which others tell later still.
	cutUpdates = 8
	// enough is the multiple of what is offered from which on room is not short any more.
	enough = 1.2
)

const (
	// settleTime is how long the room is not known after the places of the workers have changed by more than changedPart,
	// as at a change of weights. What was admitted before says little about it.
	settleTime  = 2 * time.Second
	changedPart = 0.2
)

// places follows the number of places of the workers.
type places struct {
	count     int
	changedAt time.Duration
	checkedAt time.Duration
}

// isSettled takes in the current number and reports whether it has been about the same for settleTime.
func (p *places) isSettled(count int, at time.Duration) bool {
	switch difference := math.Abs(float64(count - p.count)); {
	case p.count > 0 && difference > changedPart*float64(p.count):
		p.count, p.changedAt, p.checkedAt = count, at, at
	case p.count == 0 || at-p.checkedAt >= settleTime:
		p.count, p.checkedAt = count, at
	}
	return p.changedAt == 0 || at-p.changedAt >= settleTime
}

// room estimates for how much work a second there is room, from what passes and what of it is turned away.
type room struct {
	short bool
	// rate is the room while it is short, and best the highest rate that was admitted lately.
	rate, best float64
	// grew is set after the room has grown because of the best rate.
	grew bool
	// suspected counts the updates in a row in which much was turned away, and clean those in which little was.
	suspected, clean int
	// sinceCut counts the updates since the last reduction.
	sinceCut int
}

// end records that there is room for all.
func (r *room) end() { *r = room{best: r.best, grew: r.grew, suspected: -graceUpdates} }

// update takes in the sums over all entries and the mean work of a request.
func (r *room) update(total Demand, work float64) {
	r.sinceCut++
	r.best = max(r.best*(1-bestDecay), total.Admitted)
	if total.Admitted > 0 {
		r.best = min(r.best, maxLost*total.Admitted)
	}
	loss := 0.0
	if passed := total.Admitted + total.TurnedAway; passed > 0 {
		loss = total.TurnedAway / passed
	}
	switch {
	case !r.short && (loss <= shortLoss || total.TurnedAway < minTurnedAway*work):
		r.suspected = min(r.suspected+1, 0)
	case !r.short:
		r.suspected++
		if r.suspected >= shortUpdates {
			r.short = true
			r.cut(total.Admitted)
		}
	case loss > cleanLoss:
		r.clean = 0
		if r.sinceCut > cutUpdates || loss > shortLoss {
			r.cut((1 - reserve) * total.Admitted)
		}
	default:
		r.clean++
		// Entries that have begun to tell add what they admit.
		r.rate = r.grown(max(r.rate, total.Admitted))
		if r.rate >= enough*total.Offered {
			r.end()
		}
	}
	if r.short {
		// As few as are no shortage pass in any case: nothing else tells that there is room again.
		r.rate = max(r.rate, minTurnedAway*work)
	}
}

func (r *room) cut(rate float64) {
	r.rate, r.clean, r.sinceCut = rate, 0, 0
	if r.grew {
		r.best, r.grew = r.best*(1-bestLost), false
	}
}

// grown returns a rate after an update in which little was turned away.
func (r *room) grown(rate float64) float64 {
	switch {
	case rate < lostPart*r.best:
		r.grew = true
		return min(rate*(1+returnGrowth), restoredPart*r.best)
	case r.clean <= probeUpdates:
		return rate * (1 + probeGrowth)
	}
	return rate * (1 + min(maxGrowth, probeGrowth*float64(int(1)<<min(r.clean-probeUpdates, 16))))
}
