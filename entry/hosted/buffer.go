package hosted

import (
	"fmt"
	"io"

	"go.uber.org/zap"

	"laburnumgw/lib/membudget"
)

const (
	// requestBytes and connBytes are what a request and a connection take at least: stacks, buffers and heads of
	// the usual size.
	requestBytes = 16 << 10
	connBytes    = 12 << 10
	// usualEventBytes is the size up to which the buffer of a stream is part of requestBytes.
	usualEventBytes = 4 << 10
	// firstResponseBytes bounds the first buffer of a response. What a worker declares may never arrive.
	firstResponseBytes = 64 << 10
)

// connMemory is the memory of connections, with callers and idle ones with workers, and of long heads on them.
type connMemory struct {
	*membudget.Account
	metrics *entryMetrics
	log     *zap.Logger
}

// Reserve implements drain.Memory and workerconn.Memory.
func (m *connMemory) Reserve(n, size int64) error {
	err := m.metrics.countMemoryRefusal("connection", m.Account.Reserve(n, size))
	if err != nil {
		m.log.Info("no memory for a connection", zap.Error(err))
	}
	return err
}

// responseBuffers reads responses that are buffered until they are complete. A faulty worker may send bytes without end.
type responseBuffers struct{}

// readAll reads a body, of the given length if that is not negative, to its end. The release function returns its memory
// to the account and must be called in any case, also after an error.
func (responseBuffers) readAll(c *call, body io.Reader, length int64) (data []byte, release func(), err error) {
	first, limit := int64(membudget.FirstBytes), int64(maxBufferedBytes)
	if length >= 0 && length <= limit {
		first, limit = min(length, firstResponseBytes), length
	}
	data, held, err := c.heldResponses.ReadAll(body, first, limit)
	return data, func() { c.heldResponses.Release(held) }, c.metrics.countMemoryRefusal("response", err)
}

// hold reserves memory for an event that exceeds the usual size.
func (s *stream) hold() error {
	size := int64(cap(s.pending))
	if size <= usualEventBytes || size <= s.held {
		return nil
	}
	if err := s.a.heldResponses.Reserve(size-s.held, size); err != nil {
		return fmt.Errorf("%w: %w", errTruncated, s.a.metrics.countMemoryRefusal("stream", err))
	}
	s.held = size
	return nil
}
