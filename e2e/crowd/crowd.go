// Package crowd plays clients that stay outside of the limits against the processes of the system, on loopback, and checks
// what does not depend on the speed of the machine: that a process lives, that its memory and its descriptors stay under a
// bound, and that an ordinary request is answered.
package crowd

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// legalBody is the largest body that the configuration allows, farOver a length far above it, and overSent what is
	// sent of that.
	legalBody = 4 << 20
	farOver   = 1 << 30
	overSent  = 16 << 20
	// headBytes is the length of a head of very many short fields.
	headBytes = 250 << 10
	piece     = 16 << 10
	// pipelinedBytes bounds the requests that a client sends ahead, and longResponse is the length of a response that a
	// client does not read.
	pipelinedBytes = 256 << 10
	longResponse   = 4 << 20
	// sendLimit bounds the time in which a client sends.
	sendLimit = 2 * time.Second
	// trickleInterval separates two bytes of a slow client.
	trickleInterval = 20 * time.Millisecond
	// socketBuffer keeps what the kernel holds for a client small.
	socketBuffer = 16 << 10
)

// door is where clients connect.
type door struct {
	name, address string
	// paths are the targets of requests: those with a route and those without one.
	paths []string
	// long is a target with a response of longResponse bytes; empty for none.
	long string
	// fields are what the head of each request has.
	fields string
}

// head returns the head of a request with further fields.
func (d *door) head(method, path string, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\n%s%s\r\n", method, path, d.fields, strings.Join(append(fields, ""), "\r\n"))
}

// behaviour is what the clients of a crowd do.
type behaviour struct {
	name string
	// clients is the number of clients for each path of a door.
	clients int
	send    func(conn net.Conn, d *door, path string)
}

var (
	bodyBytes  = strings.Repeat("b", legalBody)
	chunk      = fmt.Sprintf("%x\r\n%s\r\n", piece, bodyBytes[:piece])
	manyFields = shortFields(headBytes)
)

// shortFields returns fields with different names and without values.
func shortFields(size int) string {
	var b strings.Builder
	for n := int64(0); b.Len() < size; n++ {
		b.WriteString("x" + strconv.FormatInt(n, 36) + ":\r\n")
	}
	return strings.TrimSuffix(b.String(), "\r\n")
}

func send(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// repeat sends a text again and again, up to a size.
func repeat(conn net.Conn, text string, size int) {
	for sent := 0; sent < size && send(conn, text); sent += len(text) {
	}
}

// trickle sends a text byte by byte, up to sendLimit.
func trickle(conn net.Conn, text string) {
	ticker := time.NewTicker(trickleInterval)
	defer ticker.Stop()
	for n := range min(len(text), int(sendLimit/trickleInterval)) {
		if !send(conn, text[n:n+1]) {
			return
		}
		<-ticker.C
	}
}

func contentLength(n int) string { return "Content-Length: " + strconv.Itoa(n) }

const chunked = "Transfer-Encoding: chunked"

// behaviours are the crowds, each at all doors of a process at once.
var behaviours = []behaviour{
	{"bodies in one piece that stop short of their end", 40, func(conn net.Conn, d *door, path string) {
		send(conn, d.head("POST", path, contentLength(legalBody))+bodyBytes[1:])
	}},
	{"bodies in small pieces that stop short of their end", 40, func(conn net.Conn, d *door, path string) {
		if send(conn, d.head("POST", path, contentLength(legalBody+1))) {
			repeat(conn, bodyBytes[:piece], legalBody)
		}
	}},
	{"chunked bodies that stop short of their end", 40, func(conn net.Conn, d *door, path string) {
		if send(conn, d.head("POST", path, chunked)) {
			repeat(conn, chunk, legalBody-piece)
		}
	}},
	{"bodies that stop half-way", 100, func(conn net.Conn, d *door, path string) {
		send(conn, d.head("POST", path, contentLength(legalBody))+bodyBytes[:piece])
	}},
	{"bodies far over the limit", 30, func(conn net.Conn, d *door, path string) {
		if send(conn, d.head("POST", path, contentLength(farOver))) {
			repeat(conn, bodyBytes[:piece], overSent)
		}
	}},
	{"chunked bodies far over the limit", 30, func(conn net.Conn, d *door, path string) {
		if send(conn, d.head("POST", path, chunked)) {
			repeat(conn, chunk, overSent)
		}
	}},
	{"heads of very many short fields", 40, func(conn net.Conn, d *door, path string) {
		send(conn, d.head("POST", path, contentLength(piece), manyFields)+bodyBytes[1:piece])
	}},
	{"heads of many short fields that stop half-way", 100, func(conn net.Conn, d *door, path string) {
		send(conn, strings.TrimSuffix(d.head("POST", path, manyFields), "\r\n"))
	}},
	{"heads sent byte by byte", 60, func(conn net.Conn, d *door, path string) {
		trickle(conn, d.head("GET", path, manyFields))
	}},
	{"bodies sent byte by byte", 60, func(conn net.Conn, d *door, path string) {
		if send(conn, d.head("POST", path, contentLength(legalBody))) {
			trickle(conn, bodyBytes)
		}
	}},
	{"requests sent ahead", 30, func(conn net.Conn, d *door, path string) {
		repeat(conn, d.head("GET", path), pipelinedBytes)
	}},
	{"long responses that nobody reads", 30, func(conn net.Conn, d *door, path string) {
		if d.long != "" {
			path = d.long
		}
		repeat(conn, d.head("GET", path), 8<<10)
	}},
	{"connections that send nothing, or half a line", 150, func(conn net.Conn, _ *door, path string) {
		if path != "/" {
			send(conn, "GET "+path)
		}
	}},
}

// crowd is a number of open connections.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	sends sync.WaitGroup
}

// gather opens the connections of a crowd and has them send.
func gather(b behaviour, doors []door) *crowd {
	c := &crowd{}
	for i := range doors {
		d := &doors[i]
		for _, path := range d.paths {
			for range b.clients {
				c.sends.Go(func() { c.join(b, d, path) })
			}
		}
	}
	return c
}

// join opens one connection. A process may refuse it at any point.
func (c *crowd) join(b behaviour, d *door, path string) {
	conn, err := net.DialTimeout("tcp", d.address, sendLimit)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBuffer)  // fails only on a closed connection
		_ = tcp.SetWriteBuffer(socketBuffer) // fails only on a closed connection
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendLimit))
	b.send(conn, d, path)
}

// leave closes the connections.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}
