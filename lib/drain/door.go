package drain

import (
	"bytes"
	"fmt"
	"net"
	"time"

	"laburnumgw/lib/door"
)

// BoundConns bounds the number of connections. onShed is called for each that is closed for want of room, and must not block.
// It is called before Serve.
func (l *Listener) BoundConns(limit int, onShed func(door.Reason)) {
	l.table, l.onShed = door.NewTable[*conn](limit), onShed
}

// BoundProbes is BoundConns for a few clients whose requests have no effect: any connection may be closed for a new one.
func (l *Listener) BoundProbes(onShed func(door.Reason)) {
	l.table, l.onShed = door.NewProbeTable[*conn](door.ProbeConns), onShed
}

// Conns returns the number of open connections.
func (l *Listener) Conns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Count()
}

// admit returns an accepted connection, or nil when it was closed.
func (l *Listener) admit(accepted net.Conn) *conn {
	if l.memory != nil && l.memory.Reserve(l.connBytes, l.connBytes) != nil {
		accepted.Close()
		l.onShed(door.NoMemory)
		l.closeUnread()
		return nil
	}
	c := &conn{Conn: accepted, listener: l, inHeader: true}
	l.mu.Lock()
	decision := l.table.Connect(c, time.Now())
	if c.place = decision.Admitted; c.place != nil {
		l.conns[c] = struct{}{}
	}
	l.mu.Unlock()
	l.shed(decision)
	if c.place != nil {
		return c
	}
	accepted.Close()
	if l.memory != nil {
		l.memory.Release(l.connBytes)
	}
	l.onShed(door.Refused)
	return nil
}

// closeUnread closes the connection that is closed first for want of room, if there is one.
func (l *Listener) closeUnread() {
	l.mu.Lock()
	unread := l.table.Unread()
	l.mu.Unlock()
	l.shed(door.Decision[*conn]{Close: unread})
}

// EndLateBody ends the request whose body has been late for longest, as not run, if there is one. It is called when a
// request finds no memory, so that the next one does.
func (l *Listener) EndLateBody() {
	l.mu.Lock()
	late := l.table.SlowBody(time.Now())
	l.mu.Unlock()
	l.shed(door.Decision[*conn]{End: late})
}

// shed carries out a decision about other connections than the new one.
func (l *Listener) shed(decision door.Decision[*conn]) {
	if unread := decision.Close; unread != nil {
		unread.Value.Close()
		l.onShed(door.Unread)
	}
	if late := decision.End; late != nil {
		l.mu.Lock()
		late.Value.expire()
		l.mu.Unlock()
		_ = late.Value.applyReadDeadline() // a closed connection has no deadlines
		l.onShed(door.LateBody)
	}
}

// holdHeader reserves memory for more bytes of a header. The caller holds the lock.
func (c *conn) holdHeader(data []byte) error {
	c.headerBytes += int64(len(data))
	c.headerLines += int64(bytes.Count(data, []byte{'\n'}))
	if c.listener.memory == nil {
		return nil
	}
	size := door.HeadBytes(c.headerBytes, c.headerLines)
	more := size - c.headerHeld
	if more <= 0 {
		return nil
	}
	if err := c.listener.memory.Reserve(more, size); err != nil {
		return fmt.Errorf("header: %w", err)
	}
	c.headerHeld += more
	return nil
}

// releaseHeader returns the memory of a header. The caller holds the lock.
func (c *conn) releaseHeader() {
	if c.headerHeld > 0 {
		c.listener.memory.Release(c.headerHeld)
	}
	c.headerBytes, c.headerLines, c.headerHeld = 0, 0, 0
}
