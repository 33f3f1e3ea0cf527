// Package explain reconstructs what happened to one request from the logs of any number of
// processes.
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

// Step is one log line about a request.
type Step struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Message string    `json:"message"`
	// Fields holds the other fields of the line as text.
	Fields map[string]string `json:"fields"`
}

// Timeline holds the log lines about one request in the order of time, and why it ended.
type Timeline struct {
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
	// Loads holds, for the workers that were chosen, the lines about the load of the weights that they had then.
	Loads []Step `json:"loads,omitempty"`
	// Cause states why the request ended, in one line.
	Cause string `json:"cause"`
}

// Read collects the log lines about a request. Lines with the same time stay in the order
// of the readers.
func Read(request string, readers ...io.Reader) (Timeline, error) {
	timeline := Timeline{Request: request}
	var loads []Step
	for _, reader := range readers {
		err := logline.Read(reader, func(line logline.Line) {
			if line.Fields["request"] != request {
				if loadMessages[line.Message] {
					loads = append(loads, Step{line.Time, line.Node, line.Message, line.Fields})
				}
				return
			}
			delete(line.Fields, "request")
			timeline.Steps = append(timeline.Steps, Step{line.Time, line.Node, line.Message, line.Fields})
		})
		if err != nil {
			return timeline, err
		}
	}
	slices.SortStableFunc(timeline.Steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	slices.SortStableFunc(loads, func(a, b Step) int { return a.Time.Compare(b.Time) })
	timeline.Loads = loadsOf(timeline.Steps, loads)
	timeline.Cause = cause(timeline.Steps)
	return timeline, nil
}

// proofMessage is the line of an entry that has learnt that weights of a worker are whole. It names the start of the worker.
const proofMessage = "weights are known to be whole"

// loadMessages are the messages about the loads of workers. Those of the process beside a worker name its start.
var loadMessages = map[string]bool{
	proofMessage: true, "weights are not known to be whole": true, "worker ordered to load": true, "chunk is not whole after its load": true,
	"weights of the worker are whole": true, "weights of the worker are not proven to be whole": true,
}

// loadsOf returns the last line of each kind about the weights of each chosen worker, up to when it was chosen.
func loadsOf(steps, loads []Step) []Step {
	var found []Step
	for _, chosen := range steps {
		if chosen.Message != "endpoint chosen" {
			continue
		}
		before := slices.DeleteFunc(slices.Clone(loads), func(s Step) bool { return s.Time.After(chosen.Time) })
		vm, born := chosen.Fields["vm"], chosen.Fields["born"]
		for _, s := range before {
			if born == "" && s.Message == proofMessage && s.Fields["vm"] == vm {
				born = s.Fields["born"]
			}
		}
		last := make(map[string]Step)
		for _, s := range before {
			if s.Fields["vm"] == vm || (s.Fields["vm"] == "" && born != "" && s.Fields["born"] == born) {
				last[s.Message] = s
			}
		}
		for _, s := range last {
			if !slices.ContainsFunc(found, func(f Step) bool { return f.Time.Equal(s.Time) && f.Message == s.Message }) {
				found = append(found, s)
			}
		}
	}
	slices.SortStableFunc(found, func(a, b Step) int { return a.Time.Compare(b.Time) })
	return found
}

// Details returns the fields of a step as name=value pairs, sorted by name.
func (s Step) Details() string {
	parts := make([]string, 0, len(s.Fields))
	for _, name := range slices.Sorted(maps.Keys(s.Fields)) {
		parts = append(parts, name+"="+s.Fields[name])
	}
	return strings.Join(parts, " ")
}

// reasons explains the reasons that an entry logs when a request ends or is refused.
var reasons = map[string]string{
	"complete":        "the caller received the complete response",
	"caller_left":     "the caller disconnected before the response was complete",
	"stopped":         "the entry stopped before the response was complete",
	"stream_cut":      "the response stream broke and could not be resumed on the same weights; the connection was closed so that the response does not look complete",
	"worker_failed":   "the worker ran the request and returned a failure of its own",
	"not_run":         "the request was not run; the response told the caller when to retry",
	"timeout":         "the time limit of the request expired before a response arrived",
	"not_sealed":      "the worker's response carried no seal, so it was not forwarded",
	"outcome_unknown": "the response of a worker that may have run the request was lost",
	"denied":          "the key is not part of the configuration in force",
	"not_found":       "no route in the configuration in force matches the request",
	"too_large":       "the request body exceeds the configured limit",
	"bad_request":     "the request could not be read",
}

// blockRefusal explains a refusal by the names that are blocked.
func blockRefusal(names string) string {
	if strings.HasPrefix(names, "request-") {
		return "workers crash on this path, workspace and body, which is blocked as " + names + "; part release ends that"
	}
	return "workers crash on a part of its prompt, which is blocked as " + strings.ReplaceAll(names, " ", ".") + "; part release ends that"
}

// cause explains the logged reason of the request's end. For a request that is not complete
// it adds the last attempt and the last failure to choose an endpoint, or the block that refused it.
func cause(steps []Step) string {
	if len(steps) == 0 {
		return "no line of these logs names the request; add the logs of the other entries"
	}
	reason, attempt, silence, refusal, cut := "", "", "", "", ""
	for _, step := range steps {
		if names := step.Fields["blocked"]; names != "" {
			refusal = blockRefusal(strings.Trim(names, "[]"))
		}
		switch step.Message {
		case "request ended", "request refused":
			reason = step.Fields["reason"]
		case "worker is silent; the request is sent to another one as well":
			silence = fmt.Sprintf("%s was silent, so %s was asked as well", step.Fields["silent"], step.Fields["vm"])
		case "attempt ended":
			if step.Fields["superseded"] == "true" {
				continue
			}
			attempt = fmt.Sprintf("attempt %s at %s ended with %s after %s ms", step.Fields["attempt"], step.Fields["vm"],
				step.Fields["outcome"], step.Fields["duration"])
			if problem := step.Fields["error"]; problem != "" {
				attempt += ": " + problem
			}
		case "no endpoint chosen":
			refusal = step.Fields["error"]
		case "response cut":
			cut = fmt.Sprintf("the caller got no complete answer: its connection was closed after %s ms with %s ms left, under configuration %s, %s ms after configuration %s came in force",
				step.Fields["held"], step.Fields["left"], step.Fields["config"], step.Fields["config_age"], step.Fields["config_in_force"])
		}
	}
	var parts []string
	text, known := reasons[reason]
	switch {
	case known:
		parts = append(parts, reason+": "+text)
	case reason != "":
		parts = append(parts, reason)
	default:
		parts = append(parts, "the end of the request is not in these logs")
	}
	if reason != "complete" {
		for _, detail := range []string{attempt, silence, refusal, cut} {
			if detail != "" {
				parts = append(parts, detail)
			}
		}
	}
	return strings.Join(parts, "; ")
}
