package hosted

import (
	"fmt"
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
			held = max(held, d.held())
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
		if used := d.held(); used != 0 {
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
			held = d.held()
			e.chunk("\n\n")
			e.end()
		})
		if got := d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"); got.cut || len(got.body) < 40<<10 {
			t.Fatalf("status %d, %d bytes", got.status, len(got.body))
		}
		if held < requestBytes+40<<10 || d.held() != 0 {
			t.Errorf("%d bytes held during the event, %d after", held, d.held())
		}
	})
}

// Guards against heads without end, or connections, of many callers that exceed the memory of the entry together: those
// that need most are closed without an answer, which says that the request was not read, and small requests go on.
func TestHeadsOfManyCallersStayWithinTheMemory(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.worker("desk", "d1", 0, done)
		head := strings.TrimSuffix(requestText(http.MethodPost, "/book/x", ""), "\r\n") + "X-Long: " + strings.Repeat("h", 200<<10)
		var open []*callerConn
		closed := 0
		for range 200 {
			conn := s.connect()
			ended := make(chan int, 1)
			go func() {
				_, _ = conn.Write([]byte(head)) // fails when the entry closes the connection
				n, _ := conn.Read(make([]byte, 1))
				ended <- n
			}()
			synctest.Wait()
			select {
			case n := <-ended:
				closed++
				if n != 0 {
					t.Fatal("an unfinished head was answered")
				}
			default:
				open = append(open, conn)
			}
		}
		if held := s.front.memory.Held(); held > s.front.memory.Limit() || closed < 50 || len(open) < 50 {
			t.Errorf("%d of %d bytes held, %d heads waited for, %d closed", held, s.front.memory.Limit(), len(open), closed)
		}
		small := s.connect()
		for range 5 {
			if got := small.ask(requestText(http.MethodPost, "/book/x", "b")); got.cut || got.body != "done" {
				t.Fatalf("small request: %+v", got)
			}
		}
		if n := s.front.metrics.memoryRefused("connection").Get(); int(n) != closed {
			t.Errorf("%d refusals counted, want %d", n, closed)
		}
		for _, conn := range append(open, small) {
			conn.Close()
		}
		s.front.conns.Forget(workerAddress("d1"))
		synctest.Wait()
		if held := s.front.memory.Held(); held != 0 {
			t.Errorf("%d bytes still held", held)
		}
	})
}

// Guards against a head that counts for as long as its connection is kept, and not only until its response is written.
func TestLongHeadIsReleasedWithItsResponse(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		during := int64(0)
		s.worker("desk", "d1", 0, func(e *workerExchange) {
			during = s.front.memory.Held()
			e.head(http.StatusOK, sealHeader, "seal", "Content-Length", "4", "X-Long", strings.Repeat("h", 30<<10))
			fmt.Fprint(e, "done")
		})
		conn := s.connect()
		for range 3 {
			// The long field stays here: a connection to a worker is kept only if the whole request was written before the response ends.
			if got := conn.ask(requestText(http.MethodPost, "/view/x", "b", "Connection", "X-Long", "X-Long", strings.Repeat("h", 100<<10))); got.cut || got.body != "done" {
				t.Fatalf("response %+v", got)
			}
			synctest.Wait()
			if after := s.front.memory.Held(); during < 100<<10 || after != 2*connBytes {
				t.Errorf("%d bytes held during the request, %d after it", during, after)
			}
		}
	})
}
