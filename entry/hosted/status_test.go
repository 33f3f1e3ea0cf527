package hosted

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against a closed connection in place of an answer when a worker sends a status that cannot be passed on, which
// net/http panics for below 100, against one that callers get as the response, and against a booking that runs again, or a
// worker that gets nothing more, by the headers of such an answer.
func TestStatusThatIsNoneIsAFailureOfTheWorker(t *testing.T) {
	const statements = notRunHeader + ": 1\r\n" + leavingHeader + ": 1\r\n" + limitHeader + ": 0;1000\r\nRetry-After: 9\r\n"
	for _, status := range []string{"000", "042", "099", "101", "600", "999"} {
		for name, fields := range map[string]string{"": "", ", with statements": statements} {
			for target, want := range map[string]int{"/view/x": http.StatusOK, "/chat/x": http.StatusOK, "/book/x": http.StatusBadGateway} {
				t.Run(status+target+name, func(t *testing.T) {
					withCallers(t, func(t *testing.T, s *callerServer) {
						service, version, sound := "desk", 0, done
						if target == "/chat/x" {
							service, version, sound = "llm", 1, func(e *workerExchange) { wholeStream.respond(e, 1) }
						}
						s.worker(service, "w1", version, func(e *workerExchange) {
							s.worker(service, "w2", version, sound)
							fmt.Fprintf(e, "HTTP/1.1 %s Odd\r\n%s%sContent-Length: 0\r\n\r\n%s", status, responseFields, fields, plainResponses["length"].text)
							e.Close()
						})
						got := s.connect().ask(requestText(http.MethodPost, target, "b", deadlineHeader, "2500"))
						arrivals := len(s.arrived())
						if got.cut || got.status != want || (arrivals == 1) != (want == http.StatusBadGateway) {
							t.Errorf("response %+v, %d arrivals", got, arrivals)
						}
						s.worker(service, "w1", version, sound)
						s.remove("servers", "w2")
						if got := s.connect().ask(requestText(http.MethodPost, target, "b", deadlineHeader, "2500")); got.status != http.StatusOK {
							t.Errorf("next response of the worker %+v", got)
						}
					})
				})
			}
		}
	}
}
