package hosted

import (
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/mirror"
	"laburnumgw/lib/mirror/rpcmirror"
	"laburnumgw/platform"
)

// namedVersion is a version of weights with the time at which this process learnt it.
type namedVersion struct {
	version int
	since   time.Time
	// object and revision identify the object that named it.
	object   string
	revision int64
	// assumed is set while its age is not known and it counts as named long ago.
	assumed bool
}

func (v *view) versionChanged(change mirror.Change) {
	if change.Deleted {
		return
	}
	model, version, err := platform.DecodeVersion(change.Object.Name, change.Object.Value)
	if err != nil {
		v.log.Warn("version ignored", zap.Error(err))
		return
	}
	list := v.versions[model]
	if len(list) > 0 && list[len(list)-1].version >= version {
		return
	}
	since := change.Object.LearnedAt
	assumed := since.IsZero() && !v.listed[platform.KindVersions]
	switch {
	case assumed:
		// How long ago a version was named is not known when it is read at the start.
		since = time.Now().Add(-v.settings.Bounds.VersionApply)
	case since.IsZero():
		since = time.Now()
	}
	if last := len(list) - 1; version > 1 && (last < 0 || list[last].version < version-1) {
		// The object tells the newest version only, and those between were named before it.
		skipped := time.Now().Add(-v.settings.Bounds.VersionApply)
		if !change.LastCompleteAt.IsZero() && change.LastCompleteAt.After(skipped) {
			skipped = change.LastCompleteAt
		}
		if since.Before(skipped) {
			skipped = since
		}
		list = append(list, namedVersion{version: version - 1, since: skipped})
		defer v.retireOlder(model, version-1, skipped)
	}
	v.versions[model] = append(list, namedVersion{version, since, change.Object.Name, change.Object.Revision, assumed})
	v.log.Info("version named", zap.String("model", model), zap.Int("version", version), zap.Int64("revision", change.Object.Revision),
		zap.Duration("known", time.Since(since)), zap.Bool("assumed", assumed))
	v.retireOlder(model, version, since)
}

// retireOlder takes older weights out of use at the bound of a version. The caller holds
// the lock.
func (v *view) retireOlder(model string, version int, since time.Time) {
	until := time.Until(since.Add(v.settings.Bounds.VersionApply - versionMargin))
	v.feedAll()
	if until <= 0 {
		return
	}
	time.AfterFunc(until, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.log.Info("older weights get no more requests", zap.String("model", model), zap.Int("version", version))
		v.feedAll()
	})
}

// versionsKnown dates versions by what another entry knows. It reports whether that entry
// knew the age of each version that is in force here.
func (v *view) versionsKnown(ages []rpcmirror.ObjectAge) bool {
	revisions := make(map[string]int64, len(ages))
	for _, known := range ages {
		v.versionKnown(known.Name, known.Revision, known.Age)
		revisions[known.Name] = known.Revision
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, list := range v.versions {
		newest := list[len(list)-1]
		if revisions[newest.object] < newest.revision {
			return false
		}
	}
	return true
}

// versionKnown dates a version that was read at the start by what another entry knows.
// The longest time counts, since an entry may have learnt of it late.
func (v *view) versionKnown(object string, revision int64, known time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for model, list := range v.versions {
		for i := range list {
			named := &list[i]
			since := time.Now().Add(-known)
			if named.object != object || named.revision != revision || (!named.assumed && !since.Before(named.since)) {
				continue
			}
			named.assumed = false
			named.since = since
			v.log.Info("version dated by another entry", zap.String("model", model), zap.Int("version", named.version), zap.Duration("known", known))
			v.retireOlder(model, named.version, since)
		}
	}
}

// timeFor returns how long requests may still begin on a version of a model, when a newer
// one was named.
func (v *view) timeFor(model string, version int) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, named := range v.versions[model] {
		if named.version > version {
			return time.Until(named.since.Add(v.settings.Bounds.VersionApply - beginMargin)), true
		}
	}
	return 0, false
}

// required returns the oldest version of a model that may get requests.
func (v *view) required(model string, now time.Time) int {
	required := 0
	for _, named := range v.versions[model] {
		if now.Sub(named.since) >= v.settings.Bounds.VersionApply-versionMargin {
			required = named.version
		}
	}
	return required
}
