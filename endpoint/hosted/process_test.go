package hosted

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// Guards against workers that stand idle after a power cut although their weights are
// staged: the manifest was asked for again only 300 ms after the first try, which came
// before the VMs that read the origin had it (trouble-1 of shelfwatch-rota).
func TestManifestIsAskedForAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Process{log: zap.NewNop(), openPause: newOpenPause()}
		fail := func() time.Duration {
			p.finishOpen(openResult{err: errors.New("not known yet")})
			return time.Until(p.openAfter)
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
