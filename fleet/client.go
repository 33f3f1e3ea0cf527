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

	"laburnumgw/lib/httpstatus"
)

// Response is the response to a caller's request.
type Response struct {
	Status int
	Header http.Header
	Body   string
	// Text is the text of a chat response; Fingerprints are the weights that it names.
	Text         string
	Fingerprints map[string]bool
	// Done is set when an event stream ended with the [DONE] event.
	Done bool
	// ErrorKind is the kind of an error response or error event.
	ErrorKind string
}

// client opens a new connection for each request, as a load balancer may do.
var client = httpstatus.NewClient(&http.Transport{DisableKeepAlives: true})

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
	httpResponse, err := client.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer httpResponse.Body.Close()
	response := Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Fingerprints: make(map[string]bool)}
	raw, err := io.ReadAll(httpResponse.Body)
	response.Body = string(raw)
	if err != nil {
		return response, fmt.Errorf("read response: %w", err)
	}
	response.parse(raw)
	return response, nil
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

func (r *Response) parse(raw []byte) {
	if !strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		r.add(raw)
		return
	}
	scanner := bufio.NewScanner(bytes.NewReader(raw))
	for scanner.Scan() {
		payload, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if payload == "[DONE]" {
			r.Done = true
			continue
		}
		r.add([]byte(payload))
	}
}

func (r *Response) add(payload []byte) {
	var chunk chatChunk
	if json.Unmarshal(payload, &chunk) != nil {
		return
	}
	if chunk.Error.Kind != "" {
		r.ErrorKind = chunk.Error.Kind
	}
	if chunk.Fingerprint != "" {
		r.Fingerprints[chunk.Fingerprint] = true
	}
	for _, choice := range chunk.Choices {
		r.Text += choice.Delta.Content + choice.Message.Content
	}
}

// Chat requests a streamed chat response of a number of tokens.
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

// Book sends a booking of a shift with an idempotency key.
func Book(ctx context.Context, entry *Process, service, key, shift string) (Response, error) {
	return Do(ctx, http.MethodPost, entry.HTTP+"/"+service, fmt.Sprintf(`{"shift":%q}`, shift),
		map[string]string{"Content-Type": "application/json", "Idempotency-Key": key, "X-Workspace": "demo"})
}

// GetJSON fetches a JSON document, such as a stand-in's counters, and decodes it.
func GetJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// errConditionNotMet is returned by Until when the context ends before the condition holds.
var errConditionNotMet = errors.New("condition did not become true")

// pollInterval is the time between two checks of a condition.
const pollInterval = 100 * time.Millisecond

// Until polls a condition until it holds or the context ends.
func Until(ctx context.Context, what string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", errConditionNotMet, what)
		case <-ticker.C:
		}
	}
	return nil
}
