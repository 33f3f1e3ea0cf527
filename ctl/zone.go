package ctl

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"laburnumgw/lib/config"
	"laburnumgw/lib/configstore"
	"laburnumgw/lib/errkind"
)

// maxZoneAttempts bounds how often the command applies its change while other operators
// change other files.
const maxZoneAttempts = 20

// addZone adds the commands for availability zones.
func addZone(parser *flags.Parser, session *Session) error {
	command, err := parser.AddCommand("zone", "Take availability zones out of service and back",
		"Changes the state of an availability zone through a file of its own in the accepted configuration.", &struct{}{})
	if err != nil {
		return err
	}
	_, err = command.AddCommand("out", "Take a zone out of service", "Stops new work for an availability zone.",
		&zoneCommand{session: session, state: config.ZoneOutOfService})
	if err != nil {
		return err
	}
	_, err = command.AddCommand("in", "Bring a zone back into service", "Allows new work for an availability zone.",
		&zoneCommand{session: session, state: config.ZoneInService})
	return err
}

type zoneCommand struct {
	session *Session
	state   config.ZoneState
	Args    struct {
		Zone string `positional-arg-name:"ZONE" required:"yes" description:"name of the zone"`
	} `positional-args:"yes"`
}

// Execute changes the state of the zone.
func (c *zoneCommand) Execute([]string) error {
	store, err := c.session.Store()
	if err != nil {
		return err
	}
	ctx, cancel := c.session.Context()
	defer cancel()
	applied, err := setZone(ctx, configstore.NewClient(store), c.Args.Zone, c.state, c.session.Operator())
	if err != nil {
		return err
	}
	summary := fmt.Sprintf("zone %s is %s since generation %d", c.Args.Zone, c.state, applied.Generation)
	if applied.Unchanged {
		summary = fmt.Sprintf("zone %s is already %s in generation %d", c.Args.Zone, c.state, applied.Generation)
	}
	return c.session.Output().Print(applied, Table{Summary: summary})
}

// zoneFile returns the name of the file that holds the state of a zone.
func zoneFile(zone string) string { return fmt.Sprintf("90-zone-%s.yaml", zone) }

// setZone sets the state of a zone in the zone's own file of the accepted configuration. It
// applies again after conflicts on other files, and fails when another operator changed the
// zone's file at the same time.
func setZone(ctx context.Context, client *configstore.Client, zone string, state config.ZoneState, operator string) (configstore.ApplyResult, error) {
	name := zoneFile(zone)
	for attempt := 1; ; attempt++ {
		generation, files, err := client.ReadFiles(ctx)
		if err != nil {
			return configstore.ApplyResult{}, err
		}
		changed, err := withZone(files, zone, state)
		if err != nil {
			return configstore.ApplyResult{}, err
		}
		if changed == nil {
			return configstore.ApplyResult{Generation: generation, Unchanged: true}, nil
		}
		applied, err := client.Apply(ctx, configstore.Change{Files: changed, Base: generation, Operator: operator})
		var conflict *configstore.ConflictError
		if !errors.As(err, &conflict) || conflict.MayHaveChanged(name) || attempt >= maxZoneAttempts {
			return applied, err
		}
	}
}

// withZone returns the files with the zone in the given state, or nil if the zone already has
// that state. It fails if the zone does not exist or a later file overrides its state.
func withZone(files []config.File, zone string, state config.ZoneState) ([]config.File, error) {
	snapshot, err := config.Parse(files)
	if err != nil {
		return nil, err
	}
	current, ok := snapshot.Zones[zone]
	if !ok {
		names := strings.Join(slices.Sorted(maps.Keys(snapshot.Zones)), ", ")
		return nil, errkind.New(errkind.NotFound, "use one of: "+names, "zone %q does not exist", zone)
	}
	if current.State == state {
		return nil, nil
	}
	name := zoneFile(zone)
	changed := slices.DeleteFunc(slices.Clone(files), func(f config.File) bool { return f.Name == name })
	changed = append(changed, config.File{Name: name, Content: fmt.Appendf(nil, "zones:\n  %q:\n    state: %s\n", zone, state)})
	after, err := config.Parse(changed)
	if err != nil {
		return nil, err
	}
	if after.Zones[zone].State != state {
		origin, _ := after.Origin("zones." + zone + ".state")
		return nil, errkind.New(errkind.Invalid, "remove the state from that file and apply the folder",
			"%s overrides the state of zone %q", origin, zone)
	}
	return changed, nil
}
