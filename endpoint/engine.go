package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/httpstatus"
)

const (
	// engineStatusTimeout bounds one status call to the engine on this VM.
	engineStatusTimeout = time.Second
	// engineLoadTimeout bounds a load command; engines read the weights meanwhile.
	engineLoadTimeout = 10 * time.Minute
)

// engineModel is the report of an engine on one loaded model.
type engineModel struct {
	Version string `json:"version"`
	Digest  string `json:"digest"`
	SHA256  string `json:"sha256"`
	Bytes   int64  `json:"bytes"`
}

// engineStatus is the report of an engine. It may lag behind the engine's state.
type engineStatus struct {
	StartID  string                 `json:"start_id"`
	Cold     bool                   `json:"cold"`
	InFlight int                    `json:"in_flight"`
	Models   map[string]engineModel `json:"models"`
}

// loadCommand orders an engine to load a model version from this process.
type loadCommand struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Digest  string `json:"digest"`
	Source  string `json:"source"`
	Fencing uint64 `json:"fencing"`
}

// engineClient sends commands to the model engine on this VM.
type engineClient struct {
	base string
	http *httpstatus.Client
}

func newEngineClient(base string) *engineClient {
	return &engineClient{base: base, http: httpstatus.NewClient(http.DefaultTransport)}
}

// status reads the engine's report.
func (e *engineClient) status(ctx context.Context) (engineStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, engineStatusTimeout)
	defer cancel()
	var status engineStatus
	err := e.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// load orders the engine to load weights and returns the model that it reports as loaded.
func (e *engineClient) load(ctx context.Context, command loadCommand) (engineModel, error) {
	ctx, cancel := context.WithTimeout(ctx, engineLoadTimeout)
	defer cancel()
	body, err := json.Marshal(command)
	if err != nil {
		return engineModel{}, fmt.Errorf("encode load command: %w", err)
	}
	var loaded engineModel
	err = e.call(ctx, http.MethodPost, "/v1/load", body, &loaded)
	return loaded, err
}

func (e *engineClient) call(ctx context.Context, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, e.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build engine request: %w", err)
	}
	response, err := e.http.Do(request)
	if err != nil {
		return errkind.Wrap(err, errkind.Unavailable, "check that the engine runs", "engine does not respond to %s", path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return errkind.New(errkind.Failed, "see the engine's log", "engine responded to %s with status %d: %s", path, response.StatusCode, text)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, 1<<20)).Decode(into); err != nil {
		return fmt.Errorf("decode engine response: %w", err)
	}
	return nil
}
