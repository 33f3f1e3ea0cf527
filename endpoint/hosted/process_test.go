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

// Guards against workers that stand idle after a power cut although their weights are
// staged, because the manifest is asked for again long after the VMs that read it have it.
func TestManifestIsAskedForAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Process{log: zap.NewNop(), view: newView(&platform.Settings{}, zap.NewNop()), openPause: newOpenPause()}
		fail := func() time.Duration {
			failed := time.Now()
			p.finishOpen(openResult{err: errors.New("not known yet")})
			<-p.openAgain
			return time.Since(failed)
		}
		if pause := fail(); pause > 80*time.Millisecond {
			t.Errorf("first pause %v", pause)
		}
		var waited time.Duration
		for range manifestTries {
			waited += fail()
		}
		// The origin must not be asked by every VM because its readers need a second.
		if waited < 1200*time.Millisecond {
			t.Errorf("the origin is asked after %v by VMs that are to ask others", waited)
		}
		p.finishOpen(openResult{version: &version{number: 1}})
		if pause := fail(); pause > 80*time.Millisecond {
			t.Errorf("first pause for the next version %v", pause)
		}
	})
}

// Guards against processes that start together and each fetch the whole version from the
// origin, because they know the version before they know each other. 68 of them drew 10
// copies over a link that then carried nothing else.
func TestWeightsAreNotFetchedBeforeTheWorkersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Process{log: zap.NewNop(), view: newView(&platform.Settings{IP: "10.0.0.1", Zone: "a"}, zap.NewNop()), started: time.Now()}
		p.view.changed(platform.KindVersions, []mirror.Change{{Object: mirror.Object{Name: "m", Value: json.RawMessage(`{"model":"m","version":2}`)}}})
		<-time.After(aloneAfter - time.Second)
		p.open(t.Context(), "m")
		if p.opening != nil {
			t.Error("a version is opened while the workers are not known")
		}
		if !p.mayFetch(time.Now().Add(time.Second)) {
			t.Error("a process that never hears of others does not fetch at all")
		}
		p.view.changed(platform.KindWorkers, nil)
		if !p.mayFetch(time.Now()) {
			t.Error("a version is not opened although the workers are known")
		}
	})
}

// hear tells a process which version of m was named.
func (p *Process) hear(version int) {
	value := json.RawMessage(fmt.Sprintf(`{"model":"m","version":%d}`, version))
	p.view.changed(platform.KindVersions, []mirror.Change{{Object: mirror.Object{Name: "m", Revision: int64(version), Value: value}}})
}

// Guards against workers that stand idle until a turn that is over: a process that started
// had opened the newest version before it read which version was named, and dated it by that
// moment, and a suspension did not move the date of a version that was being opened.
func TestTurnIsCountedFromTheNaming(t *testing.T) {
	const bound = 8 * time.Second
	start := func() *Process {
		p := &Process{log: zap.NewNop(), openPause: newOpenPause(), changes: rollout.DefaultSettings(bound)}
		p.view = newView(&platform.Settings{IP: "10.0.0.1", Zone: "a", Bounds: platform.Bounds{VersionApply: bound}}, zap.NewNop())
		return p
	}
	// load returns the version that a worker with version 1 is to load now.
	load := func(p *Process) int {
		p.date("m")
		for _, t := range p.targets {
			t.held, t.heldAt = true, time.Now().Add(-bound)
		}
		worker := rollout.Worker{Version: 1, Complete: true}
		return rollout.Decide(p.changes, worker, p.rolloutTargets(), "10.0.0.1", []string{"10.0.0.1"}, time.Now()).Load
	}
	t.Run("opened before the naming is read", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := start()
			p.finishOpen(openResult{version: &version{number: 2}})
			p.hear(2)
			if got := load(p); got != 2 {
				t.Errorf("the worker is to load %d, not 2", got)
			}
		})
	})
	t.Run("suspended while it is opened", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := start()
			p.view.changed(platform.KindVersions, nil)
			p.hear(2)
			wanted := p.view.named("m")
			p.view.suspended(bound)
			// A newer version has been named meanwhile.
			p.hear(3)
			p.finishOpen(openResult{version: &version{number: 2}, named: wanted})
			if got := load(p); got != 2 {
				t.Errorf("the worker is to load %d, not 2", got)
			}
		})
	})
	t.Run("suspended before it is opened", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := start()
			p.view.changed(platform.KindVersions, nil)
			p.hear(2)
			p.view.suspended(bound)
			p.finishOpen(openResult{version: &version{number: 2}, named: p.view.named("m")})
			if got := load(p); got != 2 {
				t.Errorf("the worker is to load %d, not 2", got)
			}
		})
	})
	t.Run("heard after the suspension it was named in", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := start()
			p.view.changed(platform.KindVersions, nil)
			p.view.suspended(bound)
			p.hear(2)
			p.finishOpen(openResult{version: &version{number: 2}, named: p.view.named("m")})
			if got := load(p); got != 0 {
				t.Errorf("the worker is to load %d before its turn", got)
			}
		})
	})
	t.Run("named just now", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := start()
			p.view.changed(platform.KindVersions, nil)
			p.hear(2)
			p.finishOpen(openResult{version: &version{number: 2}, named: p.view.named("m")})
			if got := load(p); got != 0 {
				t.Errorf("the worker is to load %d before its turn", got)
			}
		})
	})
}
