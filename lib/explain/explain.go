// Package explain tells the life of one request from the logs of any number of processes.
package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"laburnumgw/lib/logline"
)

// Step is one log line of a request.
type Step struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Message string    `json:"message"`
	// Fields holds the other fields of the line as text.
	Fields map[string]string `json:"fields"`
}

// Timeline is the life of one request.
type Timeline struct {
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
	// Cause states why the request ended as it did.
	Cause string `json:"cause"`
}

// Read collects the lines of a request.
func Read(request string, readers ...io.Reader) (Timeline, error) {
	story := Timeline{Request: request}
	for _, reader := range readers {
		err := logline.Read(reader, func(line logline.Line) {
			if line.Fields["request"] != request {
				return
			}
			delete(line.Fields, "request")
			story.Steps = append(story.Steps, Step{line.Time, line.Node, line.Message, line.Fields})
		})
		if err != nil {
			return story, err
		}
	}
	slices.SortStableFunc(story.Steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	story.Cause = cause(story.Steps)
	return story, nil
}

// Details returns the fields of a step in a fixed order.
func (s Step) Details() string {
	parts := make([]string, 0, len(s.Fields))
	for _, name := range slices.Sorted(maps.Keys(s.Fields)) {
		parts = append(parts, name+"="+s.Fields[name])
	}
	return strings.Join(parts, " ")
}

// reasons explains the reasons with which an entry ends requests.
var reasons = map[string]string{
	"complete":        "the answer reached the caller whole",
	"caller_left":     "the caller closed its connection before the answer was whole",
	"stream_cut":      "the stream broke off and could not be resumed on the same weights; the connection was cut so that it does not look complete",
	"worker_failed":   "the worker ran the request and answered with a failure of its own",
	"not_run":         "the request was not run; the caller was told when to come back",
	"timeout":         "the time for the request was over before an answer came",
	"not_sealed":      "the worker's answer carried no proof, so it was not passed on",
	"outcome_unknown": "the answer of a worker that may have run the request was lost",
	"denied":          "the key is not part of the configuration in force",
	"not_found":       "no route of the configuration in force matches",
	"too_large":       "the body exceeds the limit of the configuration",
	"bad_request":     "the request cannot be read",
}

// cause sums up the last decisions.
func cause(steps []Step) string {
	if len(steps) == 0 {
		return "no line of these logs names the request; add the logs of the other entries"
	}
	reason, attempt, refusal := "", "", ""
	for _, step := range steps {
		switch step.Message {
		case "request ended", "request refused":
			reason = step.Fields["reason"]
		case "attempt ended":
			attempt = fmt.Sprintf("attempt %s at %s ended with %s after %s ms", step.Fields["attempt"], step.Fields["vm"],
				step.Fields["outcome"], step.Fields["duration"])
			if problem := step.Fields["error"]; problem != "" {
				attempt += ": " + problem
			}
		case "no endpoint chosen":
			refusal = step.Fields["error"]
		}
	}
	var parts []string
	if text, ok := reasons[reason]; ok {
		parts = append(parts, reason+": "+text)
	} else {
		parts = append(parts, "the end of the request is not in these logs")
	}
	if reason != "complete" {
		for _, detail := range []string{attempt, refusal} {
			if detail != "" {
				parts = append(parts, detail)
			}
		}
	}
	return strings.Join(parts, "; ")
}
