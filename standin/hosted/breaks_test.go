package hosted

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a stand-in that breaks off a stream between two events whose end is that of its connection: nobody
// can tell it from a whole one, and the soak would blame entries for it.
func TestBrokenStreamIsNoWholeOne(t *testing.T) {
	w := &Worker{ID: "w", Model: Model{Name: "m", Chunks: 1, ChunkBytes: 8, Layers: 1}, Events: 3, UnmarkedEvery: 1}
	w.Load(1)
	server := httptest.NewServer(w)
	defer server.Close()
	for _, breaks := range []Breaks{{}, {After: 1}, {After: 2}} {
		w.SetBreaks(breaks)
		request, err := http.NewRequest(http.MethodGet, server.URL+"/chat/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Laburnumgw-Expect-Instance", "w")
		response, err := server.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if broken := breaks.After > 0; (err != nil) != broken {
			t.Errorf("%+v: body %q: %v", breaks, body, err)
		}
	}
}
