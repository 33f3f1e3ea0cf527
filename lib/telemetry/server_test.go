package telemetry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a client of a probe or of the metrics that sends a head without end: the server kept up to 1 MB of each.
func TestHeadsOfProbesAreBounded(t *testing.T) {
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Start()
	defer server.Close()
	for length, want := range map[int]int{1 << 10: http.StatusOK, 32 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Long", strings.Repeat("h", length))
		response, err := server.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("header of %d bytes: status %d, want %d", length, response.StatusCode, want)
		}
	}
}
