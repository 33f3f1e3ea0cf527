package workerconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// withEarlyPeer runs a test against a worker that gets the head of each request, with its body still to be
// read.
func withEarlyPeer(t *testing.T, respond func(conn net.Conn, request *http.Request), run func(t *testing.T, pool *Pool, dialed *int)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		dialed := 0
		pool := NewPoolWith(func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			dialed++
			go func() {
				defer far.Close()
				reader := bufio.NewReaderSize(far, 2*inlineBytes)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					respond(far, request)
				}
			}()
			return near, nil
		})
		run(t, pool, &dialed)
		<-time.After(time.Hour)
		pool.Forget("worker")
	})
}

// sendLong sends a request with a body that does not fit into the buffers on the way.
func sendLong(t *testing.T, pool *Pool, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	request := &Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, Body: bytes.Repeat([]byte("b"), 1<<20),
		ResponseTimeout: func(waited time.Duration) time.Duration { return time.Second - waited },
	}
	response, _, err := pool.Send(ctx, "worker", request, matchesID(id))
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

// readSome reads a part of a body, as the buffers on the way would take it.
func readSome(t *testing.T, request *http.Request) {
	if _, err := io.CopyN(io.Discard, request.Body, 4*inlineBytes); err != nil {
		t.Errorf("read body: %v", err)
	}
}

// Guards against an answer that is lost because its worker sent it before it had read a long body, and
// reads on later, never, or closes the connection.
func TestResponseBeforeTheBodyIsReadIsReceived(t *testing.T) {
	for name, after := range map[string]func(conn net.Conn, request *http.Request){
		"closes":      func(conn net.Conn, _ *http.Request) { conn.Close() },
		"never reads": func(net.Conn, *http.Request) { <-time.After(time.Minute) },
		"reads on later": func(_ net.Conn, request *http.Request) {
			<-time.After(1200 * time.Millisecond)
			_, _ = io.Copy(io.Discard, request.Body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withEarlyPeer(t, func(conn net.Conn, request *http.Request) {
				readSome(t, request)
				reply(conn, request.Header.Get("Id"), "early")
				after(conn, request)
			}, func(t *testing.T, pool *Pool, dialed *int) {
				for number := range 2 {
					if got, err := sendLong(t, pool, fmt.Sprint(number)); err != nil || got != "early" {
						t.Errorf("%q, %v", got, err)
					}
				}
				// No other request may follow where the rest of the body is due.
				if *dialed != 2 {
					t.Errorf("%d connections for 2 requests", *dialed)
				}
			})
		})
	}
}

// Guards against a worker that is given up while it still receives the request: the wait for its
// response begins when all of it was sent.
func TestSlowUploadIsNoSilence(t *testing.T) {
	withEarlyPeer(t, func(conn net.Conn, request *http.Request) {
		for {
			<-time.After(100 * time.Millisecond)
			if _, err := io.CopyN(io.Discard, request.Body, 40<<10); err != nil {
				break
			}
		}
		<-time.After(900 * time.Millisecond)
		reply(conn, request.Header.Get("Id"), "late")
	}, func(t *testing.T, pool *Pool, dialed *int) {
		for range 2 {
			if got, err := sendLong(t, pool, "a"); err != nil || got != "late" {
				t.Errorf("%q, %v", got, err)
			}
		}
		if *dialed != 1 {
			t.Errorf("%d connections, want the one that was kept", *dialed)
		}
	})
}

// Guards against a write that outlasts its request when the worker takes nothing.
func TestUploadEndsWithItsRequest(t *testing.T) {
	withEarlyPeer(t, func(net.Conn, *http.Request) { <-time.After(time.Minute) }, func(t *testing.T, pool *Pool, _ *int) {
		if _, err := sendLong(t, pool, "a"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%v", err)
		}
	})
}
