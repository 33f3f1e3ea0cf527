package endpoint

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
)

// Guards against a booking that is reported as failed although it never ran, because the
// endpoint process has no configuration yet.
func TestProcessWithoutConfigurationRunsNothing(t *testing.T) {
	Convey("A request is refused as not run", t, func() {
		s := &server{service: "bookings", ready: func() bool { return false }}
		r := s.run(context.Background(), &laburnumgwv1.ServeRequest{Service: "bookings", DeadlineMs: 1000}, nil)
		So(r.outcome, ShouldEqual, laburnumgwv1.Outcome_OUTCOME_NOT_RUN)
	})
	Convey("A service that the journal does not know yet is refused as not run", t, func() {
		r := journalResult(errkind.New(errkind.NotFound, "name a configured service", "service has no journal"))
		So(r.outcome, ShouldEqual, laburnumgwv1.Outcome_OUTCOME_NOT_RUN)
		So(r.kind, ShouldEqual, errkind.NotRun)
	})
}
