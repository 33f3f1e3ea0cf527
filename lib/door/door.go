// Package door decides which connections a process keeps when clients that it does not control open more of them, or hold
// more memory with them, than it has. It takes events and a clock, and performs no I/O.
//
// A connection is closed for another one only when there is no room: first the one that has waited longest with a head that
// is not complete, then the one that has been idle longest. No request of theirs has been read, so that none has run. Requests
// whose body is late are ended next, as not run. Requests that are handled
// are never ended for a connection, but for probes.
package door

import "time"

// State is what a connection does.
type State int

const (
	// Head is the wait for a head, that for its first bytes on a new connection included.
	Head State = iota
	// Idle is the time between a response and the first bytes of the next request.
	Idle
	// Body is the reading of a body.
	Body
	// Busy is the handling of a request.
	Busy

	states
)

// Reason is why a connection, or its request, was ended for want of room.
type Reason string

// Reasons.
const (
	// Unread closed a connection on which no request was read, for a new one.
	Unread Reason = "unread"
	// Refused closed a new connection, since requests are read or handled on all others.
	Refused Reason = "refused"
	// LateBody ended a request whose body was late, as not run.
	LateBody Reason = "late_body"
	// NoMemory closed a new connection for which there was no memory.
	NoMemory Reason = "no_memory"
)

// slowBody is the age from which on a body is late when there is no room for others.
const slowBody = time.Second

// Conn is a connection of a table. Value is the user's.
type Conn[T any] struct {
	Value T

	state State
	since time.Time
	// prev and next are the neighbours in the list of the state, nil when the connection is not in the table.
	prev, next *Conn[T]
}

// Table holds the open connections of one door, by state and in the order in which they came into it. It is not safe for
// concurrent use.
type Table[T any] struct {
	limit int
	// unread are the states in which a connection may be closed for a new one, in this order.
	unread []State
	count  int
	// byState holds the ends of one ring for each state.
	byState [states]Conn[T]
}

// NewTable returns a table for limit connections, zero for any number.
func NewTable[T any](limit int) *Table[T] { return newTable[T](limit, Head, Idle) }

// NewProbeTable returns a table for connections with requests that have no effect, so that any may be closed for a new one.
func NewProbeTable[T any](limit int) *Table[T] { return newTable[T](limit, Head, Idle, Body, Busy) }

func newTable[T any](limit int, unread ...State) *Table[T] {
	t := &Table[T]{limit: limit, unread: unread}
	for i := range t.byState {
		end := &t.byState[i]
		end.prev, end.next = end, end
	}
	return t
}

// Decision is what happens when a client connects.
type Decision[T any] struct {
	// Admitted is the new connection, nil when it is closed.
	Admitted *Conn[T]
	// Close is a connection to close, which is no longer in the table; nil for none.
	Close *Conn[T]
	// End is a connection whose request is to be ended as not run; nil for none.
	End *Conn[T]
}

// Connect decides about a new connection.
func (t *Table[T]) Connect(value T, now time.Time) Decision[T] {
	var d Decision[T]
	if t.limit > 0 && t.count >= t.limit {
		if d.Close = t.Unread(); d.Close == nil {
			d.End = t.SlowBody(now)
			return d
		}
	}
	d.Admitted = &Conn[T]{Value: value}
	t.count++
	t.push(d.Admitted, Head, now)
	return d
}

// Unread removes the connection that is closed first for want of room, and returns it; nil for none.
func (t *Table[T]) Unread() *Conn[T] {
	for _, state := range t.unread {
		if c := t.oldest(state); c != nil {
			t.Remove(c)
			return c
		}
	}
	return nil
}

// SlowBody returns the connection whose request is ended first for want of room, nil for none. It is returned once.
func (t *Table[T]) SlowBody(now time.Time) *Conn[T] {
	c := t.oldest(Body)
	if c == nil || now.Sub(c.since) < slowBody {
		return nil
	}
	t.Enter(c, Busy, now)
	return c
}

// Enter records that a connection has come into a state.
func (t *Table[T]) Enter(c *Conn[T], state State, now time.Time) {
	if c.next == nil || c.state == state {
		return
	}
	c.unlink()
	t.push(c, state, now)
}

// Remove records that a connection has ended.
func (t *Table[T]) Remove(c *Conn[T]) {
	if c.next == nil {
		return
	}
	c.unlink()
	t.count--
}

// Count returns the number of connections.
func (t *Table[T]) Count() int { return t.count }

func (t *Table[T]) push(c *Conn[T], state State, now time.Time) {
	c.state, c.since = state, now
	end := &t.byState[state]
	c.prev, c.next = end.prev, end
	c.prev.next, end.prev = c, c
}

func (c *Conn[T]) unlink() {
	c.prev.next, c.next.prev = c.next, c.prev
	c.prev, c.next = nil, nil
}

func (t *Table[T]) oldest(state State) *Conn[T] {
	end := &t.byState[state]
	if end.next == end {
		return nil
	}
	return end.next
}
