package hosted

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/mirror"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/swarm"
	"laburnumgw/lib/transfer"
	"laburnumgw/platform"
)

// Guards against VMs that read a manifest from the origin although others of their region are about to: failed attempts at an
// earlier version counted for it.
func TestFailedManifestAttemptsCountForOneVersion(t *testing.T) {
	for own := 1; ; own++ {
		// No process listens at the addresses of the VMs.
		v := newView(&platform.Settings{IP: fmt.Sprint("127.77.0.", own), Zone: "a", Service: "llm", FirstPort: 9, Zones: map[string]string{"a": "r"}}, zap.NewNop())
		for n := range 5 {
			worker := fmt.Sprintf(`{"service":"llm","address":"127.77.1.%d:80","zone":"a","slots":1,"state":"ready","born":1}`, n+1)
			v.applyChanges(platform.KindWorkers, []mirror.Change{{Object: mirror.Object{Name: fmt.Sprint("w", n), Revision: int64(n + 1), Value: []byte(worker)}}})
		}
		origin := &unresponsiveOrigin{until: time.Time{}}
		conns := rpc.NewPlainPool()
		defer conns.Close()
		l := &library{view: v, origin: origin, log: zap.NewNop(), transfer: &transfer.Transfer{
			Self: swarm.Member{Region: "r"}, Address: v.assignment(v.settings.IP, "a").GetAddress(), Conns: conns,
		}}
		isReader := func(version int) bool {
			ranked := l.rankedVMs("m", version)
			return len(ranked) != 6 || ranked[0] == l.transfer.Address || ranked[1] == l.transfer.Address
		}
		if isReader(2) || isReader(3) {
			continue
		}
		for _, version := range []int{2, 3} {
			for range maxPeerOnlyAttempts - 1 {
				if _, _, err := l.manifest(t.Context(), "m", version); err == nil {
					t.Fatalf("manifest of version %d", version)
				}
			}
			if origin.requests > 0 {
				t.Fatalf("version %d: %d requests to the origin", version, origin.requests)
			}
		}
		if _, _, err := l.manifest(t.Context(), "m", 3); err != nil || origin.requests == 0 {
			t.Errorf("%v after all attempts, %d requests to the origin", err, origin.requests)
		}
		return
	}
}
