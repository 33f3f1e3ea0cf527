package workerconn

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"laburnumgw/lib/dial"
)

// errReset marks a response without length and chunks whose connection was reset before its end.
var errReset = fmt.Errorf("connection was reset: %w", io.ErrUnexpectedEOF)

// body is the body of a response. Its errors state whether the connection has ended.
type body struct {
	io.ReadCloser
	response *Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case !errors.Is(err, io.EOF):
		err = b.response.conn.explain(err)
	case b.ReadCloser != http.NoBody && !b.response.EndMarked() && b.response.uploadWasReset():
		err = errReset
	}
	return n, err //nolint:wrapcheck // a reader returns errors unchanged
}

// uploadWasReset ends the write of the request and reports whether it has found a reset of the connection, of which
// a read then finds only the end.
func (r *Response) uploadWasReset() bool {
	// It fails only on a closed connection, on which a write ends by itself.
	_ = r.conn.SetWriteDeadline(time.Now())
	<-r.upload.done
	return dial.FoundReset(r.upload.err)
}
