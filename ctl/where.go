package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/rpc"
)

// addWhere adds the command that explains where a request would go.
func addWhere(parser *flags.Parser, session *Session) error {
	_, err := parser.AddCommand("where", "Explain where a request would go now",
		"Asks an entry where it would send a request now, and why, without sending it: the candidates with their load, the filters that exclude them, and what would refuse the request.",
		&whereCommand{session: session})
	return err
}

type whereCommand struct {
	session *Session
	NodeOptions
	Plain          bool     `long:"plain" description:"call an entry that runs without certificates, as on the users' platform"`
	Host           string   `long:"host" description:"host of the request"`
	Workspace      string   `long:"workspace" description:"name of the workspace"`
	Model          string   `long:"model" description:"model of the request, for the product's own interface"`
	Method         string   `long:"method" default:"POST" description:"method of the request"`
	IdempotencyKey string   `long:"idempotency-key" description:"idempotency key of the request"`
	PromptTokens   int32    `long:"prompt-tokens" value-name:"N" description:"length of the prompt"`
	OutputTokens   int32    `long:"output-tokens" value-name:"N" description:"expected number of output tokens"`
	Parts          []string `long:"part" value-name:"ID" description:"part of the prompt that other requests share; repeat for several"`
	Args           struct {
		Path string `positional-arg-name:"PATH" required:"yes" description:"path of the request"`
	} `positional-args:"yes"`
}

// Execute prints the explanation.
func (c *whereCommand) Execute([]string) error {
	request := &laburnumgwv1.WhereRequest{
		Host: c.Host, Path: c.Args.Path, Workspace: c.Workspace, Model: c.Model, Method: c.Method, IdempotencyKey: c.IdempotencyKey,
		PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens, Parts: c.Parts,
	}
	response, err := c.ask(request)
	if err != nil {
		return err
	}
	return c.session.Output().Print(response, whereTable(response))
}

func (c *whereCommand) ask(request *laburnumgwv1.WhereRequest) (*laburnumgwv1.WhereResponse, error) {
	pool, err := c.pool()
	if err != nil {
		return nil, err
	}
	defer pool.Close()
	conn, err := pool.Conn(c.Entry)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), nodeTimeout)
	defer cancel()
	response, err := laburnumgwv1.NewWhereClient(conn).Where(ctx, request)
	switch status.Code(err) {
	case codes.OK:
		return response, nil
	case codes.NotFound, codes.InvalidArgument, codes.FailedPrecondition:
		return nil, errkind.New(errkind.Invalid, "", "%s", status.Convert(err).Message())
	}
	return nil, errkind.Wrap(err, errkind.Unavailable, "check --entry, the keys and that the process runs", "call to %s failed", c.Entry)
}

// pool returns the connections to the entry.
func (c *whereCommand) pool() (*rpc.Pool, error) {
	if !c.Plain {
		return c.NodeOptions.pool()
	}
	if c.Entry == "" {
		return nil, &usageError{text: "set --entry"}
	}
	return rpc.NewPlainPool(), nil
}

func whereTable(r *laburnumgwv1.WhereResponse) Table {
	table := Table{Header: []string{"SERVICE", "VM", "ZONE", "VERDICT", "SCORE", "RUNNING", "QUEUED", "SLOTS", "FIRST EVENT", "AGE", "VERSION"}}
	var summary []string
	for _, choice := range r.GetChoices() {
		summary = append(summary, choiceSummary(choice))
		for _, candidate := range choice.GetCandidates() {
			table.Rows = append(table.Rows, whereRow(choice, candidate))
		}
	}
	table.Summary = fmt.Sprintf("route %s, workspace %s (rank %d), rank %d, configuration %d, entry %s\n%s", r.GetRoute(), orNone(r.GetWorkspace()),
		r.GetWorkspaceRank(), r.GetRank(), r.GetConfig(), r.GetEntry(), strings.Join(summary, "\n"))
	return table
}

func choiceSummary(choice *laburnumgwv1.WhereChoice) string {
	head := fmt.Sprintf("service %s (%.0f%% of the route)", choice.GetService(), 100*choice.GetShare())
	if choice.GetRefusal() != "" {
		return fmt.Sprintf("%s: refused, Retry-After %d ms: %s", head, choice.GetRetryAfterMs(), choice.GetRefusal())
	}
	text := fmt.Sprintf("%s: %s, by %s", head, choice.GetChosen(), choice.GetReason())
	if choice.GetPassing() < 1 {
		text += fmt.Sprintf("; room is short, and %.0f%% of the requests of this workspace and rank pass", 100*choice.GetPassing())
	}
	return text
}

func whereRow(choice *laburnumgwv1.WhereChoice, c *laburnumgwv1.WhereCandidate) []string {
	verdict := "eligible"
	switch {
	case c.GetVm() == choice.GetChosen():
		verdict = "chosen"
	case c.GetFilteredBy() != "":
		verdict = c.GetFilteredBy()
	}
	return []string{choice.GetService(), c.GetVm(), c.GetZone(), verdict, fmt.Sprintf("%.2f", c.GetScore()), fmt.Sprint(c.GetRunning()), fmt.Sprint(c.GetQueued()),
		fmt.Sprint(c.GetSlots()), milliseconds(c.GetExpectedMs()), milliseconds(c.GetAgeMs()), orNone(c.GetVersion())}
}

// milliseconds returns the text of a time, which is negative when unknown.
func milliseconds(value int64) string {
	if value < 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", value)
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
