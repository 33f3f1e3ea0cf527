package ctl

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against an upload that counts as done although the weight store gave no response that accepts it.
func TestUploadIsDoneOnlyOnceTheStoreAcceptsIt(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "101", "199", "200", "304", "507", "600", "999"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nContent-Length: 0\r\n\r\n", status)
				conn.Close()
			}
		}))
		if err := put(t.Context(), server.URL, "rota", "v1", strings.NewReader("data"), 4); (err == nil) != (status == "200") {
			t.Errorf("status %s: %v", status, err)
		}
		server.Close()
	}
}
