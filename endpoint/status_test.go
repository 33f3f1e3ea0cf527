package endpoint

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/admission"
	"laburnumgw/lib/drain"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/journal"
	"laburnumgw/lib/platform"
)

// invalidStatuses are those that no final response has.
var invalidStatuses = []string{"000", "042", "099", "101", "199", "600", "999"}

// frameCount is a stream to an entry that counts its frames.
type frameCount struct {
	grpc.ServerStream
	frames int
}

func (c *frameCount) Send(*laburnumgwv1.ServeResponse) error {
	c.frames++
	return nil
}

// Guards against an answer with a status that is none that is recorded as the response to a booking and given to each repeat,
// also after a restart.
func TestAnswerWithAStatusThatIsNoneIsNoResponseToABooking(t *testing.T) {
	metrics := newEndpointMetrics()
	for _, status := range invalidStatuses {
		t.Run(status, func(t *testing.T) {
			var runs atomic.Int32
			base := startRawServer(t, &rawServer{text: fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: 0\r\n\r\n", status), beforeEnd: func(*net.TCPConn) { runs.Add(1) }})
			synctest.Test(t, func(t *testing.T) {
				store := platform.NewMemory()
				for _, process := range []string{"first", "first after a restart"} {
					s := &server{
						service: "bookings", serviceTimeout: time.Minute, zones: new(zoneState), metrics: metrics, backend: newBackend(base), shutdown: drain.NewShutdown(),
						gate:    admission.NewGate(admission.Config{Limits: admission.Limits{ColdInFlight: 4, WarmInFlight: 4, QueueLength: 4}}),
						journal: journal.New(journal.Options{Store: store, Self: journal.Identity{VM: "vm-1", Incarnation: process}, Shards: func(string) int { return 1 }}),
					}
					s.journal.Claim("bookings")
					<-time.After(30 * time.Second)
					for range 2 {
						var sent frameCount
						out := &frameWriter{stream: &sent, currentLoad: func() *laburnumgwv1.Load { return nil }}
						r := s.runOnce(t.Context(), &laburnumgwv1.ServeRequest{}, call{method: http.MethodPost, path: "/", idempotencyKey: "k"}, time.Now().Add(time.Minute), out)
						if r.outcome != laburnumgwv1.Outcome_OUTCOME_UNKNOWN || r.kind != errkind.OutcomeUnknown || sent.frames != 0 {
							t.Errorf("%s: %+v, %d frames", process, r, sent.frames)
						}
					}
					if err := s.journal.Close(t.Context()); err != nil || runs.Load() != 1 {
						t.Errorf("%s: ran %d times, %v", process, runs.Load(), err)
					}
				}
			})
		})
	}
}
