package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"laburnumgw/standin/hosted"
)

// Outcome is the result of one request as its caller saw it.
type Outcome struct {
	ID     string
	Kind   string
	Entry  string
	Key    string
	Sent   time.Time
	Ended  time.Time
	Status int
	// Err is set when no complete response arrived.
	Err error
	// Deadly is set when workers crash on the request, and NearlyDeadly when it differs from a
	// deadly one in its body or its workspace alone.
	Deadly, NearlyDeadly bool
	// Late is set for a request that was sent in a planned stop on a connection that had been silent.
	Late bool
	// Expired is set when a response had begun and its time budget ended before it was complete.
	Expired bool
	// Violation is set when a successful response breaks a guarantee of the system.
	Violation error
}

// Callers send requests to all entries until they are stopped. They reuse their connections
// until these are closed.
type Callers struct {
	fleet  *Fleet
	client *http.Client
	ctx    context.Context
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	outcomes []Outcome
}

// streamEvents is the number of events of a whole stream.
const streamEvents = 8

// callerPause is the time between two requests of one caller.
const callerPause = 40 * time.Millisecond

// refusalPause is what one of many callers of streams pauses for longer after a refusal.
const refusalPause = 300 * time.Millisecond

// With an overload there are overloadCallers in place of each caller, and overloadRoom streams run at once at a worker.
const (
	overloadCallers = 5
	overloadRoom    = 3
	// callerNumbers separates the requests of callers of the same kind at an entry.
	callerNumbers = 1_000_000
)

// StartCallers starts one caller for each kind of request at each entry. The seed is part of the
// request ids.
func (f *Fleet) StartCallers(seed uint64) *Callers {
	c := f.newCallers()
	callers := 1
	if f.Overload {
		callers = overloadCallers
	}
	for i, entry := range f.Entries {
		for k := range 3 * max(callers, f.ChatCallers) {
			kind, first := []string{kindChat, kindBook, kindView}[k%3], k/3*callerNumbers
			if kind != kindChat && k/3 >= callers {
				continue
			}
			c.repeat(func(n int) {
				n += first
				o := c.send(entry, kind, fmt.Sprintf("%d-%s-%d-%d", seed, kind, i, n), n)
				c.record(o)
				time.Sleep(callerPause)
				if f.ChatCallers > 0 && o.Status != http.StatusOK {
					time.Sleep(refusalPause)
				}
			})
		}
	}
	return c
}

func (f *Fleet) newCallers() *Callers {
	ctx, stop := context.WithCancel(context.Background())
	return &Callers{fleet: f, ctx: ctx, stop: stop, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// repeat starts a caller that sends one request after another, which it numbers.
func (c *Callers) repeat(send func(n int)) {
	c.done.Go(func() {
		for n := 0; c.ctx.Err() == nil; n++ {
			send(n)
		}
	})
}

// Stop stops the callers, waits for their open requests and returns all outcomes.
func (c *Callers) Stop() []Outcome {
	c.stop()
	c.done.Wait()
	return c.outcomes
}

func (c *Callers) record(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// message is a request of a caller.
type message struct {
	id, kind, method, path, body, key string
	// deadlineMs is the time budget.
	deadlineMs string
	// chunked is set for a body without a length.
	chunked bool
	// parts are the shared parts of the prompt.
	parts []string
}

// newMessage returns the n-th request of a caller, and the deadly part or request in it.
func (f *Fleet) newMessage(entry *Process, kind, id string, n int) (m message, isDeadly, isNearlyDeadly bool) {
	m = message{id: id, kind: kind, method: http.MethodPost, path: "/" + kind + "/" + id, body: "body-" + id, key: APIKey, deadlineMs: "6000"}
	if kind == kindView {
		m.method, m.body = http.MethodGet, ""
	}
	if kind == kindChat {
		m.parts = []string{systemPart, entry.Name}
		if part := f.deadlyPartOf(n); part != "" {
			m.parts = append(m.parts, part)
			return m, true, false
		}
	}
	v := f.variantOf(kind, n)
	if v == unrelated {
		return m, false, false
	}
	// Every other one comes without a length.
	m.chunked = m.body != "" && n/deadlyEvery%2 == 1
	m.path = deadlyPath(kind)
	if kind == kindChat {
		m.parts = []string{systemPart, topicPart}
	}
	if v != otherBody {
		m.body = deadlyBody(kind)
	}
	if v == otherWorkspace {
		m.key = otherKey
	}
	return m, v == identical, v != identical
}

// httpRequest returns the request as the HTTP client sends it.
func (m message) httpRequest(ctx context.Context, entry *Process) (*http.Request, error) {
	var body io.Reader = strings.NewReader(m.body)
	if m.chunked {
		body = io.MultiReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, m.method, "http://"+entry.Frontend()+m.path, body)
	if err != nil {
		return nil, fmt.Errorf("request %s: %w", m.id, err)
	}
	// Without GetBody the HTTP client does not retry a request under the same id.
	request.GetBody = nil
	request.Host = Host
	hosted.SetRequestHeaders(request.Header, m.id, m.key, m.deadlineMs, "900,48", m.parts...)
	return request, nil
}

func (c *Callers) send(entry *Process, kind, id string, n int) Outcome {
	m, isDeadly, isNearlyDeadly := c.fleet.newMessage(entry, kind, id, n)
	o := c.sendMessage(entry, m)
	o.Deadly, o.NearlyDeadly = isDeadly, isNearlyDeadly
	return o
}

func (c *Callers) sendMessage(entry *Process, m message) (o Outcome) {
	o = Outcome{ID: m.id, Kind: m.kind, Entry: entry.Name, Key: m.key, Sent: time.Now()}
	defer func() { o.Ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), 7*time.Second)
	defer cancel()
	request, err := m.httpRequest(ctx, entry)
	if err != nil {
		o.Err = err
		return o
	}
	response, err := c.client.Do(request)
	if err != nil {
		o.Err = err
		return o
	}
	defer response.Body.Close()
	o.Status = response.StatusCode
	data, err := io.ReadAll(response.Body)
	o.Err = err
	if err == nil && o.Status == http.StatusOK {
		o.Violation = m.check(response.Header, data)
	}
	return o
}

// check compares a complete success response with what the worker must have sent.
func (m message) check(header http.Header, data []byte) error {
	headers := hosted.ReadResponseHeaders(header)
	if headers.RequestID != m.id {
		return fmt.Errorf("answer belongs to request %q", headers.RequestID)
	}
	if !headers.Sealed {
		return errors.New("success without the worker's proof")
	}
	if m.kind != kindChat {
		if want := fmt.Sprintf("%s %s %s", m.method, m.path, m.body); string(data) != want {
			return fmt.Errorf("body %q, want %q", data, want)
		}
		return nil
	}
	return checkStream(data, headers.Version)
}

// checkStream checks that every event arrived once, in order and from one version.
func checkStream(data []byte, version string) error {
	next := 1
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id" && value != strconv.Itoa(next):
			return fmt.Errorf("event %s where %d is due", value, next)
		case name == "id":
			next++
		case name == "data" && value != "version "+version:
			return fmt.Errorf("stream of version %s holds %q", version, value)
		}
	}
	if next != streamEvents+1 {
		return fmt.Errorf("stream ended as complete after %d of %d events", next-1, streamEvents)
	}
	return nil
}

// Ask sends one request on a plain route to an entry and returns the status, or zero without a
// response.
func (f *Fleet) Ask(entry *Process, route string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+entry.Frontend()+"/"+route+"/x", nil)
	if err != nil {
		return 0
	}
	request.Host = Host
	hosted.SetRequestHeaders(request.Header, "ask", APIKey, "2000", "")
	client := http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}
