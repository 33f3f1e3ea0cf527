package hosted

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"laburnumgw/lib/membudget"
)

const largeBody = 4 << 20

// uploadHead returns the head of a request with a body that follows.
func uploadHead(framing string, fields ...string) string {
	return strings.TrimSuffix(requestText(http.MethodPost, "/book/x", "", fields...), "\r\n") + framing + "\r\n\r\n"
}

// Guards against large bodies of many callers that exceed the memory of the entry together, which was killed with all
// requests in hand: as many as there is memory for are read, the others are refused at once and honestly, and small
// requests go on.
func TestBodiesOfManyCallersStayWithinTheMemory(t *testing.T) {
	for name, c := range map[string]struct{ framing, begin string }{
		"length": {"Content-Length: " + strconv.Itoa(largeBody), "b"},
		"chunks": {"Transfer-Encoding: chunked", "300000\r\n" + strings.Repeat("b", 0x200001)},
	} {
		t.Run(name, func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				s.front.memory = membudget.New(20 << 20)
				s.worker("desk", "d1", 0, done)
				waiting, refused := 0, 0
				for range 12 {
					conn := s.connect()
					answers := make(chan callerResponse, 1)
					go func() {
						_, _ = conn.Write([]byte(uploadHead(c.framing, deadlineHeader, "900") + c.begin)) // a refusal comes before its end
					}()
					go func() { answers <- conn.receive() }()
					synctest.Wait()
					select {
					case got := <-answers:
						refused++
						after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
						if got.cut || got.status != http.StatusServiceUnavailable || err != nil || after < 0.2 || after > 1 || !got.last || got.took > 100*time.Millisecond {
							t.Fatalf("refusal %+v", got)
						}
					default:
						waiting++
					}
				}
				if used := s.front.memory.Held(); used > s.front.memory.Limit() || waiting < 3 || refused < 5 {
					t.Errorf("%d bytes held, %d callers wait, %d were refused", used, waiting, refused)
				}
				for range 20 {
					if got := s.connect().ask(requestText(http.MethodPost, "/book/x", strings.Repeat("b", 16<<10))); got.cut || got.body != "done" {
						t.Fatalf("small request: %+v", got)
					}
				}
				if n := len(s.arrived()); n != 20 {
					t.Errorf("%d requests reached the worker", n)
				}
				<-time.After(2 * time.Second)
				if used := s.front.memory.Held(); used != 0 {
					t.Errorf("%d bytes still held", used)
				}
				if got := s.connect().ask(requestText(http.MethodPost, "/book/x", strings.Repeat("b", largeBody))); got.cut || got.body != "done" {
					t.Errorf("large request: status %d", got.status)
				}
				if n := s.front.metrics.memoryRefused("request").Get(); int(n) != refused {
					t.Errorf("%d refusals counted, want %d", n, refused)
				}
			})
		})
	}
}

// Guards against a failure that is kept for the caller while its memory counts as free.
func TestKeptFailureHoldsItsMemory(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		failure := strings.Repeat("f", 1<<20)
		held := int64(0)
		d.worker("desk", "w1", 0, func(e *workerExchange) { e.complete(http.StatusInternalServerError, failure) })
		d.worker("desk", "w2", 0, func(e *workerExchange) {
			held = max(held, d.front.memory.Held())
			e.complete(http.StatusInternalServerError, failure)
		})
		for range 10 {
			if got := d.ask(t.Context(), http.MethodGet, "/view/x", "", deadlineHeader, "2500"); got.status != http.StatusInternalServerError || got.body != failure {
				t.Fatalf("status %d, %d bytes", got.status, len(got.body))
			}
		}
		if held < 1<<20 {
			t.Errorf("%d bytes held during the second attempt", held)
		}
		if used := d.front.memory.Held(); used != 0 {
			t.Errorf("%d bytes still held", used)
		}
	})
}

// Guards against events that grow up to their bound in many streams at once without being counted.
func TestLongEventsHoldMemory(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		held := int64(0)
		d.worker("llm", "w1", 1, func(e *workerExchange) {
			e.stream(1)
			e.chunk("id: 1\ndata: " + strings.Repeat("x", 40<<10))
			<-time.After(100 * time.Millisecond)
			held = d.front.memory.Held()
			e.chunk("\n\n")
			e.end()
		})
		if got := d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"); got.cut || len(got.body) < 40<<10 {
			t.Fatalf("status %d, %d bytes", got.status, len(got.body))
		}
		if held < requestBytes+40<<10 || d.front.memory.Held() != 0 {
			t.Errorf("%d bytes held during the event, %d after", held, d.front.memory.Held())
		}
	})
}
