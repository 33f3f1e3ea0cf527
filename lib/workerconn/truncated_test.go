package workerconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// truncatedResponses holds whole responses to a request with the ID "a", by name. An upper-case
// method in front of the name is that of the request.
var truncatedResponses = map[string]string{
	"GET length":                     "HTTP/1.1 200 OK\r\nContent-Length: 120\r\nId: a\r\n\r\n" + strings.Repeat("x", 120),
	"GET length at the end":          "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\n0123456789",
	"GET chunks":                     "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0a;x=y\r\n0123456789\r\n1\r\nx\r\n0\r\n\r\n",
	"GET chunks and trailers":        "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n3\r\nabc\r\n0\r\nSum: 12\r\nSum: 3\r\n\r\n",
	"GET bare newlines":              "HTTP/1.1 200 OK\nId: a\nContent-Length: 3\n\nabc",
	"GET bare newlines, chunks":      "HTTP/1.1 200 OK\nId: a\nTransfer-Encoding: chunked\n\n3\r\nabc\r\n0\r\n\r\n",
	"GET after informational ones":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nabc",
	"GET after an unrelated one":     "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 5\r\n\r\nother" + "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nabc",
	"GET folded field":               "HTTP/1.1 200 OK\r\nId: a\r\nX: y\r\n z\r\nContent-Length: 3\r\n\r\nabc",
	"GET without a length":           "HTTP/1.1 200 OK\r\nId: a\r\nX: y\r\n\r\n",
	"GET no reason":                  "HTTP/1.1 200 \r\nId: a\r\nContent-Length: 3\r\n\r\nabc",
	"GET failure":                    "HTTP/1.1 500 Error\r\nId: a\r\nContent-Length: 3\r\n\r\nabc",
	"GET refusal":                    "HTTP/1.1 503 Busy\r\nId: a\r\nX-Not-Executed: 1\r\nContent-Length: 3\r\n\r\nabc",
	"GET no content":                 "HTTP/1.1 204 No Content\r\nId: a\r\nX: y\r\n\r\n",
	"GET not modified":               "HTTP/1.1 304 Not Modified\r\nId: a\r\nContent-Length: 9\r\n\r\n",
	"HEAD length":                    "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1200\r\n\r\n",
	"HEAD chunks":                    "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
	"POST length":                    "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nabc",
	"POST closes":                    "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc",
	"POST HTTP/1.0 with a length":    "HTTP/1.0 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nabc",
	"POST HTTP/1.0 without a length": "HTTP/1.0 200 OK\r\nId: a\r\n\r\n",
}

// sendTo sends a request with the ID "a" and returns the body of its response.
func sendTo(ctx context.Context, pool *Pool, address, method string) (body string, sent bool, err error) {
	request := &Request{Method: method, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}}
	response, sent, err := pool.Send(ctx, address, request, matchesID("a"))
	if err != nil {
		return "", sent, err
	}
	defer response.Abort()
	data, err := io.ReadAll(response.Body)
	return string(data), sent, err
}

// endedEarly reports whether an error states that the worker has ended the connection.
func endedEarly(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// Guards against a response that ends within its head, a chunk header, its trailers or its body and is taken as
// whole, and against one of which the error does not state that the worker has ended the connection. That depended on
// the byte: a field name without its colon was malformed, a trailer had an error of its own.
func TestResponseThatEndsAtAnyByteIsNotWhole(t *testing.T) {
	for name, text := range truncatedResponses {
		method, _, _ := strings.Cut(name, " ")
		for _, byReset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reset %v, kept connection %v", name, byReset, kept), func(t *testing.T) {
					worker := &tcpWorker{}
					var written atomic.Int64
					worker.respond = func(conn *net.TCPConn, number int, _ *http.Request) bool {
						if kept && number == 1 {
							fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n")
							return true
						}
						fmt.Fprint(conn, text[:written.Load()])
						if byReset {
							reset(conn)
						}
						return false
					}
					startTCPWorker(t, worker)
					for cut := range len(text) {
						written.Store(int64(cut))
						pool := tcpPool()
						if kept {
							keepConnection(t, pool, worker.address)
						}
						body, sent, err := sendTo(t.Context(), pool, worker.address, method)
						if !sent || !endedEarly(err) {
							t.Errorf("ended after %q: body %q, sent %v, error %v", text[:cut], body, sent, err)
						}
						if opened := pool.Opened(); opened != 1 {
							t.Errorf("ended after %q: %d connections", text[:cut], opened)
						}
					}
					written.Store(int64(len(text)))
					if byReset {
						return
					}
					if _, _, err := sendTo(t.Context(), tcpPool(), worker.address, method); err != nil && !kept {
						t.Errorf("whole response: %v", err)
					}
				})
			}
		}
	}
}

// keepConnection leaves an idle connection in a pool.
func keepConnection(t *testing.T, pool *Pool, address string) {
	t.Helper()
	request := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}}
	response, _, err := pool.Send(t.Context(), address, request, matchesID("a"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	response.Finish(time.Minute)
}
