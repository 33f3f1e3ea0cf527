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

// brokenHeadNetwork is the second byte of the loopback addresses.
const brokenHeadNetwork = 43

// Guards against a success, or a promise that the request has not run, for a response whose worker has closed its
// connection within the head, against a resumed stream that ends there as if it were complete, and against orders and
// reports that get lost so.
func TestResponseThatEndsWithinItsHeadIsNoSuccess(t *testing.T) {
	options := soakOptions(t, buildPrograms(t), brokenHeadNetwork)
	options.Models = 3
	f := startHosted(t, options)
	w := &system{t: t}
	w.until("empty workers are filled", func() bool { return servesVersion(f, 1) })
	version := 1
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("plain, reset %v", reset), func(t *testing.T) {
			setHeadBreaks(f.PlainWorkers, hosted.HeadBreaks{Every: 1, Reset: reset})
			checkBrokenPlain(t, f, reset)
			setHeadBreaks(f.PlainWorkers, hosted.HeadBreaks{})
		})
		t.Run(fmt.Sprintf("resumed streams, reset %v", reset), func(t *testing.T) {
			setHeadBreaks(f.ModelWorkers, hosted.HeadBreaks{Every: 1, Resumed: true, Reset: reset})
			for _, m := range f.ModelWorkers {
				m.SetBreaks(hosted.Breaks{After: 3})
			}
			want := strings.ReplaceAll(streamText(3), "version 1", fmt.Sprint("version ", version))
			for n := range 8 {
				if body, err := readChat(t, f.Entries[n%len(f.Entries)], fmt.Sprintf("%v-%d", reset, n)); err == nil || body != want {
					t.Errorf("%q, %v; want a stream that is cut", body, err)
				}
			}
			for _, m := range f.ModelWorkers {
				m.SetBreaks(hosted.Breaks{})
			}
		})
		t.Run(fmt.Sprintf("orders and reports, reset %v", reset), func(t *testing.T) {
			version++
			setHeadBreaks(f.ModelWorkers, hosted.HeadBreaks{Every: 2, Reset: reset})
			f.Origin.SetNewest(version)
			f.PublishVersion(version)
			w.until(fmt.Sprintf("version %d is in force", version), func() bool { return servesVersion(f, version) })
			setHeadBreaks(f.ModelWorkers, hosted.HeadBreaks{})
			for _, m := range f.ModelWorkers {
				if err := m.Err(); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

func setHeadBreaks(workers []*soak.ProxiedWorker, b hosted.HeadBreaks) {
	for _, m := range workers {
		m.SetHeadBreaks(b)
	}
}

// checkBrokenPlain sends requests to plain services all of whose workers break off heads.
func checkBrokenPlain(t *testing.T, f *soak.Fleet, reset bool) {
	t.Helper()
	ran := 0
	for n := range 60 {
		route, method, most := "book", http.MethodPost, 1
		if n%3 == 0 {
			route, method, most = "view", http.MethodGet, 2
		}
		id := fmt.Sprintf("%s-%v-%d", route, reset, n)
		status, body, err := askPlain(t, f.Entries[n%len(f.Entries)], method, route, id)
		runs := 0
		for _, m := range f.PlainWorkers {
			runs += m.Runs(id)
		}
		if runs > 0 {
			ran++
		}
		want := http.StatusBadGateway
		if runs == 0 {
			want = http.StatusServiceUnavailable
		}
		if err != nil || status != want || runs > most {
			t.Errorf("%s ran %d times and was answered %d, %q, %v", id, runs, status, body, err)
		}
	}
	if ran < 20 {
		t.Errorf("only %d requests ran", ran)
	}
}

// askPlain sends one request on a plain route and returns the response.
func askPlain(t *testing.T, entry *soak.Process, method, route, id string) (status int, body string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+entry.Frontend()+"/"+route+"/"+id, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host, request.GetBody = soak.Host, nil
	hosted.SetRequestHeaders(request.Header, id, "key", "2000", "")
	client := http.Client{Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err //nolint:wrapcheck // the caller reports it
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err //nolint:wrapcheck // the caller reports it
}
