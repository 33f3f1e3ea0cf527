// Package httpstatus decides which answers of HTTP servers are responses. An answer with any other status tells nothing,
// neither by its status nor by its headers or body, and least of all whether the request ran.
package httpstatus

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
)

// ErrNoResponse is returned for an answer whose status is none of HTTP, or the one of a change of protocol, which no client
// asks for. The outcome of the request is unknown, as without an answer.
var ErrNoResponse = errors.New("answer is no HTTP response")

// Statuses of final responses.
const (
	minFinal = 200
	maxFinal = 599
)

// IsFinal reports whether a status is one of a final response.
func IsFinal(status int) bool { return minFinal <= status && status <= maxFinal }

// Check returns an ErrNoResponse unless a status is one of a final response.
func Check(status int) error {
	if IsFinal(status) {
		return nil
	}
	return fmt.Errorf("%w: its status is %03d", ErrNoResponse, status)
}

// ReadResponse reads an answer and reports whether it is final; informational ones come before the final one. Its errors
// are those of http.ReadResponse and ErrNoResponse.
func ReadResponse(reader *bufio.Reader, request *http.Request) (response *http.Response, final bool, err error) {
	response, err = http.ReadResponse(reader, request)
	if err != nil {
		return nil, false, err //nolint:wrapcheck // the caller adds what failed
	}
	if informational(response.StatusCode) {
		return response, false, nil
	}
	if err := Check(response.StatusCode); err != nil {
		return nil, false, err
	}
	return response, true, nil
}

// informational reports whether a final response follows. After a change of protocol, there is none.
func informational(status int) bool {
	return 100 <= status && status < minFinal && status != http.StatusSwitchingProtocols
}

// Client is a client that gets only responses to what it sends. Other answers are errors of its calls, and redirects are
// responses: what is found elsewhere tells nothing of the request.
type Client struct{ client *http.Client }

// NewClient returns a client over a transport.
func NewClient(transport http.RoundTripper) *Client {
	refuseRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{&http.Client{Transport: responsesOnly{transport}, CheckRedirect: refuseRedirect}}
}

// Do sends a request.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	return c.client.Do(request) //nolint:wrapcheck // the caller adds what failed
}

// CloseIdleConnections closes the connections that no call uses.
func (c *Client) CloseIdleConnections() { c.client.CloseIdleConnections() }

// responsesOnly is a transport whose calls fail unless the answer is a response.
type responsesOnly struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t responsesOnly) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err //nolint:wrapcheck // the client adds the request
	}
	if err := Check(response.StatusCode); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}
