package hosted

import (
	"bytes"
	"errors"
	"fmt"
	"mime"
	"strconv"
)

var (
	// errNotContinued marks a response to a resumed stream that does not go on with its events.
	errNotContinued = errors.New("response does not continue the stream")
	// errNoEvent marks bytes amid a stream that are no event, such as another head.
	errNoEvent = errors.New("stream holds bytes that are no event")
)

const eventStreamType = "text/event-stream"

// isEventStream reports whether a Content-Type is that of a series of events.
func isEventStream(contentType string) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == eventStreamType
}

// eventCheck checks the events of one response.
type eventCheck struct {
	// resumes is set for a response that goes on with a stream after lastID. Its events must have
	// greater ids.
	resumes bool
	lastID  string
}

// accept returns the length of the events that belong to the stream, and an error if others follow.
func (e *eventCheck) accept(events []byte) (int, error) {
	accepted := 0
	for accepted < len(events) {
		length := firstEventEnd(events[accepted:])
		event := bytes.TrimLeft(events[accepted:accepted+length], "\r\n")
		if len(event) > 0 && !startsLikeEvent(event) {
			return accepted, errNoEvent
		}
		if e.resumes && len(event) > 0 && event[0] != ':' {
			id := lastEventID(event)
			if !isAfter(id, e.lastID) {
				return accepted, fmt.Errorf("%w: event %q after %q", errNotContinued, id, e.lastID)
			}
			e.lastID = id
		}
		accepted += length
	}
	return accepted, nil
}

// isAfter reports whether an event may follow another one, by their ids.
func isAfter(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err == nil && lastErr == nil {
		return number > lastNumber
	}
	return id != "" && id != last
}

// firstEventEnd returns the end of the first event of several complete ones.
func firstEventEnd(events []byte) int {
	end := len(events)
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.Index(events[:end], []byte(separator)); at >= 0 {
			end = min(end, at+len(separator))
		}
	}
	return end
}

// startsLikeEvent reports whether the first line of an event is a comment or starts with the name of
// a field, which has lower-case letters and hyphens only.
func startsLikeEvent(event []byte) bool {
	name, _, _ := bytes.Cut(event, []byte("\n"))
	name, _, _ = bytes.Cut(bytes.TrimRight(name, "\r"), []byte(":"))
	return len(bytes.Trim(name, "abcdefghijklmnopqrstuvwxyz-")) == 0
}
