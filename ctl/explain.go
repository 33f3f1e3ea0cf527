package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/explain"
)

// addExplain adds the command that explains routing decisions.
func addExplain(parser *flags.Parser, session *Session) error {
	_, err := parser.AddCommand("explain", "Explain how a request was routed",
		"Shows the routing decisions of one request that the entry still holds, or its complete timeline from logs. The request is named by the request id of its response.",
		&explainCommand{session: session})
	return err
}

type explainCommand struct {
	session *Session
	NodeOptions
	Logs []string `long:"log" value-name:"FILE" description:"read the life of the request from a log, - for standard input; repeat for several"`
	Args struct {
		RequestID string `positional-arg-name:"REQUEST" required:"yes" description:"value of X-Request-Id"`
	} `positional-args:"yes"`
}

// Execute shows the decisions of a request.
func (c *explainCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.fromLogs()
	}
	var decisions []*laburnumgwv1.Decision
	err := c.call(func(ctx context.Context, client laburnumgwv1.NodeClient) error {
		response, err := client.Explain(ctx, &laburnumgwv1.ExplainRequest{RequestId: c.Args.RequestID})
		decisions = response.GetDecisions()
		return err
	})
	if err != nil {
		return err
	}
	table := Table{Header: []string{"ATTEMPT", "CHOSEN", "REASON", "OUTCOME", "CANDIDATES"}}
	for _, d := range decisions {
		table.Rows = append(table.Rows, []string{fmt.Sprint(d.GetAttempt()), d.GetChosen(), d.GetReason(), d.GetOutcome(), candidates(d)})
	}
	if len(decisions) == 0 {
		table.Summary = "this entry holds no decisions for the request; ask the entry that served it, soon after the request"
	}
	return c.session.Output().Print(decisions, table)
}

// withLogs opens the named logs, - for standard input, runs a function with them, and closes
// them.
func withLogs(names []string, read func([]io.Reader) error) error {
	var readers []io.Reader
	for _, name := range names {
		if name == "-" {
			readers = append(readers, os.Stdin)
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return errkind.Wrap(err, errkind.Invalid, "check the name of the file", "log cannot be opened")
		}
		defer file.Close()
		readers = append(readers, file)
	}
	return read(readers)
}

// fromLogs prints the timeline of a request from logs.
func (c *explainCommand) fromLogs() error {
	var timeline explain.Timeline
	err := withLogs(c.Logs, func(logs []io.Reader) (err error) {
		timeline, err = explain.Read(c.Args.RequestID, logs...)
		return err
	})
	if err != nil {
		return err
	}
	table := Table{Header: []string{"TIME", "NODE", "EVENT", "DETAILS"}, Summary: "cause: " + timeline.Cause}
	for _, step := range slices.Concat(timeline.Loads, timeline.Steps) {
		table.Rows = append(table.Rows, []string{step.Time.Format("15:04:05.000"), step.Node, step.Message, step.Details()})
	}
	return c.session.Output().Print(timeline, table)
}

// candidates returns each candidate of a decision with its score, or with the filter that
// excluded it.
func candidates(d *laburnumgwv1.Decision) string {
	var parts []string
	for _, candidate := range d.GetCandidates() {
		text := fmt.Sprintf("%s=%.2f", candidate.GetVm(), candidate.GetScore())
		if candidate.GetFilteredBy() != "" {
			text = fmt.Sprintf("%s(%s)", candidate.GetVm(), candidate.GetFilteredBy())
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, " ")
}

// sortRollout orders lines by model, version and availability zone.
func sortRollout(lines []rolloutLine) {
	slices.SortFunc(lines, func(a, b rolloutLine) int {
		return cmp.Or(strings.Compare(a.Model, b.Model), strings.Compare(a.Digest, b.Digest), strings.Compare(a.Zone, b.Zone))
	})
}
