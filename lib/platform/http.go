package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/httpstatus"
)

const (
	// callTimeout bounds one call that does not wait for changes.
	callTimeout = 3 * time.Second
	// WatchTimeout is the longest time for which the platform keeps a watch call open.
	WatchTimeout = 30 * time.Second
	// defaultRetryAfter applies when a 429 response has no usable Retry-After.
	defaultRetryAfter = time.Second
	// maxResponseBytes bounds the body of one response of the platform.
	maxResponseBytes = 64 << 20
)

func errTooLarge(key string, size int) error {
	return errkind.New(errkind.TooLarge, "split the value into several objects",
		"object %q has %d bytes, the platform stores at most %d", key, size, MaxValueBytes)
}

// Client is a Store over the platform's REST object API.
type Client struct {
	base string
	http *httpstatus.Client
}

// NewClient returns a client for the API at a base URL such as http://127.0.0.1:7000.
func NewClient(base string) *Client {
	return &Client{base: base, http: httpstatus.NewClient(http.DefaultTransport)}
}

// listResponse is the body of a list or watch response.
type listResponse struct {
	Objects []Object `json:"objects,omitempty"`
	Events  []Event  `json:"events,omitempty"`
	Version int64    `json:"version"`
}

func (c *Client) objectURL(key string) string {
	return c.base + "/v1/objects/" + key
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var object Object
	err := c.call(ctx, http.MethodGet, c.objectURL(key), nil, nil, &object)
	return object, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, int64, error) {
	var response listResponse
	target := c.base + "/v1/objects?" + url.Values{"prefix": {prefix}}.Encode()
	err := c.call(ctx, http.MethodGet, target, nil, nil, &response)
	return response.Objects, response.Version, err
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, errTooLarge(key, len(value))
	}
	var object Object
	err := c.call(ctx, http.MethodPut, c.objectURL(key), http.Header{"If-None-Match": {"*"}}, value, &object)
	if errors.Is(err, ErrConflict) {
		return Object{}, ErrExists
	}
	return object, err
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, key string, value []byte, version int64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, errTooLarge(key, len(value))
	}
	var object Object
	err := c.call(ctx, http.MethodPut, c.objectURL(key), ifMatch(version), value, &object)
	return object, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	return c.call(ctx, http.MethodDelete, c.objectURL(key), ifMatch(version), nil, nil)
}

func ifMatch(version int64) http.Header {
	return http.Header{"If-Match": {strconv.FormatInt(version, 10)}}
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefixes []string, after int64) ([]Event, int64, error) {
	values := url.Values{"prefix": prefixes, "after": {strconv.FormatInt(after, 10)}}
	var response listResponse
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+callTimeout)
	defer cancel()
	err := c.send(ctx, http.MethodGet, c.base+"/v1/watch?"+values.Encode(), nil, nil, &response)
	if err != nil {
		return nil, after, err
	}
	return response.Events, response.Version, nil
}

func (c *Client) call(ctx context.Context, method, target string, header http.Header, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.send(ctx, method, target, header, body, into)
}

func (c *Client) send(ctx context.Context, method, target string, header http.Header, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build platform request: %w", err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return transportError(method, err)
	}
	defer response.Body.Close()
	if err := statusError(response); err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(into); err != nil {
		return transportError(method, err)
	}
	return nil
}

// transportError classifies a call that failed without a usable response. A read has no
// effect; a write may have taken effect.
func transportError(method string, err error) error {
	if method == http.MethodGet {
		return &UnavailableError{Err: err}
	}
	return &UnknownOutcomeError{Err: err}
}

func statusError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusGone:
		return ErrTooOld
	case http.StatusTooManyRequests:
		return &RateLimitError{RetryAfter: retryAfter(response.Header)}
	case http.StatusServiceUnavailable:
		return &UnavailableError{Err: fmt.Errorf("status %d", response.StatusCode)}
	case http.StatusRequestEntityTooLarge:
		return errkind.New(errkind.TooLarge, "split the value into several objects", "the platform rejected the object because its value is too large")
	default:
		return &UnknownOutcomeError{Err: fmt.Errorf("status %d", response.StatusCode)}
	}
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}
