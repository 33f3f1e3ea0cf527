package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/rpc"
)

// Guards against weights that are given up and transferred to another endpoint because the process beside them sent no report
// for some seconds.
func TestSilentEndpointKeepsItsReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conns := rpc.NewPlainPool()
		defer conns.Close()
		p := &placer{control: &control{members: newMembers(membership.Self{VM: "entry"}, nil, conns, nil, zap.NewNop())}}
		time.Sleep(time.Minute)
		for silence, keeps := range map[time.Duration]bool{
			0: true, membership.DeadAfter: true, 3 * time.Second: true, replicaRetention - time.Millisecond: true, replicaRetention: false,
		} {
			view := membership.EndpointView{
				Peer: membership.Peer{VM: "a"}, State: membership.Dead, LastSeen: p.control.members.machine.Now() - silence,
				Report: &laburnumgwv1.ReportRequest{Models: []string{"rota"}},
			}
			if got := p.endpoints([]membership.EndpointView{view}); len(got) != 1 || got[0].Alive != keeps {
				t.Errorf("after %v without a report: %+v", silence, got)
			}
		}
	})
}
