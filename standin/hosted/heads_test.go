package hosted

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a stand-in that does not close connections within the heads of its responses, closes them always at
// the same place, or does not run the request before.
func TestWorkerBreaksOffHeads(t *testing.T) {
	w := &Worker{ID: "w"}
	server := httptest.NewServer(w)
	defer server.Close()
	send := func(id string) string {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "GET /view/x HTTP/1.1\r\nHost: h\r\nX-Laburnumgw-Request-Id: %s\r\nX-Laburnumgw-Expect-Instance: w\r\nConnection: close\r\n\r\n", id)
		data, err := io.ReadAll(conn)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	w.SetHeadBreaks(HeadBreaks{Every: 2})
	lengths := make(map[int]bool)
	const requests = 40
	for n := range requests {
		id := fmt.Sprint(n)
		got := send(id)
		isBroken := !strings.Contains(got, "\r\n\r\n")
		if isBroken != (n%2 == 1) || w.Runs(id) != 1 {
			t.Errorf("request %d ran %d times and got %q", n, w.Runs(id), got)
		}
		if isBroken {
			lengths[len(got)] = true
		}
	}
	if len(lengths) < requests/4 || w.HeadsBroken() != requests/2 {
		t.Errorf("%d heads broken off, at %d places", w.HeadsBroken(), len(lengths))
	}
	w.SetHeadBreaks(HeadBreaks{Every: 1, Resumed: true})
	if got := send("new"); !strings.Contains(got, fmt.Sprint(http.StatusOK)) || !strings.Contains(got, "\r\n\r\n") {
		t.Errorf("response to a request that resumes no stream: %q", got)
	}
}
