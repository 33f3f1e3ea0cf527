package hosted

import (
	"fmt"
	"io"
	"sync/atomic"
)

// initialBufferBytes is the initial size of the buffer of a response; it doubles from then on.
const initialBufferBytes = 4 << 10

// responseBuffers bounds the memory of responses that are buffered until they are complete, each
// of them and all together. A faulty worker may send bytes without end.
type responseBuffers struct {
	limit int64
	used  atomic.Int64
}

// newResponseBuffers returns the bound for a process with a memory limit. It is at least
// maxBufferedBytes.
func newResponseBuffers(memoryMB int64) *responseBuffers {
	limit := int64(bufferedShare * float64(memoryMB<<20))
	return &responseBuffers{limit: max(limit, maxBufferedBytes)}
}

// readAll reads a body to its end. The release function returns its memory to the bound and must
// be called in any case, also after an error.
func (b *responseBuffers) readAll(body io.Reader) (data []byte, release func(), err error) {
	taken := int64(0)
	release = func() { b.used.Add(-taken) }
	for {
		if len(data) == cap(data) {
			grow := int64(max(cap(data), initialBufferBytes))
			taken += grow
			if b.used.Add(grow) > b.limit {
				return nil, release, fmt.Errorf("buffered responses exceed %d bytes", b.limit)
			}
			data = append(make([]byte, 0, int64(cap(data))+grow), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case err == io.EOF:
			return data, release, nil
		case err != nil:
			return nil, release, err
		case len(data) > maxBufferedBytes:
			return nil, release, fmt.Errorf("response exceeds %d bytes", maxBufferedBytes)
		}
	}
}
