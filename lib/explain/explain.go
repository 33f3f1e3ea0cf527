// Package explain tells the life of one request from the logs of any number of processes.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Step is one log line of a request.
type Step struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Message string    `json:"message"`
	// Fields holds the other fields of the line as text.
	Fields map[string]string `json:"fields"`
}

// Story is the life of one request.
type Story struct {
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
	// Cause states why the request ended as it did.
	Cause string `json:"cause"`
}

// Read collects the lines of a request. Text before the JSON of a line, such as the name
// of a machine, is skipped, and lines that are no JSON are ignored, because the output of
// other programs may stand between them.
func Read(request string, readers ...io.Reader) (Story, error) {
	story := Story{Request: request}
	for _, reader := range readers {
		scanner := bufio.NewScanner(reader)
		scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
		for scanner.Scan() {
			if step, ok := parse(scanner.Text(), request); ok {
				story.Steps = append(story.Steps, step)
			}
		}
		if err := scanner.Err(); err != nil {
			return story, fmt.Errorf("read log: %w", err)
		}
	}
	slices.SortStableFunc(story.Steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	story.Cause = cause(story.Steps)
	return story, nil
}

func parse(line, request string) (Step, bool) {
	start := strings.IndexByte(line, '{')
	if start < 0 || !strings.Contains(line, request) {
		return Step{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(line[start:]), &fields); err != nil || fields["request"] != request {
		return Step{}, false
	}
	step := Step{Fields: make(map[string]string)}
	for name, value := range fields {
		text := fmt.Sprint(value)
		switch name {
		case "ts":
			if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
				step.Time = at
			}
		case "msg":
			step.Message = text
		case "node":
			step.Node = text
		case "level", "request":
		default:
			step.Fields[name] = text
		}
	}
	return step, true
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
