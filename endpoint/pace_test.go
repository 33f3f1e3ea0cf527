package endpoint

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/time/rate"

	"laburnumgw/lib/transfer"
)

// Guards against a distribution that keeps its whole share while requests wait.
func TestDistributionGivesWay(t *testing.T) {
	Convey("The rate is the share of the link, and half of it while requests wait", t, func() {
		So(transferRate(1000, 0.5, false), ShouldEqual, rate.Limit(62_500_000))
		So(transferRate(1000, 0.5, true), ShouldEqual, rate.Limit(31_250_000))
	})
	Convey("Both directions follow", t, func() {
		l := transfer.NewLinks(1)
		l.Set(5)
		So(l.Download.Limit(), ShouldEqual, rate.Limit(5))
		So(l.Upload.Limit(), ShouldEqual, rate.Limit(5))
	})
}
