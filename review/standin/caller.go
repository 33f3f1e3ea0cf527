//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// uploadRate is the rate in bytes per second at which a caller sends a body, in parts of uploadPart.
	uploadRate = 5.2e6
	uploadPart = 32 << 10
)

var requestNumber atomic.Int64

// newRequestID returns an id of 16 hexadecimal digits.
func newRequestID() string { return fmt.Sprintf("%016x", 0x5100_0000_0000_0000+requestNumber.Add(1)) }

// reply is what a caller has got.
type reply struct {
	status int
	seal   string
	body   string
	// whole is set when the response ended as complete.
	whole bool
	err   error
}

// ask sends a request on a connection of its own and reads the whole response.
func ask(address, method, path, id string, budget time.Duration, body []byte, header ...string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(budget)) // it fails only on a closed connection
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Laburnumgw-Request-Id: %s\r\nX-Laburnumgw-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		method, path, modelHost, id, budget.Milliseconds(), apiKey)
	for i := 0; i+1 < len(header); i += 2 {
		head += header[i] + ": " + header[i+1] + "\r\n"
	}
	head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	if _, err := io.WriteString(conn, head); err != nil {
		return reply{err: err}
	}
	if err := writeBody(conn, body); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, seal: response.Header.Get("X-Laburnumgw-Server-Seal"), body: string(data), whole: err == nil, err: err}
}

// writeBody writes a body at uploadRate.
func writeBody(conn net.Conn, body []byte) error {
	started := time.Now()
	for written := 0; written < len(body); {
		n, err := conn.Write(body[written:min(len(body), written+uploadPart)])
		if err != nil {
			return err
		}
		written += n
		time.Sleep(time.Until(started.Add(time.Duration(float64(written) / uploadRate * float64(time.Second)))))
	}
	return nil
}

// chatHeader are the headers of a model request.
func chatHeader(id string) []string {
	return []string{"X-Laburnumgw-Model", modelName, "X-Laburnumgw-Token-Counts", "300,48", "X-Laburnumgw-Prompt-Prefix", "5c1e07a2:40," + id[8:] + ":260"}
}
