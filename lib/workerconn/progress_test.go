package workerconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// Guards against cutting a response that makes progress: its rest had 2 s in all from its first
// byte, so that a large or slow one, or one whose worker paused for a second, was lost.
func TestResponseThatMakesProgressIsNotCut(t *testing.T) {
	const parts, pause = 5, 1200 * time.Millisecond
	body := strings.Repeat("x", 10)
	for name, c := range map[string]struct {
		head string
		end  string
	}{
		"length":   {fmt.Sprintf("Content-Length: %d\r\n\r\n", parts*len(body)), ""},
		"chunks":   {"Transfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"},
		"unmarked": {"\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			withPeer(t, func(conn net.Conn, _ int, _ *http.Request) {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
				<-time.After(pause)
				fmt.Fprint(conn, "Id: a\r\n"+c.head)
				for range parts {
					<-time.After(pause)
					if name == "chunks" {
						fmt.Fprintf(conn, "%x\r\n%s\r\n", len(body), body)
					} else {
						fmt.Fprint(conn, body)
					}
				}
				if c.end != "" {
					fmt.Fprint(conn, c.end)
				}
				if name == "unmarked" {
					conn.Close()
				}
			}, func(t *testing.T, pool *Pool, _ *peer) {
				got, err := readPatiently(t, pool)
				if err != nil || got != strings.Repeat(body, parts) {
					t.Errorf("%q, %v", got, err)
				}
				<-time.After(time.Minute)
			})
		})
	}
}

// Guards against a response that never ends because its worker has stopped midway.
func TestResponseThatStopsMidwayIsGivenUp(t *testing.T) {
	withPeer(t, func(conn net.Conn, _ int, _ *http.Request) {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nabc")
		<-time.After(time.Minute)
	}, func(t *testing.T, pool *Pool, _ *peer) {
		started := time.Now()
		_, err := readPatiently(t, pool)
		if took := time.Since(started); !errors.Is(err, os.ErrDeadlineExceeded) || took != defaultRemainderTimeout {
			t.Errorf("%v after %v", err, took)
		}
		<-time.After(time.Minute)
	})
}

// Guards against a response that is given up before the bound of its request, or waited for beyond it.
func TestRequestBoundsTheWaitForMoreOfItsResponse(t *testing.T) {
	const bound = 3 * time.Second
	for _, pause := range []time.Duration{bound - time.Millisecond, bound + time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			withPeer(t, func(conn net.Conn, _ int, _ *http.Request) {
				for _, part := range []string{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nabc", "def", "ghi"} {
					fmt.Fprint(conn, part)
					<-time.After(pause)
				}
			}, func(t *testing.T, pool *Pool, _ *peer) {
				request := &Request{
					Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}},
					ResponseTimeout:  func(waited time.Duration) time.Duration { return time.Second - waited },
					RemainderTimeout: func(waited time.Duration) time.Duration { return min(bound-waited, 200*time.Millisecond) },
				}
				started := time.Now()
				response, _, err := pool.Send(t.Context(), "worker", request, matchesID("a"))
				var body []byte
				if err == nil {
					body, err = io.ReadAll(response.Body)
					response.Abort()
				}
				if pause < bound && (err != nil || string(body) != "abcdefghi") {
					t.Errorf("%q, %v", body, err)
				}
				if took := time.Since(started); pause > bound && (!errors.Is(err, os.ErrDeadlineExceeded) || took != bound) {
					t.Errorf("%v after %v", err, took)
				}
				<-time.After(time.Minute)
			})
		})
	}
}

// Guards against a bound on reads that outlasts its response: the next one on the connection may
// wait longer.
func TestReadBoundEndsWithItsResponse(t *testing.T) {
	withPeer(t, func(conn net.Conn, number int, r *http.Request) {
		if number == 2 {
			<-time.After(2 * defaultRemainderTimeout)
		}
		reply(conn, r.Header.Get("Id"), "ok")
	}, func(t *testing.T, pool *Pool, p *peer) {
		if _, err := readPatiently(t, pool); err != nil {
			t.Fatal(err)
		}
		if body, _, err := exchange(t, pool, "b", false); err != nil || body != "ok" || p.dialed != 1 {
			t.Errorf("%q, %v on connection %d", body, err, p.dialed)
		}
	})
}

// readPatiently sends a request with a bound on the wait for its first byte, and reads the response.
func readPatiently(t *testing.T, pool *Pool) (string, error) {
	t.Helper()
	request := &Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}},
		ResponseTimeout: func(waited time.Duration) time.Duration { return time.Minute - waited },
	}
	response, _, err := pool.Send(t.Context(), "worker", request, matchesID("a"))
	if err != nil {
		return "", err
	}
	defer response.Abort()
	body, err := io.ReadAll(response.Body)
	if err == nil {
		response.Finish(time.Minute)
	}
	return string(body), err
}
