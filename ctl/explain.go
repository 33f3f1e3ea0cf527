package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

// addExplain adds the command that explains routing decisions.
func addExplain(parser *flags.Parser, session *Session) error {
	_, err := parser.AddCommand("explain", "Explain why a request went where it went",
		"Shows the routing decisions of one request that the entry still remembers. The X-Request-Id header of the response names the request.",
		&explainCommand{session: session})
	return err
}

type explainCommand struct {
	session *Session
	NodeOptions
	Args struct {
		RequestID string `positional-arg-name:"REQUEST" required:"yes" description:"value of X-Request-Id"`
	} `positional-args:"yes"`
}

// Execute shows the decisions of a request.
func (c *explainCommand) Execute([]string) error {
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
		table.Summary = "this entry does not remember the request; ask the entry that served it, soon after the request"
	}
	return c.session.Output().Print(decisions, table)
}

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
