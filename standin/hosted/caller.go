package hosted

import (
	"net/http"
	"strings"
)

// SetRequestHeaders sets the headers that the daemon reads on a caller's request.
// parts are the shared parts of the prompt of a model request.
func SetRequestHeaders(header http.Header, id, key, deadlineMs, tokens string, parts ...string) {
	header.Set("X-Laburnumgw-Request-Id", id)
	header.Set("X-Laburnumgw-Deadline-Ms", deadlineMs)
	header.Set("X-Laburnumgw-Token-Counts", tokens)
	header.Set("Authorization", "Token "+key)
	if len(parts) > 0 {
		header.Set("X-Laburnumgw-Prompt-Prefix", strings.Join(parts, ":40,")+":40,"+id+":820")
	}
}

// ResponseHeaders holds the values of the headers of a response.
type ResponseHeaders struct {
	RequestID string
	// Sealed reports whether the worker's seal is present.
	Sealed  bool
	Version string
}

// ReadResponseHeaders reads the headers of a response.
func ReadResponseHeaders(header http.Header) ResponseHeaders {
	return ResponseHeaders{
		RequestID: header.Get("X-Laburnumgw-Request-Id"), Sealed: header.Get("X-Laburnumgw-Server-Seal") != "",
		Version: header.Get("X-Laburnumgw-Weight-Versions"),
	}
}
