package transfer

import (
	"testing"
	"time"

	"laburnumgw/lib/swarm"
)

// Guards against figures of a distribution that leave out refused requests or count them as chunks.
func TestTimeline(t *testing.T) {
	var line timeline
	for i, result := range []swarm.Result{swarm.ResultRefused, swarm.ResultOK, swarm.ResultFailed, swarm.ResultOK, swarm.ResultOK, swarm.ResultOK} {
		line.add(time.Duration(i)*time.Second, 4, map[bool]string{true: "peer"}[i > 2], result)
	}
	line.cancel()
	want := timeline{first: time.Second, half: 3 * time.Second, fetched: 4, fromOrigin: 1, refused: 1, failed: 1, cancelled: 1}
	if got := line.fields(); len(got) != 7 || line.first != want.first || line.half != want.half || line.fetched != want.fetched ||
		line.fromOrigin != want.fromOrigin || line.refused != want.refused || line.failed != want.failed || line.cancelled != want.cancelled {
		t.Errorf("%v, want %v", got, want.fields())
	}
}
