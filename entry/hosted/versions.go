package hosted

import (
	"slices"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/mirror/rpcmirror"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/startwait"
	"laburnumgw/platform"
)

// namedVersion is a version of the weights of a model that was named in the store.
type namedVersion struct {
	number int
	// namedAt is when the version was named, as far as this process knows. The bound of the
	// version counts from then: the time after the naming (Bounds.VersionApply) from which on no
	// request may start on older weights.
	namedAt time.Time
	// object and revision identify the object that named it.
	object   string
	revision int64
	// assumed is set while the age of the version is not known; it is then treated as named long
	// ago.
	assumed bool
}

func (v *view) versionChanged(change mirror.Change) {
	if change.Deleted {
		return
	}
	model, version, err := platform.DecodeVersion(change.Object.Name, change.Object.Value)
	if err != nil {
		v.metrics.objectsIgnored(platform.KindVersions).Inc()
		v.log.Warn("version ignored", zap.Error(err))
		return
	}
	if change.Redated {
		for i := range v.versions[model] {
			if named := &v.versions[model][i]; named.number == version && named.object == change.Object.Name {
				named.revision = change.Object.Revision
			}
		}
		if !change.Object.LearnedAt.IsZero() {
			v.dateVersion(change.Object.Name, change.Object.Revision, change.Object.LearnedAt, 0)
		}
		return
	}
	list := v.versions[model]
	if len(list) > 0 && list[len(list)-1].number >= version {
		return
	}
	namedAt := change.Object.LearnedAt
	assumed := namedAt.IsZero()
	if assumed {
		namedAt = time.Now().Add(-v.settings.Bounds.VersionApply)
	}
	if last := len(list) - 1; version > 1 && (last < 0 || list[last].number < version-1) {
		// The object names the newest version only; the versions between were named before it.
		skipped := time.Now().Add(-v.settings.Bounds.VersionApply)
		if !change.LastCompleteAt.IsZero() && change.LastCompleteAt.After(skipped) {
			skipped = change.LastCompleteAt
		}
		if namedAt.Before(skipped) {
			skipped = namedAt
		}
		list = append(list, namedVersion{number: version - 1, namedAt: skipped})
		defer v.scheduleRetirement(model, version-1, skipped)
	}
	list = append(list, namedVersion{version, namedAt, change.Object.Name, change.Object.Revision, assumed})
	datePredecessors(list)
	v.versions[model] = list
	v.log.Info("version named", zap.String("model", model), zap.Int("version", version), zap.String("revision", mirror.FormatRevision(change.Object.Revision)),
		zap.Duration("known", time.Since(namedAt)), zap.Bool("assumed", assumed), zap.String("origin", string(change.Origin)), sinceKnown("last_complete", change.LastCompleteAt))
	v.scheduleRetirement(model, version, namedAt)
}

// datePredecessors dates no version later than the last one, which was named after them.
func datePredecessors(list []namedVersion) {
	last := list[len(list)-1]
	for i := range list {
		if !last.assumed && list[i].namedAt.After(last.namedAt) {
			list[i].namedAt = last.namedAt
		}
	}
}

// scheduleRetirement updates the routing now, and again versionMargin before the bound of a
// version, from when on older weights get no more requests. The caller holds the lock.
func (v *view) scheduleRetirement(model string, version int, namedAt time.Time) {
	until := time.Until(startwait.SendingEnds(namedAt, v.settings.Bounds.VersionApply))
	v.updateAllRouting()
	if until <= 0 {
		return
	}
	time.AfterFunc(until, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.log.Info("weights older than the version get no more requests", zap.String("model", model), zap.Int("version", version))
		v.updateAllRouting()
	})
}

// applyVersionAges takes the naming times of versions from what another entry knows. It
// returns the ages that it has taken over, and whether that entry knew the age of each version that is in force here.
func (v *view) applyVersionAges(ages []rpcmirror.ObjectAge) (taken []rpcmirror.ObjectAge, knewAll bool) {
	revisions := make(map[string]int64, len(ages))
	for _, known := range ages {
		if v.isOtherVersion(known) {
			continue
		}
		if v.applyVersionAge(known) {
			taken = append(taken, known)
		}
		revisions[known.Name] = known.Revision
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, list := range v.versions {
		newest := list[len(list)-1]
		if revisions[newest.object] < newest.revision {
			return taken, false
		}
	}
	return taken, true
}

// isOtherVersion reports whether another entry has another version than this one under the same revision. An entry
// keeps a version that the store lost under the revision of the one that the store has.
func (v *view) isOtherVersion(known rpcmirror.ObjectAge) bool {
	model, version, err := platform.DecodeVersion(known.Name, known.Value)
	if err != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.ContainsFunc(v.versions[model], func(named namedVersion) bool {
		return named.object == known.Name && named.revision == known.Revision && named.number != version
	})
}

// applyVersionAge takes the naming time of a version from what another entry knows, and reports whether it is the
// earlier one. The longest age counts, since an entry may have learned of the version late.
func (v *view) applyVersionAge(known rpcmirror.ObjectAge) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dateVersion(known.Name, known.Revision, time.Now().Add(-known.Known()), known.Transit+mirror.MinRedate)
}

// dateVersion dates a version by what another entry knows, where that is earlier by more than the time for which
// it may have been in transit: a slow response is no older date. The caller holds the lock.
func (v *view) dateVersion(object string, revision int64, namedAt time.Time, transit time.Duration) bool {
	taken := false
	for model, list := range v.versions {
		for i := range list {
			named := &list[i]
			if named.object != object || named.revision != revision || (!named.assumed && !namedAt.Add(transit).Before(named.namedAt)) {
				continue
			}
			v.metrics.movedNamings.Inc()
			v.log.Info("naming time of the version taken from another entry", zap.String("model", model), zap.Int("version", named.number), zap.Duration("known", time.Since(namedAt)),
				zap.Duration("earlier_by", named.namedAt.Sub(namedAt)), zap.Bool("was_assumed", named.assumed))
			named.assumed = false
			named.namedAt = namedAt
			datePredecessors(list[:i+1])
			v.scheduleRetirement(model, named.number, namedAt)
			taken = true
		}
	}
	return taken
}

// sinceKnown returns a log field with the time since another one, or none if that is not known.
func sinceKnown(key string, at time.Time) zap.Field {
	if at.IsZero() {
		return zap.Skip()
	}
	return zap.Duration(key, time.Since(at))
}

// startBound returns until when requests may start on a version of a model. It reports false while
// no newer version was named. The caller holds the lock.
func (v *view) startBound(model string, version int) (time.Time, bool) {
	for _, named := range v.versions[model] {
		if named.number > version {
			return startwait.StartBound(named.namedAt, v.settings.Bounds.VersionApply), true
		}
	}
	return time.Time{}, false
}

// requiredVersion returns the oldest version of a model that may get requests.
func (v *view) requiredVersion(model string, now time.Time) int {
	required := 0
	for _, named := range v.versions[model] {
		if !now.Before(startwait.SendingEnds(named.namedAt, v.settings.Bounds.VersionApply)) {
			required = named.number
		}
	}
	return required
}

// recordWeights counts and logs an attempt that was given up at the bound of its weights, and may
// still start at its worker, or that older weights than expected have served.
func (a *attempt) recordWeights(ended retry.Attempt, lasted time.Duration) {
	if a.engine == nil || !ended.Sent {
		return
	}
	fields := []zap.Field{zap.String("request", a.in.ID), zap.String("vm", a.decision.VM), zap.String("weights", a.decision.VersionDigest),
		zap.Duration("report_age", a.reportAge)}
	if a.weightsLeft > 0 && a.firstEventWait > 0 {
		a.metrics.outgoingStartWait.Update(a.firstEventWait.Seconds())
	}
	switch {
	case !a.endsAtBound || !a.timeLimitPassed():
	case ended.Outcome == laburnumgwv1.Outcome_OUTCOME_NOT_RUN:
		a.metrics.refusedAtBound.Inc()
		a.log.Info("worker refused a request at the bound of its weights", append(fields, zap.Duration("waited", lasted))...)
	case a.began && ended.Outcome != laburnumgwv1.Outcome_OUTCOME_COMPLETE:
		a.metrics.brokenOffAtBound.Inc()
		a.log.Warn("request broken off at the bound of its weights", append(fields, zap.Duration("lasted", lasted))...)
	}
	if a.weightsLeft > 0 && !a.began && ended.Outcome != laburnumgwv1.Outcome_OUTCOME_NOT_RUN && lasted >= a.weightsLeft {
		a.metrics.abandonedStarts.Inc()
		a.log.Warn("request given up at the bound of its weights", append(fields, zap.Duration("waited", lasted))...)
	}
	expected := a.expectedVersion()
	if a.servedVersion > 0 && a.servedVersion < expected {
		a.metrics.olderWeights.Inc()
		a.log.Warn("worker responded on older weights than expected", append(fields, zap.Int("served", a.servedVersion))...)
	}
}
