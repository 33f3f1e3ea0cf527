package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"laburnumgw/lib/catalog"
)

// writeUntilClosed writes text until the entry closes the connection. It returns the number of
// bytes written.
func writeUntilClosed(e *workerExchange, text string, pause time.Duration) int {
	sent := 0
	for {
		n, err := fmt.Fprint(e, text)
		sent += n
		if err != nil {
			return sent
		}
		if pause > 0 {
			<-time.After(pause)
		}
	}
}

// Guards against a worker that sends bytes without end in place of a response: another worker
// must respond in time, and the bytes that are read are bounded.
func TestEndlessBytesOfAWorkerDoNotHoldARequest(t *testing.T) {
	junk := strings.Repeat("junk ", 100)
	for name, writeStart := range map[string]func(e *workerExchange){
		"head":    func(*workerExchange) {},
		"refusal": func(e *workerExchange) { e.head(http.StatusServiceUnavailable, notRunHeader, "1") },
		"failure": func(e *workerExchange) { e.head(http.StatusInternalServerError) },
		"success": func(e *workerExchange) { e.head(http.StatusOK) },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				taken := 0
				d.worker("desk", "w1", 0, func(e *workerExchange) { writeStart(e); taken += writeUntilClosed(e, junk, 0) })
				d.worker("desk", "w2", 0, func(e *workerExchange) { e.complete(http.StatusOK, "ok") })
				for range 10 {
					got := d.ask(t.Context(), http.MethodGet, "/view/x", "", deadlineHeader, "2500")
					if got.status != http.StatusOK || got.body != "ok" || got.took > time.Second {
						t.Fatalf("response %+v", got)
					}
				}
				if taken > 10*(128<<10) {
					t.Errorf("%d bytes taken", taken)
				}
			})
		})
	}
}

// Guards the bound on the memory of buffered responses: a sealed body without end is given up at
// the bound, and its memory is released.
func TestBufferedResponsesAreBounded(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		var taken atomic.Int64
		d.worker("desk", "w1", 0, func(e *workerExchange) {
			e.head(http.StatusOK, sealHeader, "seal")
			taken.Add(int64(writeUntilClosed(e, strings.Repeat("junk ", 10000), 0)))
		})
		got := d.ask(t.Context(), http.MethodPost, "/book/x", "b", deadlineHeader, "2500")
		if got.status != http.StatusBadGateway || taken.Load() > 2*maxBufferedBytes {
			t.Errorf("response %+v, %d bytes taken", got, taken.Load())
		}
		if used := d.held(); used != 0 {
			t.Errorf("%d bytes still counted", used)
		}
	})
}

// Guards against a stalled stream that is kept open for ever by a byte now and then, and against
// cutting one that is slow but healthy.
func TestStalledStreamEndsAndSlowOneDoesNot(t *testing.T) {
	t.Run("stalled", func(t *testing.T) {
		inVirtualTime(t, func(t *testing.T, d *deployment) {
			d.worker("llm", "w1", 1, func(e *workerExchange) {
				e.stream(1)
				e.events(1, 2)
				writeUntilClosed(e, "1\r\n:\r\n", 200*time.Millisecond)
			})
			got := d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")
			if !got.cut || got.body != events(1, 2) || got.took > 3*time.Second {
				t.Fatalf("response %+v", got)
			}
		})
	})
	t.Run("slow", func(t *testing.T) {
		inVirtualTime(t, func(t *testing.T, d *deployment) {
			d.worker("llm", "w1", 1, func(e *workerExchange) {
				e.stream(1)
				for id := 1; id <= 6; id++ {
					// Each event arrives in parts, within the time that callers wait for the
					// next event.
					<-time.After(600 * time.Millisecond)
					e.chunk(fmt.Sprintf("id: %d\n", id))
					<-time.After(200 * time.Millisecond)
					e.chunk("data: x\n\n")
				}
				e.end()
			})
			d.front.view.applyReport(workerAddress("w1"), 1, catalog.Report{StartedAtMs: 1, Weights: catalog.Weights{Model: "m", Version: 1, To: 16}})
			got := d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")
			if got.status != http.StatusOK || got.cut || got.body != events(1, 6) {
				t.Fatalf("response %+v", got)
			}
		})
	})
}
