package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

const (
	// RequestPrefix is the start of the name of a whole request.
	RequestPrefix = "request-"
	// RequestDigits is the number of hexadecimal digits that follow it.
	RequestDigits = 2 * requestBytes
	// requestBytes is the length of a request's digest. Nobody finds two requests with the same one,
	// so that no caller can have the request of another one blocked.
	requestBytes = 16
)

// RequestName returns the name of a whole request. Repeats of a request by the same workspace have
// the same name, and no part of a prompt has it.
func RequestName(host, path, workspace string, body []byte) string {
	digest := sha256.New()
	var length [8]byte
	for _, field := range []string{host, path, workspace} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		digest.Write(length[:])
		digest.Write([]byte(field))
	}
	digest.Write(body)
	var sum [sha256.Size]byte
	return RequestPrefix + hex.EncodeToString(digest.Sum(sum[:0])[:requestBytes])
}

// IsRequestName reports whether a name is that of a whole request.
func IsRequestName(name string) bool {
	digits, ok := strings.CutPrefix(name, RequestPrefix)
	return ok && len(digits) == RequestDigits && strings.Trim(digits, "0123456789abcdef") == ""
}
