package entry

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/membudget"
)

// Guards against large bodies of many callers, or responses without end, that exceed the memory of the entry together:
// bodies that find none are refused as not run, responses never are, and small requests go on.
func TestBodiesAndResponsesStayWithinTheMemory(t *testing.T) {
	budget := membudget.New(20 << 20)
	snapshot := testSnapshot(t)
	ask := func(size int) (*membudget.Account, error) {
		held := budget.Open()
		r := httptest.NewRequest(http.MethodPost, "/free/x", bytes.NewReader(make([]byte, size)))
		_, err := parseRequest(r, "id", snapshot, time.Now(), func(head *request) error {
			head.held = held
			return nil
		})
		return held, err
	}
	var accounts []*membudget.Account
	refused := 0
	for range 12 {
		held, err := ask(maxBodyBytes)
		var typed *errkind.Error
		switch {
		case err == nil:
			accounts = append(accounts, held)
		case !errkind.Is(err, errkind.NotRun) || !errors.As(err, &typed) || typed.RetryAfter <= 0:
			t.Fatal(err)
		default:
			refused++
			held.Close()
		}
	}
	if len(accounts) != 4 || refused != 8 {
		t.Errorf("%d bodies were read, %d refused", len(accounts), refused)
	}
	out := &httpResponder{w: httptest.NewRecorder(), id: "r", limit: maxResponseBytes, started: time.Now(), metrics: newEntryMetrics(), held: budget.Open()}
	accounts = append(accounts, out.held)
	var err error
	for range maxResponseBytes >> 20 {
		if err = out.data(make([]byte, 1<<20)); err != nil {
			break
		}
	}
	if !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Errorf("long response: %v", err)
	}
	for range 10 {
		held, err := ask(16 << 10)
		if err != nil {
			t.Fatalf("small request: %v", err)
		}
		accounts = append(accounts, held)
	}
	if budget.Held() > budget.Limit() {
		t.Errorf("%d bytes held", budget.Held())
	}
	for _, held := range accounts {
		held.Close()
	}
	if budget.Held() != 0 {
		t.Errorf("%d bytes still held", budget.Held())
	}
}
