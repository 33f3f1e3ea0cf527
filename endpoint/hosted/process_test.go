package hosted

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/mirror"
	"laburnumgw/lib/rollout"
	"laburnumgw/platform"
)

// Guards against workers that stay idle after a power cut although their weights are staged,
// because their VMs request the manifest again long after the manifest readers have it.
func TestManifestIsRequestedAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Process{log: zap.NewNop(), view: newView(&platform.Settings{}, zap.NewNop()), openBackoff: newOpenBackoff()}
		fail := func() time.Duration {
			failed := time.Now()
			p.finishOpen(openResult{err: errors.New("not known yet")})
			<-p.openRetry
			return time.Since(failed)
		}
		if delay := fail(); delay > 80*time.Millisecond {
			t.Errorf("first retry delay %v", delay)
		}
		var waited time.Duration
		for range maxPeerOnlyAttempts {
			waited += fail()
		}
		// VMs that are not manifest readers must not turn to the origin when the readers need a
		// second.
		if waited < 1200*time.Millisecond {
			t.Errorf("VMs that are not manifest readers turn to the origin after %v", waited)
		}
		p.finishOpen(openResult{version: &version{number: 1}})
		if delay := fail(); delay > 80*time.Millisecond {
			t.Errorf("first retry delay for the next version %v", delay)
		}
	})
}

// Guards against processes that start together and each fetch the complete version from the
// origin, because they learn of the version before they learn of each other. 68 of them
// fetched 10 copies, which saturated the origin's link.
func TestWeightsAreNotFetchedBeforeTheWorkersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Process{log: zap.NewNop(), view: newView(&platform.Settings{IP: "10.0.0.1", Zone: "a"}, zap.NewNop()), pollLoopStarted: time.Now()}
		p.view.applyChanges(platform.KindVersions, []mirror.Change{{Object: mirror.Object{Name: "m", Value: json.RawMessage(`{"model":"m","version":2}`)}}})
		<-time.After(workerListWait - time.Second)
		p.openNewest(t.Context(), "m")
		if p.pendingOpen != nil {
			t.Error("a version is opened although the list of workers is not known")
		}
		if !p.mayFetch(time.Now().Add(time.Second)) {
			t.Error("a process that never gets the list of workers does not fetch after workerListWait")
		}
		p.view.applyChanges(platform.KindWorkers, nil)
		if !p.mayFetch(time.Now()) {
			t.Error("a version may not be opened although the list of workers is known")
		}
	})
}

// announceVersion delivers to a process that a version of model m was named.
func (p *Process) announceVersion(version int) {
	value := json.RawMessage(fmt.Sprintf(`{"model":"m","version":%d}`, version))
	p.view.applyChanges(platform.KindVersions, []mirror.Change{{Object: mirror.Object{Name: "m", Revision: int64(version), Value: value}}})
}

// Guards against workers that stay idle although their switchover time has passed. A starting
// process opened the newest version before it read which version was named, and took the
// moment of opening for the naming time. A suspension did not move the naming time of a
// version that was being opened.
func TestSwitchoverIsCountedFromTheNaming(t *testing.T) {
	const bound = 8 * time.Second
	start := func() *Process {
		p := &Process{log: zap.NewNop(), openBackoff: newOpenBackoff(), rolloutSettings: rollout.DefaultSettings(bound)}
		p.view = newView(&platform.Settings{IP: "10.0.0.1", Zone: "a", Bounds: platform.Bounds{VersionApply: bound}}, zap.NewNop())
		return p
	}
	// versionToLoad returns the version that a worker with version 1 is to load now.
	versionToLoad := func(p *Process) int {
		p.updateNamedAt("m")
		for _, t := range p.targets {
			t.complete, t.completeAt = true, time.Now().Add(-bound)
		}
		// The other worker of the zone has the first turn.
		worker, zone := rollout.Worker{Version: 1, Complete: true, LoadTime: time.Second}, []rollout.Member{{VM: "10.0.0.1"}, {VM: "10.0.0.3"}}
		return rollout.Decide(p.rolloutSettings, worker, p.rolloutTargets(), "10.0.0.1", zone, time.Now()).Load
	}
	t.Run("opened before the naming is read", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := start()
			p.finishOpen(openResult{version: &version{number: 2}})
			p.announceVersion(2)
			if got := versionToLoad(p); got != 2 {
				t.Errorf("the worker is to load %d, not 2", got)
			}
		})
	})
	t.Run("suspended while it is opened", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := start()
			p.view.applyChanges(platform.KindVersions, nil)
			p.announceVersion(2)
			wanted := p.view.newestNamed("m")
			p.view.addSuspension(bound)
			// A newer version is named in the meantime.
			p.announceVersion(3)
			p.finishOpen(openResult{version: &version{number: 2}, requested: wanted})
			if got := versionToLoad(p); got != 2 {
				t.Errorf("the worker is to load %d, not 2", got)
			}
		})
	})
	t.Run("suspended before it is opened", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := start()
			p.view.applyChanges(platform.KindVersions, nil)
			p.announceVersion(2)
			p.view.addSuspension(bound)
			p.finishOpen(openResult{version: &version{number: 2}, requested: p.view.newestNamed("m")})
			if got := versionToLoad(p); got != 2 {
				t.Errorf("the worker is to load %d, not 2", got)
			}
		})
	})
	t.Run("received after the suspension in which it was named", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := start()
			p.view.applyChanges(platform.KindVersions, nil)
			p.view.addSuspension(bound)
			p.announceVersion(2)
			p.finishOpen(openResult{version: &version{number: 2}, requested: p.view.newestNamed("m")})
			if got := versionToLoad(p); got != 0 {
				t.Errorf("the worker is to load %d before its switchover time", got)
			}
		})
	})
	t.Run("named just now", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := start()
			p.view.applyChanges(platform.KindVersions, nil)
			p.announceVersion(2)
			p.finishOpen(openResult{version: &version{number: 2}, requested: p.view.newestNamed("m")})
			if got := versionToLoad(p); got != 0 {
				t.Errorf("the worker is to load %d before its switchover time", got)
			}
		})
	})
}
