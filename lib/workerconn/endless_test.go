package workerconn

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// flood writes text repeatedly until the reader closes the connection, and counts the bytes.
func flood(conn net.Conn, text string, pause time.Duration, written *atomic.Int64) {
	for {
		n, err := conn.Write([]byte(text))
		written.Add(int64(n))
		if err != nil {
			return
		}
		if pause > 0 {
			<-time.After(pause)
		}
	}
}

// Guards against a faulty worker that sends bytes without end in a head, or in a body that
// is only discarded: they filled the memory, or kept the exchange open until its deadline.
// The synctest bubble ends only when no goroutine is left.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	for name, prefix := range map[string]string{
		"no answer":                "",
		"endless field":            "HTTP/1.1 200 OK\r\nId: a\r\nX: ",
		"endless fields":           "HTTP/1.1 200 OK\r\nId: a\r\n",
		"endless status":           "HTTP/1.1 200 ",
		"endless unrelated body":   "HTTP/1.1 200 OK\r\nId: other\r\n\r\n",
		"endless unrelated chunks": "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n1000000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			text := "junk junk junk junk junk junk junk"
			if name == "endless fields" {
				text = "Field: value\r\n"
			}
			withPeer(t, func(conn net.Conn, _ int, _ *http.Request) {
				fmt.Fprint(conn, prefix)
				flood(conn, text, 0, &written)
			}, func(t *testing.T, pool *Pool, _ *peer) {
				started := time.Now()
				_, sent, err := exchange(t, pool, "a", false)
				if err == nil || !sent || time.Since(started) > defaultRemainderTimeout {
					t.Errorf("sent %v, error %v after %v", sent, err, time.Since(started))
				}
				if n := written.Load(); n > 2*maxHeadBytes {
					t.Errorf("%d bytes taken", n)
				}
			})
		})
	}
}

// Guards against an exchange that waits for the body of a refusal, which is not used.
func TestBodyOfARefusalIsNotWaitedFor(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "a byte now and then": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			withPeer(t, func(conn net.Conn, _ int, r *http.Request) {
				fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nId: %s\r\n\r\n", r.Header.Get("Id"))
				flood(conn, "x", pause, &written)
			}, func(t *testing.T, pool *Pool, _ *peer) {
				started := time.Now()
				request := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}}
				response, _, err := pool.Send(t.Context(), "worker", request, matchesID("a"))
				if err != nil {
					t.Fatal(err)
				}
				response.Discard(time.Minute)
				if took := time.Since(started); took > discardTimeout || written.Load() > 2*maxDiscardedBytes {
					t.Errorf("%d bytes in %v", written.Load(), took)
				}
				if len(pool.idle) != 0 {
					t.Error("connection kept")
				}
				// The worker detects the closed connection at its next byte.
				<-time.After(2 * pause)
			})
		})
	}
}

// Guards against a stalled worker that extends the timeout by sending single bytes.
func TestSingleBytesDoNotExtendTheTimeout(t *testing.T) {
	var written atomic.Int64
	withPeer(t, func(conn net.Conn, _ int, r *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n", r.Header.Get("Id"))
		flood(conn, "x", 300*time.Millisecond, &written)
	}, func(t *testing.T, pool *Pool, _ *peer) {
		request := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}}
		response, _, err := pool.Send(t.Context(), "worker", request, matchesID("a"))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Abort()
		timeout := func(waited time.Duration) time.Duration { return time.Second - waited }
		started := time.Now()
		var buffer [16]byte
		for {
			if err = response.Await(timeout, started); err != nil {
				break
			}
			if _, err = response.Body.Read(buffer[:]); err != nil {
				break
			}
		}
		if took := time.Since(started); !errors.Is(err, ErrUnresponsive) || took > 1300*time.Millisecond {
			t.Errorf("%v after %v", err, took)
		}
		response.Abort()
		<-time.After(time.Second)
	})
}
