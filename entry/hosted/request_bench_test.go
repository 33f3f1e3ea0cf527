package hosted

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"laburnumgw/lib/rpc"
	"laburnumgw/lib/workerconn"
)

// processorTime returns the user and system time of the process.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// serveSealed responds to each request on a connection with 800 bytes.
func serveSealed(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		e := &workerExchange{Conn: conn, request: request}
		e.head(http.StatusOK, sealHeader, "seal", "Content-Length", "800")
		if _, err := conn.Write(make([]byte, 800)); err != nil {
			return
		}
	}
}

// BenchmarkRequest sends requests one after another through the server of callers to a worker, over TCP. The time of the
// processor includes caller and worker.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{0, 800, 64 << 10, 4 << 20} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			d := newDeployment(b)
			d.worker("desk", "d1", 0, done)
			worker, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer worker.Close()
			go func() {
				for {
					conn, err := worker.Accept()
					if err != nil {
						return
					}
					go serveSealed(conn)
				}
			}()
			dialer := new(net.Dialer)
			d.front.conns = workerconn.NewPoolWith(func(ctx context.Context, network, _ string) (net.Conn, error) {
				return dialer.DialContext(ctx, network, worker.Addr().String())
			})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			p := &Process{settings: d.front.view.settings, view: d.front.view, frontend: d.front, grpc: grpc.NewServer(), conns: rpc.NewPlainPool(), log: zap.NewNop()}
			p.serveCallers(listener, make(chan error, 1))
			defer listener.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			body := bytes.Repeat([]byte("b"), size)
			b.ReportAllocs()
			before := processorTime(b)
			for b.Loop() {
				fmt.Fprintf(conn, "POST /view/x HTTP/1.1\r\nHost: a.example\r\n%s: r1\r\nAuthorization: Token key\r\nContent-Length: %d\r\n\r\n", idHeader, size)
				if _, err := conn.Write(body); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
					b.Fatalf("status %d, %v", response.StatusCode, err)
				}
				response.Body.Close()
			}
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}
