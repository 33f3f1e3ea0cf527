package ctl

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"laburnumgw/lib/errkind"
	"laburnumgw/platform"
)

// partStore holds the flags and calls of the commands for blocked parts.
type partStore struct {
	session *Session
	Store   string `long:"store" env:"LABURNUMCTL_STORE" value-name:"HOST:PORT" required:"yes" description:"address of the users' platform's store"`
}

// partArgument is the positional argument of commands that change one block.
type partArgument struct {
	Part string `positional-arg-name:"NAME" required:"yes" description:"ID of the part, as in the prompts, or name of the request, as in the logs"`
}

// addPart adds the commands for parts of prompts and whole requests on which workers crash.
func addPart(parser *flags.Parser, session *Session) error {
	command, err := parser.AddCommand("part", "See, block and release parts of prompts and whole requests",
		"Shows and changes what all entries on the users' platform refuse: requests whose prompt holds a part, and whole requests (one path, workspace and body), which are named request- and 32 digits.", &struct{}{})
	if err != nil {
		return err
	}
	store := partStore{session: session}
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"list", "Show what is blocked", "Lists the blocked parts and requests with their workspaces and trials.", &partListCommand{partStore: store}},
		{"block", "Block a part or a request", "Has all entries refuse requests whose prompt holds a part, or one whole request.", &partBlockCommand{partStore: store}},
		{"release", "Release a part or a request", "Ends a block. Crashes known so far do not count again.", &partReleaseCommand{partStore: store}},
	} {
		if _, err := command.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	return nil
}

// blockedPart is a block as the commands print it.
type blockedPart struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"`
	Revision int64  `json:"revision"`
	platform.BlockedPart
}

// Kinds of blocks. One that cannot be read has none.
const (
	kindPart    = "part"
	kindRequest = "request"
)

func blockKind(b platform.BlockedPart) string {
	if b.IsRequest() {
		return kindRequest
	}
	return kindPart
}

// read returns the blocks. Objects that cannot be read are listed with the error as reason.
func (s *partStore) read(ctx context.Context) ([]blockedPart, error) {
	objects, _, err := platform.NewStore(s.Store).List(ctx, platform.KindBlockedParts)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "check --store", "blocks cannot be read")
	}
	list := make([]blockedPart, 0, len(objects))
	for _, object := range objects {
		decoded, err := platform.DecodeBlockedPart(object.Name, object.Value)
		kind := blockKind(decoded)
		if err != nil {
			decoded.Reason, kind = err.Error(), ""
		}
		list = append(list, blockedPart{object.Name, kind, object.Revision, decoded})
	}
	return list, nil
}

type partListCommand struct{ partStore }

// Execute lists the blocks.
func (c *partListCommand) Execute([]string) error {
	ctx, cancel := c.session.Context()
	defer cancel()
	list, err := c.read(ctx)
	if err != nil {
		return err
	}
	table := Table{Header: []string{"NAME", "KIND", "PARTS", "WORKSPACES", "TRIALS", "SURVIVED", "REASON"}, Summary: fmt.Sprintf("%d blocked", len(list))}
	for _, b := range list {
		workspaces := "all"
		if len(b.Workspaces) > 0 {
			workspaces = strings.Join(b.Workspaces, ",")
		}
		parts := strings.Join(b.Parts, ",")
		if b.Kind == kindRequest {
			parts, workspaces = "-", "its own"
		}
		table.Rows = append(table.Rows, []string{b.Name, b.Kind, parts, workspaces, fmt.Sprint(b.Trials), fmt.Sprint(b.Survived), b.Reason})
	}
	return c.session.Output().Print(list, table)
}

type partBlockCommand struct {
	partStore
	Workspaces []string     `long:"workspace" value-name:"NAME" description:"workspace whose requests are refused, repeatable (default: all)"`
	Reason     string       `long:"reason" value-name:"TEXT" description:"reason that is recorded"`
	Args       partArgument `positional-args:"yes"`
}

var errOwnWorkspace = errors.New("a request is of one workspace, which its name stands for")

// Execute blocks a part or a request.
func (c *partBlockCommand) Execute([]string) error {
	ctx, cancel := c.session.Context()
	defer cancel()
	name, err := platform.BlockName(c.Args.Part)
	if err != nil {
		return err //nolint:wrapcheck // the error names the argument
	}
	block := platform.BlockedPart{Parts: []string{name}, Workspaces: c.Workspaces, Reason: strings.TrimSpace(c.session.Operator() + ": " + c.Reason)}
	kind := blockKind(block)
	if kind == kindRequest && len(c.Workspaces) > 0 {
		return errkind.Wrap(errOwnWorkspace, errkind.Invalid, "omit --workspace", "block %s", name)
	}
	if err := platform.NewStore(c.Store).Put(ctx, platform.KindBlockedParts, name, block); err != nil {
		return fmt.Errorf("block %s %s: %w", kind, name, err)
	}
	summary := kind + " " + name + " is blocked"
	if kind == kindRequest {
		summary = name + " is blocked"
	}
	return c.session.Output().Print(blockedPart{Name: name, Kind: kind, BlockedPart: block}, Table{Summary: summary})
}

type partReleaseCommand struct {
	partStore
	Args partArgument `positional-args:"yes"`
}

var errNotBlocked = errors.New("it is not blocked")

// Execute releases the blocks with a name, or of a part or request alone.
func (c *partReleaseCommand) Execute([]string) error {
	ctx, cancel := c.session.Context()
	defer cancel()
	list, err := c.read(ctx)
	if err != nil {
		return err
	}
	name, nameErr := platform.BlockName(c.Args.Part)
	released := 0
	for _, b := range list {
		if b.Name != c.Args.Part && !slices.Equal(b.Parts, []string{name}) {
			continue
		}
		if err := platform.NewStore(c.Store).Delete(ctx, platform.KindBlockedParts, b.Name, b.Revision); err != nil {
			return fmt.Errorf("release %s: %w", b.Name, err)
		}
		released++
	}
	switch {
	case released == 0 && nameErr != nil:
		return nameErr //nolint:wrapcheck // the error names the argument
	case released == 0:
		return errkind.Wrap(errNotBlocked, errkind.NotFound, "see part list", "release %s", c.Args.Part)
	}
	return c.session.Output().Print(map[string]int{"released": released}, Table{Summary: fmt.Sprintf("%s is released", c.Args.Part)})
}
