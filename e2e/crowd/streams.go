package crowd

import (
	"bytes"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// callsPerConn is the number of calls on one connection, and callBytes bounds what is sent of their messages together.
	callsPerConn = 200
	callBytes    = 24 << 20
	// messageBytes is the length of a message, within the default limit of servers.
	messageBytes = 4<<20 - 1
	frameBytes   = 16 << 10
	firstWindow  = 64<<10 - 1
	// fieldCalls is the number of calls with very many fields on one connection.
	fieldCalls = 10
)

// caller calls methods over HTTP/2, as far as the server's windows allow.
type caller struct {
	framer *http2.Framer

	mu sync.Mutex
	// window is what may be sent on the connection, and windows what may be on each stream.
	window  int
	windows map[uint32]int
	ended   bool
}

// newCaller opens the HTTP/2 connection. The streams have the odd numbers up to 2*calls.
func newCaller(conn net.Conn, calls int) *caller {
	c := &caller{framer: http2.NewFramer(conn, conn), window: firstWindow, windows: make(map[uint32]int)}
	for n := range calls {
		c.windows[streamID(n)] = firstWindow
	}
	send(conn, http2.ClientPreface)
	_ = c.framer.WriteSettings() // a connection that was closed takes nothing
	go c.receive()
	return c
}

func streamID(n int) uint32 { return uint32(2*n + 1) }

// receive follows the windows until the connection ends.
func (c *caller) receive() {
	for {
		frame, err := c.framer.ReadFrame()
		c.mu.Lock()
		switch f := frame.(type) {
		case *http2.WindowUpdateFrame:
			if f.StreamID == 0 {
				c.window += int(f.Increment)
			} else if _, ok := c.windows[f.StreamID]; ok {
				c.windows[f.StreamID] += int(f.Increment)
			}
		case *http2.RSTStreamFrame:
			delete(c.windows, f.StreamID)
		case *http2.HeadersFrame:
			delete(c.windows, f.StreamID)
		case *http2.GoAwayFrame:
			c.ended = true
		}
		c.ended = c.ended || err != nil
		ended := c.ended
		c.mu.Unlock()
		if ended {
			return
		}
	}
}

// call begins the call of a method.
func (c *caller) call(id uint32, method string, fields int) bool {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, field := range [][2]string{
		{":method", "POST"}, {":scheme", "http"}, {":path", method}, {":authority", "a"}, {"content-type", "application/grpc"}, {"te", "trailers"},
	} {
		_ = encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]}) // writes to a buffer do not fail
	}
	for n := range fields {
		_ = encoder.WriteField(hpack.HeaderField{Name: "x" + strconv.FormatInt(int64(n), 36), Sensitive: true})
	}
	first := block.Next(frameBytes)
	err := c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: first, EndHeaders: block.Len() == 0})
	for err == nil && block.Len() > 0 {
		next := block.Next(frameBytes)
		err = c.framer.WriteContinuation(id, block.Len() == 0, next)
	}
	return err == nil
}

// take reserves a part of the windows for a stream.
func (c *caller) take(id uint32, most int) (size int, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size = max(0, min(c.window, c.windows[id], most, frameBytes))
	c.window -= size
	c.windows[id] -= size
	return size, c.ended
}

// sendMessages sends a message on each of a number of calls, without its last byte, as far as the server takes it.
func (c *caller) sendMessages(calls int) {
	left := make(map[uint32]int)
	prefix := []byte{0, 0, messageBytes >> 16, messageBytes >> 8 & 0xff, messageBytes & 0xff}
	for n := range calls {
		left[streamID(n)] = messageBytes - 1
		if size, _ := c.take(streamID(n), len(prefix)); size == len(prefix) && c.framer.WriteData(streamID(n), false, prefix) != nil {
			return
		}
	}
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	sent := 0
	for end := time.Now().Add(sendLimit); sent < callBytes && time.Now().Before(end); {
		before := sent
		for id, rest := range left {
			size, ended := c.take(id, rest)
			if ended || size > 0 && c.framer.WriteData(id, false, []byte(bodyBytes[:size])) != nil {
				return
			}
			left[id] -= size
			sent += size
		}
		if sent == before {
			<-ticker.C
		}
	}
}

// calls are the crowds at doors that take calls.
var calls = []behaviour{
	{"calls with messages that stop short of their end", 12, func(conn net.Conn, d *door, method string) {
		c := newCaller(conn, callsPerConn)
		for n := range callsPerConn {
			if !c.call(streamID(n), method, 0) {
				return
			}
		}
		c.sendMessages(callsPerConn)
	}},
	{"calls with very many short fields", 20, func(conn net.Conn, d *door, method string) {
		c := newCaller(conn, fieldCalls)
		for n := range fieldCalls {
			if !c.call(streamID(n), method, headBytes/8) {
				return
			}
		}
	}},
}
