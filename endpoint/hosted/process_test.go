package hosted

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/mirror"
	"laburnumgw/platform"
)

// Guards against workers that stand idle after a power cut although their weights are
// staged, because the manifest is asked for again long after the VMs that read it have it.
func TestManifestIsAskedForAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Process{log: zap.NewNop(), openPause: newOpenPause()}
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
