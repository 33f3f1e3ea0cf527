package controlsim

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/configsync"
	"laburnumgw/lib/membership"
)

func (n *Node) stepSync(now time.Duration) {
	out := n.Sync.Tick(now)
	for _, alarm := range out.Alarms {
		n.Alarms[alarm.Kind]++
	}
	if out.Activate != nil && n.sim.OnActivate != nil {
		n.sim.OnActivate(n, out.Activate.GetGeneration())
	}
	for _, pull := range out.Pulls {
		n.sendPull(pull)
	}
	for _, push := range out.Pushes {
		n.sendPush(push)
	}
	if out.StopWatch {
		n.sim.Platform.dropWatch(n)
	}
	if out.Read {
		n.sim.Platform.read(n)
	}
	if out.Watch != nil {
		n.sim.Platform.watch(n, out.Watch.After)
	}
	if out.WriteBack != nil {
		n.sim.Platform.writeBack(n, *out.WriteBack)
	}
}

func (n *Node) sendPull(pull configsync.Pull) {
	to := n.sim.byVM[pull.To.VM]
	var bundle *pb.ConfigBundle
	n.sim.send(&call{kind: "pull", from: n, to: to, size: proto.Size(pull.Request), timeout: pull.Timeout,
		handle: func() int {
			bundle = to.Sync.Get(pull.Request)
			return proto.Size(bundle)
		},
		done: func(ok bool) {
			if !ok {
				bundle = nil
			}
			n.Sync.PullResult(n.clock(), pull, bundle)
			n.step()
		}})
}

func (n *Node) sendPush(push configsync.Push) {
	to := n.sim.byVM[push.To.VM]
	var response *pb.PushConfigResponse
	n.sim.send(&call{kind: "push", from: n, to: to, size: proto.Size(push.Bundle), timeout: configsync.CallTimeout,
		handle: func() int {
			response = to.Sync.Push(to.clock(), membership.Peer(n.Self), push.Bundle)
			to.step()
			return proto.Size(response)
		},
		done: func(ok bool) {
			if !ok {
				response = nil
			}
			n.Sync.PushResult(n.clock(), push, response)
		}})
}

// OperatorPush pushes the platform's accepted bundle to an entry, as laburnumctl does.
func (s *Sim) OperatorPush(to *Node) {
	bundle := s.Platform.Bundle
	to.whenRunning(func() {
		to.Sync.Push(to.clock(), configsync.Peer{}, bundle)
		to.step()
	}, func() {})
}
