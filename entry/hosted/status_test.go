package hosted

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against a closed connection in place of an answer when a worker sends a status that cannot be
// passed on: net/http panics for one below 100.
func TestStatusThatIsNoneIsAFailureOfTheWorker(t *testing.T) {
	for _, status := range []string{"000", "042", "099"} {
		for target, want := range map[string]int{"/view/x": http.StatusOK, "/book/x": http.StatusBadGateway} {
			t.Run(status+target, func(t *testing.T) {
				withCallers(t, func(t *testing.T, s *callerServer) {
					s.worker("desk", "d1", 0, func(e *workerExchange) {
						fmt.Fprintf(e, "HTTP/1.1 %s Odd\r\n%s: r1\r\n%s: seal\r\nContent-Length: 0\r\n\r\n", status, idHeader, sealHeader)
						if target == "/view/x" {
							s.worker("desk", "d2", 0, done)
						}
					})
					got := s.connect().ask(requestText(http.MethodPost, target, "b", deadlineHeader, "2500"))
					if got.cut || got.status != want {
						t.Errorf("response %+v", got)
					}
				})
			})
		}
	}
}
