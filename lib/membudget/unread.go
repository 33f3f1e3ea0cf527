package membudget

import (
	"fmt"
	"strconv"
	"sync"
)

const (
	// partyFactor is the multiple of the free memory that responses which one party has not read may take: alone, two
	// thirds of the limit. The fuller the memory is, the less that is, so that those that hold least are refused last.
	partyFactor = 2
	// admittedFactor is the same for a party that begins another request, so that responses to those that run find room.
	admittedFactor = 1
)

// Unread counts what a budget holds for parties that have not read it, such as the callers of a workspace, so that a crowd
// of slow readers leaves room to others. It is safe for concurrent use.
type Unread struct {
	budget *Budget

	mu sync.Mutex
	// held has no entry for parties that hold nothing.
	held map[string]int64
}

// NewUnread returns the count for a budget, which holds the bytes.
func NewUnread(b *Budget) *Unread { return &Unread{budget: b, held: make(map[string]int64)} }

// UnreadError refuses memory to a party that has not read what is held for it.
type UnreadError struct {
	Party string
	// Held is what is held for it, which exceeds Part.
	Held, Part int64
}

// Error implements error.
func (e *UnreadError) Error() string {
	return fmt.Sprintf("%d bytes of responses wait for callers of %s to read them, of which %d may wait", e.Held, strconv.Quote(e.Party), e.Part)
}

// Check returns an UnreadError if so much waits for a party that it should begin nothing more.
func (u *Unread) Check(party string) error { return u.check(party, admittedFactor, 0) }

// Fits returns an UnreadError if n bytes more are too much for a party.
func (u *Unread) Fits(party string, n int64) error { return u.check(party, partyFactor, n) }

func (u *Unread) check(party string, factor, n int64) error {
	u.mu.Lock()
	held := u.held[party]
	u.mu.Unlock()
	if held+n == 0 {
		return nil
	}
	if part := factor * max(0, u.budget.Limit()-u.budget.Held()-n); held+n > part {
		return &UnreadError{Party: party, Held: held + n, Part: part}
	}
	return nil
}

// Add counts n bytes that a party has not read, or has read if n is negative.
func (u *Unread) Add(party string, n int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	held := u.held[party] + n
	switch {
	case held < 0:
		panic(fmt.Sprintf("membudget: %d bytes unread", held))
	case held == 0:
		delete(u.held, party)
	default:
		u.held[party] = held
	}
}

// Held returns the number of bytes that all parties have not read.
func (u *Unread) Held() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	sum := int64(0)
	for _, held := range u.held {
		sum += held
	}
	return sum
}
