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

// partArgument is the positional argument of commands that change one part.
type partArgument struct {
	Part string `positional-arg-name:"PART" required:"yes" description:"ID of the part, as in the prompts"`
}

// addPart adds the commands for parts of prompts on which workers crash.
func addPart(parser *flags.Parser, session *Session) error {
	command, err := parser.AddCommand("part", "See, block and release parts of prompts",
		"Shows and changes the parts of prompts whose requests all entries on the users' platform refuse.", &struct{}{})
	if err != nil {
		return err
	}
	store := partStore{session: session}
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"list", "Show the blocked parts", "Lists the blocked parts with their workspaces and trials.", &partListCommand{partStore: store}},
		{"block", "Block a part", "Has all entries refuse requests whose prompt holds a part.", &partBlockCommand{partStore: store}},
		{"release", "Release a part", "Ends the block of a part. Crashes known so far do not count again.", &partReleaseCommand{partStore: store}},
	} {
		if _, err := command.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	return nil
}

// blockedPart is a blocked part as the commands print it.
type blockedPart struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	platform.BlockedPart
}

// read returns the blocked parts. Objects that cannot be read are listed with the error as reason.
func (s *partStore) read(ctx context.Context) ([]blockedPart, error) {
	objects, _, err := platform.NewStore(s.Store).List(ctx, platform.KindBlockedParts)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "check --store", "blocked parts cannot be read")
	}
	list := make([]blockedPart, 0, len(objects))
	for _, object := range objects {
		decoded, err := platform.DecodeBlockedPart(object.Name, object.Value)
		if err != nil {
			decoded.Reason = err.Error()
		}
		list = append(list, blockedPart{object.Name, object.Revision, decoded})
	}
	return list, nil
}

type partListCommand struct{ partStore }

// Execute lists the blocked parts.
func (c *partListCommand) Execute([]string) error {
	ctx, cancel := c.session.Context()
	defer cancel()
	list, err := c.read(ctx)
	if err != nil {
		return err
	}
	table := Table{Header: []string{"NAME", "PARTS", "WORKSPACES", "TRIALS", "SURVIVED", "REASON"}, Summary: fmt.Sprintf("%d blocked", len(list))}
	for _, b := range list {
		workspaces := "all"
		if len(b.Workspaces) > 0 {
			workspaces = strings.Join(b.Workspaces, ",")
		}
		table.Rows = append(table.Rows, []string{b.Name, strings.Join(b.Parts, ","), workspaces, fmt.Sprint(b.Trials), fmt.Sprint(b.Survived), b.Reason})
	}
	return c.session.Output().Print(list, table)
}

type partBlockCommand struct {
	partStore
	Workspaces []string     `long:"workspace" value-name:"NAME" description:"workspace whose requests are refused, repeatable (default: all)"`
	Reason     string       `long:"reason" value-name:"TEXT" description:"reason that is recorded"`
	Args       partArgument `positional-args:"yes"`
}

// Execute blocks a part.
func (c *partBlockCommand) Execute([]string) error {
	ctx, cancel := c.session.Context()
	defer cancel()
	name := platform.PartName(c.Args.Part)
	block := platform.BlockedPart{Parts: []string{name}, Workspaces: c.Workspaces, Reason: strings.TrimSpace(c.session.Operator() + ": " + c.Reason)}
	if err := platform.NewStore(c.Store).Put(ctx, platform.KindBlockedParts, name, block); err != nil {
		return fmt.Errorf("block part %s: %w", name, err)
	}
	return c.session.Output().Print(blockedPart{Name: name, BlockedPart: block}, Table{Summary: "part " + name + " is blocked"})
}

type partReleaseCommand struct {
	partStore
	Args partArgument `positional-args:"yes"`
}

var errNotBlocked = errors.New("part is not blocked")

// Execute releases the blocks with a name, or of a part alone.
func (c *partReleaseCommand) Execute([]string) error {
	ctx, cancel := c.session.Context()
	defer cancel()
	list, err := c.read(ctx)
	if err != nil {
		return err
	}
	name := platform.PartName(c.Args.Part)
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
	if released == 0 {
		return errkind.Wrap(errNotBlocked, errkind.NotFound, "see part list", "release %s", c.Args.Part)
	}
	return c.session.Output().Print(map[string]int{"released": released}, Table{Summary: fmt.Sprintf("%s is released", c.Args.Part)})
}
