package hosted

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a stand-in that loses the status of an object when its specification is written, or writes a
// status over a later change. What the daemon records there would vanish in tests only, or never.
func TestStatusOfAnObject(t *testing.T) {
	s := NewStore()
	s.Put("servers", "w", map[string]int{"slots": 1})
	send := func(method, path, body string) (int, Object) {
		out := httptest.NewRecorder()
		s.ServeHTTP(out, httptest.NewRequest(method, "/-/objects/servers"+path, strings.NewReader(body)))
		var object Object
		if out.Body.Len() > 0 {
			if err := json.Unmarshal(out.Body.Bytes(), &object); err != nil {
				t.Fatal(err)
			}
		}
		return out.Code, object
	}
	check := func(step string, gotStatus, wantStatus int, object Object, revision int64, specification, status string) {
		t.Helper()
		if gotStatus != wantStatus || object.Metadata.Revision != revision || string(object.Specification) != specification || string(object.Status) != status {
			t.Errorf("%s: %d, revision %d, specification %s, status %s", step, gotStatus, object.Metadata.Revision, object.Specification, object.Status)
		}
	}
	code, got := send(http.MethodPut, "/w/status", `{"metadata":{"name":"w","revision":2},"status":{"proven":1}}`)
	check("status", code, http.StatusOK, got, 3, `{"slots":1}`, `{"proven":1}`)
	code, got = send(http.MethodPut, "/w/status", `{"metadata":{"name":"w","revision":2},"status":{"proven":2}}`)
	check("status of an earlier revision", code, http.StatusConflict, got, 3, `{"slots":1}`, `{"proven":1}`)
	code, got = send(http.MethodPut, "/w/status?revision=2", `{"status":{"proven":2}}`)
	check("status of an earlier revision in the query", code, http.StatusConflict, got, 3, `{"slots":1}`, `{"proven":1}`)
	code, got = send(http.MethodPut, "/w/status", `{"status":{"proven":1}}`)
	check("status that changes nothing", code, http.StatusOK, got, 3, `{"slots":1}`, `{"proven":1}`)
	code, got = send(http.MethodPut, "/w", `{"metadata":{"name":"w"},"specification":{"slots":2}}`)
	check("specification", code, http.StatusOK, got, 4, `{"slots":2}`, `{"proven":1}`)
	s.Put("servers", "w", map[string]int{"slots": 3})
	code, got = send(http.MethodGet, "/w", "")
	check("object", code, http.StatusOK, got, 5, `{"slots":3}`, `{"proven":1}`)
	if code, _ := send(http.MethodGet, "/x", ""); code != http.StatusNotFound {
		t.Errorf("object that is not there: status %d", code)
	}
	if code, _ := send(http.MethodPut, "/x/status", `{"status":1}`); code != http.StatusNotFound {
		t.Errorf("status of an object that is not there: status %d", code)
	}
	out := httptest.NewRecorder()
	s.ServeHTTP(out, httptest.NewRequest(http.MethodGet, "/-/objects/servers?watch=2&wait_ms=1", nil))
	var page struct {
		Events []struct{ Object Object }
	}
	if err := json.Unmarshal(out.Body.Bytes(), &page); err != nil {
		t.Fatal(err)
	}
	var seen []string
	for _, e := range page.Events {
		seen = append(seen, fmt.Sprint(e.Object.Metadata.Revision, string(e.Object.Status)))
	}
	if want := `3{"proven":1} 4{"proven":1} 5{"proven":1}`; strings.Join(seen, " ") != want {
		t.Errorf("events %v, want %s", seen, want)
	}
	s.Delete("servers", "w")
	s.Put("servers", "w", map[string]int{"slots": 1})
	if status := s.Status("servers", "w"); status != nil {
		t.Errorf("a new object has the status %s", status)
	}
}
