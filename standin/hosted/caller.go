package hosted

import "net/http"

// SetRequestHeaders sets the headers of a caller's request.
func SetRequestHeaders(header http.Header, id, key, deadlineMs, tokens string) {
	header.Set("X-Laburnumgw-Request-Id", id)
	header.Set("X-Laburnumgw-Deadline-Ms", deadlineMs)
	header.Set("X-Laburnumgw-Token-Counts", tokens)
	header.Set("Authorization", "Token "+key)
}

// ResponseHeaders is what the headers of an answer say.
type ResponseHeaders struct {
	RequestID string
	Sealed    bool
	Version   string
}

// ReadResponseHeaders reads the headers of an answer.
func ReadResponseHeaders(header http.Header) ResponseHeaders {
	return ResponseHeaders{
		RequestID: header.Get("X-Laburnumgw-Request-Id"), Sealed: header.Get("X-Laburnumgw-Server-Seal") != "",
		Version: header.Get("X-Laburnumgw-Weight-Versions"),
	}
}
