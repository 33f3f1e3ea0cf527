package workerconn

import "fmt"

// Memory bounds the memory of connections. Reserve takes n bytes for what holds size bytes with them.
type Memory interface {
	Reserve(n, size int64) error
	Release(n int64)
}

// BoundMemory has each idle connection take connBytes of a memory, and heads of responses what exceeds usualHeadBytes
// until the response has ended. It is called before the pool is used.
func (p *Pool) BoundMemory(memory Memory, connBytes int64) {
	p.memory, p.connBytes = memory, connBytes
}

// release returns the memory of idle connections.
func (p *Pool) release(count int) {
	if p.memory != nil && count > 0 {
		p.memory.Release(int64(count) * p.connBytes)
	}
}

// close closes the connection and returns the memory of a head.
func (c *conn) close() {
	c.closed.Store(true)
	c.releaseHead()
	c.Close()
}

// holdHead reserves memory for a head of size bytes.
func (c *conn) holdHead(size int64) error {
	more := size - usualHeadBytes - c.headHeld.Load()
	if c.memory == nil || more <= 0 {
		return nil
	}
	if err := c.memory.Reserve(more, size); err != nil {
		return fmt.Errorf("head of the response: %w", err)
	}
	c.headHeld.Add(more)
	if c.closed.Load() {
		c.releaseHead()
	}
	return nil
}

// releaseHead returns the memory of a head.
func (c *conn) releaseHead() {
	if held := c.headHeld.Swap(0); held > 0 {
		c.memory.Release(held)
	}
}
