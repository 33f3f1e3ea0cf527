package e2e

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"laburnumgw/fleet"
)

// session records the output that an operator and a caller see.
type session struct {
	*system
	text bytes.Buffer
}

func (s *session) ctl(args ...string) {
	s.t.Helper()
	fmt.Fprintf(&s.text, "$ laburnumctl %s\n", strings.Join(args, " "))
	if err := s.Ctl(s.context(), &s.text, args...); err != nil {
		fmt.Fprintf(&s.text, "%s\n", regexp.MustCompile(`exit status \d+`).FindString(err.Error()))
	}
}

func (s *session) response(what string, response fleet.Response, err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatalf("%s: %v", what, err)
	}
	fmt.Fprintf(&s.text, "> %s\n%d %s replayed=%q\n%s\n", what, response.Status, response.Header.Get("Content-Type"),
		response.Header.Get("Idempotent-Replayed"), strings.TrimSpace(response.Body))
}

// replaceVolatile replaces the parts that differ between runs: request ids, ports and directories.
func replaceVolatile(text, dir string) string {
	text = strings.ReplaceAll(text, dir, "DIR")
	text = regexp.MustCompile(`[A-Z2-7]{26}`).ReplaceAllString(text, "REQUEST-ID")
	return regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(text, "ADDRESS")
}

// Guards against unintended changes of the output that operators and callers see in a session.
func TestSession(t *testing.T) {
	w := startSystem(t, 3, 3, 1, time.Millisecond)
	s := &session{system: w}
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	weights := write("weights.bin", string(content(11)))
	write("bad/10.yaml", "zones:\n  a: {region: north, stat: out}\nmodels:\n  rota: {version: v1, replicas_per_zone: -1}\n")

	s.ctl("config", "check", filepath.Join(dir, "bad"))
	s.ctl("model", "publish", model, "v2", weights)
	s.ctl("model", "list")
	s.ctl("config", "origin", "models.rota.version")
	chat, err := fleet.Chat(s.context(), w.Entries[0], model, "Draft the rota", 3)
	s.response("chat with three tokens", chat, err)
	s.response("booking", w.book("session-1", "monday"), nil)
	repeat, err := fleet.Book(s.context(), w.Entries[1], service, "session-1", "monday")
	s.response("the same booking through another entry", repeat, err)
	other, err := fleet.Book(s.context(), w.Entries[1], service, "session-1", "tuesday")
	s.response("the same key with another shift", other, err)
	missing, err := fleet.Do(s.context(), http.MethodPost, w.Entries[2].HTTP+"/bookings", `{"shift":"x"}`, nil)
	s.response("a booking without a key", missing, err)
	unknown, err := fleet.Chat(s.context(), w.Entries[2], "other", "hello", 1)
	s.response("an unknown model", unknown, err)
	s.ctl("zone", "out", "c")
	s.ctl("zone", "out", "c")
	s.ctl("zone", "in", "c")
	s.ctl("zone", "out", "nowhere")
	s.ctl("explain", "unknown-request")

	goldie.New(t).Assert(t, "session", []byte(replaceVolatile(s.text.String(), dir)))
}
