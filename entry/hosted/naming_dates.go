package hosted

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/mirror/rpcmirror"
	"laburnumgw/platform"
)

const (
	// comparedEntries is the number of other entries with which the date of a new version is compared.
	comparedEntries = 2
	// compareAfter is how long after the naming that is, when the others know the version, and
	// compareSpread the time over which the entries of a deployment spread their questions.
	compareAfter  = 300 * time.Millisecond
	compareSpread = 700 * time.Millisecond
)

// applyChanges passes changes to the view, and has the dates of new versions compared.
func (p *Process) applyChanges(kind string, changes []mirror.Change) {
	p.view.applyChanges(kind, changes)
	if kind != platform.KindVersions || !slices.ContainsFunc(changes, func(c mirror.Change) bool { return !c.Deleted && !c.Redated }) {
		return
	}
	select {
	case p.named <- struct{}{}:
	default:
	}
}

// compareDates asks some other entries, after versions were named, how long they have known them. An entry that
// was not running when a version was first named may date it by when it was written again.
func (p *Process) compareDates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.named:
		}
		if !dispatch.Sleep(ctx, compareAfter+time.Duration(p.view.random()*float64(compareSpread))) {
			return
		}
		others := p.view.otherAddresses() // in random order
		for _, address := range others[:min(comparedEntries, len(others))] {
			_, _ = p.learnAges(ctx, address) // the next one may respond
		}
	}
}

// learnAges takes over how long another entry has known the versions. It reports whether that entry knew the age of
// each version that is in force here.
func (p *Process) learnAges(ctx context.Context, address string) (bool, error) {
	ages, err := rpcmirror.Ages(ctx, p.conns, address, platform.KindVersions)
	if err != nil {
		p.log.Debug("ages of versions not received from entry", zap.String("entry", address), zap.Error(err))
		return false, err
	}
	taken, knewAll := p.view.applyVersionAges(ages)
	for _, known := range taken {
		p.mirror.Redate(platform.KindVersions, mirror.Object{Name: known.Name, Revision: known.Revision, LearnedAt: time.Now().Add(-known.Known())})
	}
	return knewAll, nil
}
