package endpoint

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/time/rate"

	"laburnumgw/lib/transfer"
)

// Guards against transfers that keep their full share of the link while requests are queued.
func TestTransferRateIsReducedWhileRequestsAreQueued(t *testing.T) {
	Convey("The rate is the share of the link, and half of it while requests are queued", t, func() {
		So(transferRate(1000, 0.5, false), ShouldEqual, rate.Limit(62_500_000))
		So(transferRate(1000, 0.5, true), ShouldEqual, rate.Limit(31_250_000))
	})
	Convey("The rate is set for both directions", t, func() {
		l := transfer.NewLinks(1)
		l.Set(5)
		So(l.Download.Limit(), ShouldEqual, rate.Limit(5))
		So(l.Upload.Limit(), ShouldEqual, rate.Limit(5))
	})
}
