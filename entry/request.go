package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"laburnumgw/lib/config"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/membudget"
	"laburnumgw/lib/timelimit"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 4 << 20
	// defaultDeadline applies when a caller sets no deadline.
	defaultDeadline = 60 * time.Second
	// maxDeadline bounds the deadline that a caller can set.
	maxDeadline = 10 * time.Minute
	// memoryRetryAfter is the time after which callers try again for whose body there was no memory.
	memoryRetryAfter = 500 * time.Millisecond
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// maxPriority bounds the absolute value of a priority.
	maxPriority = 100
	// modelPathPrefix is the path prefix of model requests, by the convention of model APIs.
	modelPathPrefix = "/v1/"
	// defaultWorkspace applies to callers that send no workspace.
	defaultWorkspace = "default"
)

// Names of the headers that callers use.
const (
	headerWorkspace      = "X-Workspace"
	headerPriority       = "X-Priority"
	headerDeadline       = "X-Request-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
)

// request is a caller's request after validation.
type request struct {
	id          string
	workspace   string
	priority    int32
	limits      timelimit.Limits
	model       string
	service     string
	method      string
	path        string
	contentType string
	body        []byte
	// held is the memory that the request takes.
	held           *membudget.Account
	idempotent     bool
	idempotencyKey string
	shardCount     int
	promptPrefix   string
}

// parseRequest validates a caller's request against the configuration. acceptBody is called before the
// body is read, and sets the memory for it.
func parseRequest(r *http.Request, id string, snapshot *config.Snapshot, now time.Time, acceptBody func(*request) error) (*request, error) {
	parsed := &request{
		id:             id,
		workspace:      r.Header.Get(headerWorkspace),
		method:         r.Method,
		path:           r.URL.RequestURI(),
		contentType:    r.Header.Get("Content-Type"),
		idempotencyKey: r.Header.Get(headerIdempotencyKey),
	}
	if parsed.workspace == "" {
		parsed.workspace = defaultWorkspace
	}
	if err := parseHeaders(r, parsed, snapshot, now); err != nil {
		return nil, err
	}
	if err := acceptBody(parsed); err != nil {
		return nil, err
	}
	body, err := readBody(r, parsed.held)
	if err != nil {
		return nil, err
	}
	parsed.body = body
	if name, service, ok := matchService(snapshot, r.URL.Path); ok {
		return parsed, parsed.setService(name, service)
	}
	if strings.HasPrefix(r.URL.Path, modelPathPrefix) {
		return parsed, parsed.setModel(snapshot)
	}
	return nil, errkind.New(errkind.NotFound, "use a path of a configured service or a model API path",
		"no configured service or model API has the path %q", r.URL.Path)
}

func parseHeaders(r *http.Request, parsed *request, snapshot *config.Snapshot, now time.Time) error {
	parsed.priority = int32(snapshot.Workspaces[parsed.workspace].Priority)
	if text := r.Header.Get(headerPriority); text != "" {
		value, err := strconv.Atoi(text)
		if err != nil || value < -maxPriority || value > maxPriority {
			return badHeader(headerPriority, text, fmt.Sprintf("use a whole number from -%d to %d", maxPriority, maxPriority))
		}
		parsed.priority = int32(value)
	}
	timeout := defaultDeadline
	if text := r.Header.Get(headerDeadline); text != "" {
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil || value <= 0 || value > maxDeadline.Milliseconds() {
			return badHeader(headerDeadline, text, fmt.Sprintf("use milliseconds from 1 to %d", maxDeadline.Milliseconds()))
		}
		timeout = time.Duration(value) * time.Millisecond
	}
	parsed.limits.Deadline = now.Add(timeout)
	if len(parsed.idempotencyKey) > maxKeyBytes {
		return badHeader(headerIdempotencyKey, "(long)", fmt.Sprintf("use at most %d bytes", maxKeyBytes))
	}
	return nil
}

func badHeader(name, value, remedy string) error {
	return errkind.New(errkind.BadRequest, remedy, "header %s has the invalid value %q", name, value)
}

func readBody(r *http.Request, held *membudget.Account) ([]byte, error) {
	first := r.ContentLength
	if first < 0 {
		first = membudget.FirstBytes
	}
	body, _, err := held.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes), first, maxBodyBytes)
	var exceeded *membudget.ExceededError
	if errors.As(err, &exceeded) {
		return nil, errkind.Wrap(err, errkind.NotRun, "repeat the request on another entry", "memory of this entry is used up").WithRetryAfter(memoryRetryAfter)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.TooLarge, "send a smaller body", "body exceeds %d bytes", maxBodyBytes)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errkind.Wrap(err, errkind.NotRun, "send the complete body sooner", "body has not arrived in time").WithRetryAfter(time.Second)
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "send the complete body", "body cannot be read")
	}
	return body, nil
}

// matchService returns the service with the longest path prefix that matches.
func matchService(snapshot *config.Snapshot, path string) (string, config.Service, bool) {
	bestName := ""
	var best config.Service
	for name, service := range snapshot.Services {
		if !hasPathPrefix(path, service.Path) {
			continue
		}
		if bestName == "" || len(service.Path) > len(best.Path) {
			bestName = name
			best = service
		}
	}
	return bestName, best, bestName != ""
}

func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

func (r *request) setService(name string, service config.Service) error {
	r.service = name
	r.idempotent = slices.Contains(service.Idempotent, r.method)
	if r.idempotent {
		return nil
	}
	if r.idempotencyKey == "" && service.RequireIdempotencyKey {
		return errkind.New(errkind.KeyMissing, "send an Idempotency-Key header that is unique to this booking or order, and the same one when you repeat it",
			"%s %s is not idempotent and has no %s", r.method, r.path, headerIdempotencyKey)
	}
	if r.idempotencyKey != "" {
		r.shardCount = service.Shards
	}
	return nil
}

// promptPrefixBytes is the maximum length of the prompt prefix that cache affinity uses.
const promptPrefixBytes = 512

func (r *request) setModel(snapshot *config.Snapshot) error {
	const remedy = "send a JSON object with a model field"
	if r.method != http.MethodPost {
		return errkind.New(errkind.BadRequest, "use POST", "method %s is not supported for models", r.method)
	}
	var body struct {
		Model    string          `json:"model"`
		Messages json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(r.body, &body); err != nil {
		return errkind.Wrap(err, errkind.BadRequest, remedy, "body is not a JSON object")
	}
	if body.Model == "" {
		return errkind.New(errkind.BadRequest, remedy, "body has no model field or an empty one")
	}
	if _, ok := snapshot.Models[body.Model]; !ok {
		return errkind.New(errkind.NotFound, "use a model of the configuration", "model %q is not configured", body.Model)
	}
	r.model = body.Model
	r.idempotent = true
	r.promptPrefix = string(body.Messages[:min(len(body.Messages), promptPrefixBytes)])
	return nil
}
