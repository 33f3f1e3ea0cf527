package hosted

import (
	"fmt"
	"io"
	"sync/atomic"
)

// heldStep is the size by which the buffer of a held answer grows at first.
const heldStep = 4 << 10

// heldAnswers bounds the memory of the answers that are held until they are whole, each of
// them and all together. A worker in trouble may send bytes without end.
type heldAnswers struct {
	limit int64
	used  atomic.Int64
}

// newHeldAnswers returns the bound for a process with a memory limit.
func newHeldAnswers(memoryMB int64) *heldAnswers {
	limit := int64(heldShare * float64(memoryMB<<20))
	return &heldAnswers{limit: max(limit, maxHeldBytes)}
}

// readAll reads a body to its end. The release function gives its memory back and must be
// called in any case.
func (h *heldAnswers) readAll(body io.Reader) (data []byte, release func(), err error) {
	taken := int64(0)
	release = func() { h.used.Add(-taken) }
	for {
		if len(data) == cap(data) {
			grow := int64(max(cap(data), heldStep))
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
		case len(data) > maxHeldBytes:
			return nil, release, fmt.Errorf("answer exceeds %d bytes", maxHeldBytes)
		}
	}
}
