package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// Guards against a response that ends early and is taken as a shorter list, an older version of an object, or a write
// that was accepted, and against an answer with a status that is none which says that a write had no effect.
func TestResponseThatEndsAtAnyByteIsNoShorterOne(t *testing.T) {
	calls := map[string]struct {
		body string
		call func(ctx context.Context, c *Client) (string, error)
	}{
		"get": {`{"key":"a","value":"eHl6","version":1234}`, func(ctx context.Context, c *Client) (string, error) {
			object, err := c.Get(ctx, "a")
			return fmt.Sprint(object), err
		}},
		"list": {`{"objects":[{"key":"a","version":12},{"key":"b","version":34}],"version":567}`, func(ctx context.Context, c *Client) (string, error) {
			objects, version, err := c.List(ctx, "")
			return fmt.Sprint(objects, version), err
		}},
		"watch": {`{"events":[{"object":{"key":"a","version":12}}],"version":567}`, func(ctx context.Context, c *Client) (string, error) {
			events, version, err := c.Watch(ctx, []string{""}, 5)
			return fmt.Sprint(events, version), err
		}},
		"update": {`{"key":"a","value":"eHl6","version":1234}`, func(ctx context.Context, c *Client) (string, error) {
			object, err := c.Update(ctx, "a", []byte("x"), 12)
			return fmt.Sprint(object), err
		}},
	}
	for name, c := range calls {
		for framing, head := range map[string]string{
			"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(c.body)),
			"chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(c.body)),
			"none":   "HTTP/1.1 200 OK\r\n\r\n",
		} {
			t.Run(name+", "+framing, func(t *testing.T) {
				var mu sync.Mutex
				sent := head + c.body
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					fmt.Fprint(conn, sent)
					conn.Close()
				}))
				defer server.Close()
				client := NewClient(server.URL)
				if _, err := c.call(t.Context(), client); err != nil {
					t.Fatalf("whole value: %v", err)
				}
				text := sent
				for n := range text {
					mu.Lock()
					sent = text[:n]
					mu.Unlock()
					if got, err := c.call(t.Context(), client); err == nil {
						t.Errorf("ended after %q: %s, want an error", text[:n], got)
					}
				}
				for _, status := range []string{"000", "042", "099", "101", "199", "600", "999"} {
					mu.Lock()
					sent = strings.Replace(text, "200 OK", status+" Odd", 1)
					mu.Unlock()
					var unavailable *UnavailableError
					if got, err := c.call(t.Context(), client); IsUnknown(err) != (name == "update") || errors.As(err, &unavailable) != (name != "update") {
						t.Errorf("status %s: %s, %v", status, got, err)
					}
				}
			})
		}
	}
}
