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

// silentOrigin drops what it is asked until a time, and answers at once afterwards.
type silentOrigin struct {
	until time.Time
	asked int
}

func (o *silentOrigin) Manifest(ctx context.Context, model string, version int) (*weights.Manifest, int, error) {
	o.asked++
	if time.Now().Before(o.until) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return &weights.Manifest{Model: model, Version: "2", ChunkSize: 1, Size: 1, Hash: weights.SHA256, Chunks: make([]weights.Digest, 1)}, version, nil
}

// Guards against VMs that wait for the manifest long after the origin was silent: a call that
// the origin had dropped was given up after 6 s.
func TestManifestIsReadSoonAfterASilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silence = 7 * time.Second
		v := newView(&platform.Settings{IP: "10.0.0.1", Zone: "a", Service: "llm"}, zap.NewNop())
		config := `{"version":1,"services":[{"name":"llm","engine":{"layers":16,"chunks":96,"chunk_bytes":24576,"models":[{"name":"m"}]}},` +
			`{"name":"w","origin":"10.0.0.9:80","zone":"a","link_mbps":7.3}]}`
		v.changed(platform.KindConfig, []mirror.Change{{Object: mirror.Object{Name: "main", Revision: 1, Value: json.RawMessage(config)}}})
		origin := &silentOrigin{until: time.Now().Add(silence)}
		l := &library{view: v, origin: origin, log: zap.NewNop()}
		p := &Process{log: zap.NewNop(), openPause: newOpenPause()}
		started := time.Now()
		for {
			_, _, err := l.readManifest(t.Context(), "m", 2)
			if err == nil {
				break
			}
			p.finishOpen(openResult{err: err})
			<-p.openAgain
		}
		// 32 chunks and the manifest take 0.91 s of the origin's link, and the pause before the
		// next try at most 0.33 s.
		if late := time.Since(started) - silence; late > 1300*time.Millisecond {
			t.Errorf("manifest is read %v after the silence", late)
		}
		if origin.asked > 14 {
			t.Errorf("the origin is asked %d times", origin.asked)
		}
	})
}
