package endpoint

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"golang.org/x/time/rate"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/weights"
)

// Guards against other bytes of a weight store that count as a chunk, which is then called corrupt, because the store
// answers with the whole content or another part of it.
func TestChunkIsThePartThatWasAskedFor(t *testing.T) {
	for name, c := range map[string]struct {
		status             int
		contentRange, body string
		chunk              int
		want               string
	}{
		"part":                  {http.StatusPartialContent, "bytes 4-7/12", "efgh", 1, "efgh"},
		"part, size not known":  {http.StatusPartialContent, "bytes 4-7/*", "efgh", 1, "efgh"},
		"whole, first chunk":    {http.StatusOK, "", "abcdefghijkl", 0, "abcd"},
		"whole, another chunk":  {http.StatusOK, "", "abcdefghijkl", 1, ""},
		"another part":          {http.StatusPartialContent, "bytes 0-3/12", "abcd", 1, ""},
		"longer part":           {http.StatusPartialContent, "bytes 4-11/12", "efghijkl", 1, "efgh"},
		"unreadable place":      {http.StatusPartialContent, "4-7", "efgh", 1, ""},
		"part of unknown place": {http.StatusPartialContent, "", "efgh", 1, "efgh"},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.contentRange != "" {
					w.Header().Set("Content-Range", c.contentRange)
				}
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body)
			}))
			defer server.Close()
			m := &weights.Manifest{Model: "rota", Version: "v1", ChunkSize: 4, Size: 12, Chunks: make([]weights.Digest, 3)}
			got, err := newOriginClient(server.URL, rate.NewLimiter(rate.Inf, 0)).Chunk(t.Context(), m, c.chunk, func() {})
			if string(got) != c.want || errkind.Is(err, errkind.Unavailable) != (c.want == "") {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}
