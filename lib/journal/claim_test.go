package journal

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/platform"
)

// Guards against processes that, when they start, take shards from a live owner that is
// idle. The next booking would be refused although nothing failed.
func TestClaimLeavesLiveOwnersAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An idle owner keeps its shard while another process claims it", t, func() {
			store := platform.NewMemory()
			open := func(vm string) *Journal {
				return New(Options{Store: store, Self: Identity{VM: vm, Incarnation: vm}, Shards: func(string) int { return 1 }})
			}
			owner := open("vm-1")
			other := open("vm-2")
			owner.Claim("bookings")
			<-time.After(2 * vacantWait)
			So(owner.OwnedShards(), ShouldHaveLength, 1)
			other.Claim("bookings")
			<-time.After(3 * takeoverWait)
			So(owner.OwnedShards(), ShouldHaveLength, 1)
			So(other.OwnedShards(), ShouldBeEmpty)
			So(owner.Close(t.Context()), ShouldBeNil)
			So(other.Close(t.Context()), ShouldBeNil)
		})
	})
}
