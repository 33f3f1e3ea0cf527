package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"laburnumgw/soak"
	"laburnumgw/standin/hosted"
)

// brokenStreamNetwork is the second byte of the loopback addresses.
const brokenStreamNetwork = 42

// Guards against a stream that had begun and was broken off, and to whose caller the entry then passed what the
// next worker answered: the text of an error amid the events, or an end as if the stream were complete.
func TestBrokenStreamGetsNoErrorOfTheNextWorker(t *testing.T) {
	options := soakOptions(t, buildPrograms(t), brokenStreamNetwork)
	options.Models = 3
	f := startHosted(t, options)
	w := &system{t: t}
	w.until("empty workers are filled", func() bool { return servesVersion(f, 1) })
	const events, began = 8, 3
	for _, inside := range []bool{false, true} {
		for _, failure := range []int{0, http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound, http.StatusOK} {
			t.Run(fmt.Sprintf("inside an event %v, then %d", inside, failure), func(t *testing.T) {
				for _, m := range f.ModelWorkers {
					m.SetBreaks(hosted.Breaks{After: began, Inside: inside, Failure: failure})
				}
				for n := range 4 {
					body, err := readChat(t, f.Entries[n%len(f.Entries)], fmt.Sprintf("%v-%d-%d", inside, failure, n))
					want := streamText(began)
					if failure == 0 {
						want = streamText(events)
					}
					if body != want || (err == nil) != (failure == 0) {
						t.Errorf("%q, %v; want %q", body, err, want)
					}
				}
			})
		}
	}
}

// readChat sends a model request and returns what its caller got of the body. The error is nil when the body
// was complete.
func readChat(t *testing.T, entry *soak.Process, id string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+entry.Frontend()+"/chat/"+id, strings.NewReader("prompt "+id))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = soak.Host
	hosted.SetRequestHeaders(request.Header, id, "key", "6000", "900,48", "5c1e07a2")
	client := http.Client{Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d", response.StatusCode)
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err //nolint:wrapcheck // whether there is one is all that counts
}

// streamText returns the events of a stream of version 1 up to the given one.
func streamText(last int) string {
	var b strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: version 1\n\n", id)
	}
	return b.String()
}
