package hosted

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// Kinds of responses without end.
const (
	EndlessBody       = "body"
	EndlessChunks     = "chunks"
	EndlessFields     = "fields"
	EndlessLine       = "line"
	EndlessInterim    = "interim"
	EndlessTrailers   = "trailers"
	EndlessExtensions = "extensions"
)

// endlessResponse is what follows the head of a response: once, and then repeated without end.
type endlessResponse struct {
	afterHead, repeated string
}

// floodBytes is the length of what is repeated.
const floodBytes = 32 << 10

var endlessResponses = map[string]endlessResponse{
	EndlessBody:       {"\r\n", strings.Repeat("junk ", floodBytes/5)},
	EndlessChunks:     {"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", floodBytes, strings.Repeat("j", floodBytes))},
	EndlessFields:     {"", strings.Repeat("Field: value\r\n", floodBytes/14)},
	EndlessLine:       {"Field: ", strings.Repeat("junk ", floodBytes/5)},
	EndlessInterim:    {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", floodBytes/38)},
	EndlessTrailers:   {"Transfer-Encoding: chunked\r\n\r\n1\r\nj\r\n0\r\n", strings.Repeat("Field: value\r\n", floodBytes/14)},
	EndlessExtensions: {"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1;extension="+strings.Repeat("e", 500)+"\r\nj\r\n", floodBytes/520)},
}

const (
	// longSegment begins the segment of a path that holds the length of a response, and endlessSegment the one that
	// holds a kind of response without end.
	longSegment    = "long-"
	endlessSegment = "endless-"
)

// LongPath returns a path below a prefix that gets a response of a length.
func LongPath(prefix string, length int) string {
	return fmt.Sprintf("%s%s%d/", prefix, longSegment, length)
}

// EndlessPath returns a path below a prefix that gets a response without end.
func EndlessPath(prefix, kind string) string {
	return fmt.Sprintf("%s%s%s/", prefix, endlessSegment, kind)
}

func segment(path, name string) string {
	_, rest, _ := strings.Cut(path, "/"+name)
	text, _, _ := strings.Cut(rest, "/")
	return text
}

// respondVolume sends a response of the length, or of the kind without end, that a path names. It reports whether the
// path names one.
func (w *Worker) respondVolume(out http.ResponseWriter, r *http.Request) bool {
	if kind, ok := endlessResponses[segment(r.URL.Path, endlessSegment)]; ok {
		conn, _, err := http.NewResponseController(out).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer conn.Close()
		kind.write(conn, out.Header())
		return true
	}
	length, err := strconv.Atoi(segment(r.URL.Path, longSegment))
	if err != nil {
		return false
	}
	out.Header().Set("Content-Length", strconv.Itoa(length))
	w.boundUnread(out)
	// The write fails when the caller has disconnected, or does not read.
	_, err = out.Write(bytes.Repeat([]byte("l"), length))
	w.countUnread(err)
	return true
}

// write writes until the connection is closed.
func (k endlessResponse) write(conn net.Conn, header http.Header) {
	var head bytes.Buffer
	if !strings.HasPrefix(k.repeated, "HTTP/") {
		head.WriteString("HTTP/1.1 200 OK\r\n")
		_ = header.Write(&head) // writes to a buffer do not fail
		head.WriteString(k.afterHead)
	}
	_, err := conn.Write(head.Bytes())
	for err == nil {
		_, err = io.WriteString(conn, k.repeated)
	}
}
