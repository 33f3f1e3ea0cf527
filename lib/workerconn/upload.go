package workerconn

import "time"

// inlineBytes is how much of a request is written in one piece before its response is waited for. It fits into
// the send buffer of a new connection, so that the write does not wait for the worker.
const inlineBytes = 16 << 10

// upload is the writing of the rest of a request. A worker may respond before it has read a long
// body, and read on later or not at all.
type upload struct {
	// done is closed when the write has ended, at endedAt with err.
	done    chan struct{}
	endedAt time.Time
	err     error
}

// startUpload writes a request, what exceeds inlineBytes in the background. It returns the number of
// bytes that were written, and the error, of the first part. The write ends with the connection.
func (c *conn) startUpload(r *Request) (*upload, int, error) {
	first, rest := r.encode()
	n, err := c.Write(first)
	u := &upload{done: make(chan struct{})}
	if err != nil || len(rest) == 0 {
		u.end(err)
		return u, n, err
	}
	go func() {
		var err error
		for at := 0; at < len(rest) && err == nil; at++ {
			_, err = c.Write(rest[at])
		}
		u.end(err)
	}()
	return u, n, nil
}

func (u *upload) end(err error) {
	u.err, u.endedAt = err, time.Now()
	close(u.done)
}

// complete reports whether all of the request was written.
func (u *upload) complete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// timeout returns a timeout that counts from the end of the write. A worker is not expected to
// respond before it has received the request.
func (u *upload) timeout(timeout TimeoutFunc) TimeoutFunc {
	if timeout == nil {
		return nil
	}
	return func(waited time.Duration) time.Duration {
		select {
		case <-u.done:
			return timeout(min(waited, time.Since(u.endedAt)))
		default:
			return timeout(0)
		}
	}
}
