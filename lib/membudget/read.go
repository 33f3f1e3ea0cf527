package membudget

import (
	"errors"
	"fmt"
	"io"
)

// FirstBytes is a first size of the buffer of a body whose length is not known.
const FirstBytes = 4 << 10

// ErrTooLarge is returned for a body that exceeds its own bound.
var ErrTooLarge = errors.New("body exceeds its bound")

// ReadAll reads a body of at most limit bytes to its end, into memory of the account. The caller releases the held bytes,
// also after an error. The first bytes are reserved before anything is read, and a body that fits into them is not copied;
// the buffer of a longer one doubles.
func (a *Account) ReadAll(body io.Reader, first, limit int64) (data []byte, held int64, err error) {
	first = min(first, limit)
	if err := a.Reserve(first, first); err != nil {
		return nil, 0, err
	}
	data, held = make([]byte, 0, first), first
	var next [1]byte
	for {
		into := data[len(data):cap(data)]
		full := len(into) == 0
		if full {
			// Only a further read tells whether the body ends here.
			into = next[:]
		}
		n, err := body.Read(into)
		if full && n > 0 {
			var growErr error
			if data, held, growErr = a.grow(data, held, limit); growErr != nil {
				return nil, held, growErr
			}
			data = append(data, next[0])
		} else {
			data = data[:len(data)+n]
		}
		if errors.Is(err, io.EOF) {
			return data, held, nil
		}
		if err != nil {
			return nil, held, err //nolint:wrapcheck // a reader returns errors unchanged
		}
	}
}

// grow doubles a full buffer. Both buffers are held until the old one is copied.
func (a *Account) grow(data []byte, held, limit int64) ([]byte, int64, error) {
	if held >= limit {
		return nil, held, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
	}
	size := min(max(2*held, FirstBytes), limit)
	if err := a.Reserve(size, size); err != nil {
		return nil, held, err
	}
	grown := append(make([]byte, 0, size), data...)
	a.Release(held)
	return grown, size, nil
}
