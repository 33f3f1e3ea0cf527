package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Response is a response to a caller.
type Response struct {
	Status int
	Header http.Header
	Body   string
	// Text is the text of a chat answer; Fingerprints are the weights it names.
	Text         string
	Fingerprints map[string]bool
	// Done is set when an event stream ended with its last event.
	Done bool
	// ErrorKind is the kind of an error answer or error event.
	ErrorKind string
}

// caller opens a new connection for each request, as through a balancer.
var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Do sends one request to an entry.
func Do(ctx context.Context, method, url, body string, headers map[string]string) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return Response{}, fmt.Errorf("build request: %w", err)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.GetBody = nil
	response, err := caller.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	answer := Response{Status: response.StatusCode, Header: response.Header, Fingerprints: make(map[string]bool)}
	raw, err := io.ReadAll(response.Body)
	answer.Body = string(raw)
	if err != nil {
		return answer, fmt.Errorf("read response: %w", err)
	}
	answer.parse(raw)
	return answer, nil
}

type chatChunk struct {
	Fingerprint string `json:"system_fingerprint"`
	Choices     []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
	Error struct {
		Kind string `json:"kind"`
	} `json:"error"`
}

func (a *Response) parse(raw []byte) {
	if !strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		a.add(raw)
		return
	}
	scanner := bufio.NewScanner(bytes.NewReader(raw))
	for scanner.Scan() {
		payload, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if payload == "[DONE]" {
			a.Done = true
			continue
		}
		a.add([]byte(payload))
	}
}

func (a *Response) add(payload []byte) {
	var chunk chatChunk
	if json.Unmarshal(payload, &chunk) != nil {
		return
	}
	if chunk.Error.Kind != "" {
		a.ErrorKind = chunk.Error.Kind
	}
	if chunk.Fingerprint != "" {
		a.Fingerprints[chunk.Fingerprint] = true
	}
	for _, choice := range chunk.Choices {
		a.Text += choice.Delta.Content + choice.Message.Content
	}
}

// Chat asks for a streamed answer of a number of tokens.
func Chat(ctx context.Context, entry *Process, model, prompt string, tokens int) (Response, error) {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return Response{}, fmt.Errorf("encode chat request: %w", err)
	}
	return Do(ctx, http.MethodPost, entry.HTTP+"/v1/chat/completions", string(body),
		map[string]string{"Content-Type": "application/json", "X-Workspace": "demo"})
}

// Book books a shift under an idempotency key.
func Book(ctx context.Context, entry *Process, service, key, shift string) (Response, error) {
	return Do(ctx, http.MethodPost, entry.HTTP+"/"+service, fmt.Sprintf(`{"shift":%q}`, shift),
		map[string]string{"Content-Type": "application/json", "Idempotency-Key": key, "X-Workspace": "demo"})
}

// GetJSON reads a GetJSON document, such as a stand-in's counters.
func GetJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	response, err := caller.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// errNotYet is returned by Until when the condition never held.
var errNotYet = errors.New("condition did not become true")

// pollInterval separates two looks at a condition.
const pollInterval = 100 * time.Millisecond

// Until waits for a condition until the context ends.
func Until(ctx context.Context, what string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", errNotYet, what)
		case <-ticker.C:
		}
	}
	return nil
}
