package hosted

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/mirror"
	"laburnumgw/lib/weights"
	"laburnumgw/platform"
)

// unresponsiveOrigin does not respond to requests until a given time, and responds at once
// afterwards.
type unresponsiveOrigin struct {
	until    time.Time
	requests int
}

func (o *unresponsiveOrigin) Manifest(ctx context.Context, model string, version int) (*weights.Manifest, int, error) {
	o.requests++
	if time.Now().Before(o.until) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return &weights.Manifest{Model: model, Version: "2", ChunkSize: 1, Size: 1, Hash: weights.SHA256, Chunks: make([]weights.Digest, 1)}, version, nil
}

// Guards against VMs that get the manifest long after the origin responds again: a request
// that the origin had dropped timed out only after 6 s.
func TestManifestIsReadSoonAfterOriginOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 7 * time.Second
		v := newView(&platform.Settings{IP: "10.0.0.1", Zone: "a", Service: "llm"}, zap.NewNop())
		config := `{"version":1,"services":[{"name":"llm","engine":{"layers":16,"chunks":96,"chunk_bytes":24576,"models":[{"name":"m"}]}},` +
			`{"name":"w","origin":"10.0.0.9:80","zone":"a","link_mbps":7.3}]}`
		v.applyChanges(platform.KindConfig, []mirror.Change{{Object: mirror.Object{Name: "main", Revision: 1, Value: json.RawMessage(config)}}})
		origin := &unresponsiveOrigin{until: time.Now().Add(outage)}
		l := &library{view: v, origin: origin, log: zap.NewNop()}
		p := &Process{log: zap.NewNop(), openBackoff: newOpenBackoff()}
		started := time.Now()
		for {
			_, _, err := l.readManifest(t.Context(), "m", 2)
			if err == nil {
				break
			}
			p.finishOpen(openResult{err: err})
			<-p.openRetry
		}
		// 32 chunks and the manifest take 0.91 s on the origin's link, and the delay before the
		// next attempt at most 0.33 s.
		if late := time.Since(started) - outage; late > 1300*time.Millisecond {
			t.Errorf("manifest is read %v after the end of the outage", late)
		}
		if origin.requests > 14 {
			t.Errorf("the origin got %d manifest requests, want at most 14", origin.requests)
		}
	})
}
