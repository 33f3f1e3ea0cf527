package hosted

import (
	"fmt"
	"io"
	"sync/atomic"
)

// initialBufferBytes is the size by which the buffer of a held answer grows at first.
const initialBufferBytes = 4 << 10

// responseBuffers bounds the memory of the answers that are held until they are whole, each of
// them and all together. A worker in trouble may send bytes without end.
type responseBuffers struct {
	limit int64
	used  atomic.Int64
}

// newResponseBuffers returns the bound for a process with a memory limit.
func newResponseBuffers(memoryMB int64) *responseBuffers {
	limit := int64(bufferedShare * float64(memoryMB<<20))
	return &responseBuffers{limit: max(limit, maxBufferedBytes)}
}

// readAll reads a body to its end. The release function gives its memory back and must be
// called in any case.
func (h *responseBuffers) readAll(body io.Reader) (data []byte, release func(), err error) {
	taken := int64(0)
	release = func() { h.used.Add(-taken) }
	for {
		if len(data) == cap(data) {
			grow := int64(max(cap(data), initialBufferBytes))
			taken += grow
			if h.used.Add(grow) > h.limit {
				return nil, release, fmt.Errorf("held answers exceed %d bytes", h.limit)
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
			return nil, release, fmt.Errorf("answer exceeds %d bytes", maxBufferedBytes)
		}
	}
}
