package ctl

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/jessevdk/go-flags"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/configstore"
)

// pollInterval is the time between two polls of `status rollout --wait`.
const pollInterval = 500 * time.Millisecond

// addStatus adds the commands that show the state of the system, and the command that delivers
// the configuration to a partitioned availability zone.
func addStatus(parser *flags.Parser, session *Session) error {
	command, err := parser.AddCommand("status", "Show endpoints, entries and rollouts",
		"Shows what one entry knows: endpoints with load, versions served, and progress of the distribution.", &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"endpoints", "List the endpoints", "Lists the endpoints with state, load, version and progress.", &statusEndpoints{session: session}},
		{"entries", "List the entries", "Lists the entries that are alive.", &statusEntries{session: session}},
		{"rollout", "Show the distribution of versions", "Shows by availability zone how many VMs hold and serve each version.", &statusRollout{session: session}},
	} {
		if _, err := command.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	_, err = parser.AddCommand("push", "Deliver the accepted configuration to a process",
		"Delivers the configuration that the platform has accepted to an entry of a partitioned availability zone, which spreads it there. It never creates a generation.",
		&pushCommand{session: session})
	return err
}

type statusEndpoints struct {
	session *Session
	NodeOptions
}

// Execute lists the endpoints.
func (c *statusEndpoints) Execute([]string) error {
	status, err := c.status()
	if err != nil {
		return err
	}
	lines := endpointLines(status)
	table := Table{
		Header:  []string{"VM", "ZONE", "REGION", "STATE", "IN-FLIGHT", "QUEUED", "LIMIT", "SERVING", "CHUNKS"},
		Summary: fmt.Sprintf("%d endpoints, configuration generation %d", len(lines), status.GetConfigGeneration()),
	}
	for _, l := range lines {
		table.Rows = append(table.Rows, []string{l.VM, l.Zone, l.Region, l.State, formatInt32(l.InFlight), formatInt32(l.Queued), formatInt32(l.Limit), l.Serving, l.Progress})
	}
	return c.session.Output().Print(lines, table)
}

func formatInt32(n int32) string { return strconv.Itoa(int(n)) }

type statusEntries struct {
	session *Session
	NodeOptions
}

// entryLine is the line of one entry in the output of `status entries`.
type entryLine struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Execute lists the entries.
func (c *statusEntries) Execute([]string) error {
	status, err := c.status()
	if err != nil {
		return err
	}
	var lines []entryLine
	table := Table{Header: []string{"VM", "ZONE", "REGION", "ADDRESS", "LEAVING"}}
	for _, e := range status.GetEntries() {
		lines = append(lines, entryLine{e.GetVm(), e.GetZone(), e.GetRegion(), e.GetAddress(), e.GetLeaving()})
		table.Rows = append(table.Rows, []string{e.GetVm(), e.GetZone(), e.GetRegion(), e.GetAddress(), strconv.FormatBool(e.GetLeaving())})
	}
	return c.session.Output().Print(lines, table)
}

type statusRollout struct {
	session *Session
	NodeOptions
	Wait  bool   `long:"wait" description:"wait until enough VMs serve the version, and print progress"`
	Model string `long:"model" description:"model to show; all by default"`
	VMs   int    `long:"vms" default:"1" description:"number of VMs that --wait waits for"`
	// Digest may be a prefix of the version digest.
	Digest string `long:"digest" description:"version digest or its first digits that --wait waits for"`
}

// rolloutLine is the progress of one version in one availability zone.
type rolloutLine struct {
	Model       string `json:"model"`
	Digest      string `json:"digest"`
	Zone        string `json:"zone"`
	VMs         int    `json:"vms"`
	Complete    int    `json:"whole"`
	Serving     int    `json:"serving"`
	ChunksHave  int    `json:"chunks_have"`
	ChunksTotal int    `json:"chunks_total"`
	OriginBytes int64  `json:"origin_bytes"`
}

// Execute shows the rollout once or, with --wait, polls it until enough VMs serve the version.
// It fails if they do not within the timeout of the options.
func (c *statusRollout) Execute([]string) error {
	started := time.Now()
	deadline := started.Add(c.session.Options.Timeout)
	for {
		status, err := c.status()
		if err != nil {
			return err
		}
		lines := rollout(status, c.Model)
		serving := 0
		for _, l := range lines {
			if len(l.Digest) >= len(c.Digest) && l.Digest[:len(c.Digest)] == c.Digest {
				serving += l.Serving
			}
		}
		if !c.Wait || serving >= c.VMs {
			return c.print(lines, serving, time.Since(started))
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d VMs serve the version after %s; see `status endpoints` and the logs of the others", serving, c.VMs, c.session.Options.Timeout)
		}
		c.printProgress(lines, time.Since(started))
		time.Sleep(pollInterval)
	}
}

// printProgress writes one line with the percentage of chunks held, the complete VMs by
// availability zone, and an estimate of the remaining time.
func (c *statusRollout) printProgress(lines []rolloutLine, elapsed time.Duration) {
	have, total := 0, 0
	text := ""
	for _, l := range lines {
		have += l.ChunksHave
		total += l.ChunksTotal
		text += fmt.Sprintf("  %s %d/%d VMs", l.Zone, l.Complete, l.VMs)
	}
	if total == 0 || have == 0 {
		return
	}
	remaining := time.Duration(float64(elapsed) * float64(total-have) / float64(have))
	fmt.Fprintf(c.session.environment.Stderr, "chunks %d%%%s  remaining about %s\n", 100*have/total, text, remaining.Round(time.Second))
}

func (c *statusRollout) print(lines []rolloutLine, serving int, elapsed time.Duration) error {
	table := Table{Header: []string{"MODEL", "VERSION", "ZONE", "VMS", "WHOLE", "SERVING", "ORIGIN-MB"}}
	for _, l := range lines {
		table.Rows = append(table.Rows, []string{l.Model, shortDigest(l.Digest), l.Zone, strconv.Itoa(l.VMs), strconv.Itoa(l.Complete), strconv.Itoa(l.Serving),
			strconv.FormatFloat(float64(l.OriginBytes)/(1<<20), 'f', 1, 64)})
	}
	if c.Wait {
		table.Summary = fmt.Sprintf("%d VMs serve the version after %s", serving, elapsed.Round(100*time.Millisecond))
	}
	return c.session.Output().Print(lines, table)
}

// rollout sums up the progress of the endpoints by version and availability zone.
func rollout(status *laburnumgwv1.StatusResponse, model string) []rolloutLine {
	var lines []rolloutLine
	findOrAdd := func(name, digest, zone string) *rolloutLine {
		for i := range lines {
			if lines[i].Model == name && lines[i].Digest == digest && lines[i].Zone == zone {
				return &lines[i]
			}
		}
		lines = append(lines, rolloutLine{Model: name, Digest: digest, Zone: zone})
		return &lines[len(lines)-1]
	}
	for _, e := range status.GetEndpoints() {
		for _, p := range e.GetProgress() {
			if model != "" && p.GetModel() != model {
				continue
			}
			line := findOrAdd(p.GetModel(), p.GetVersionDigest(), e.GetZone())
			line.VMs++
			line.ChunksHave += int(p.GetChunksHave())
			line.ChunksTotal += int(p.GetChunksTotal())
			line.OriginBytes += p.GetOriginBytes()
			if p.GetChunksHave() == p.GetChunksTotal() {
				line.Complete++
			}
			if e.GetServing()[p.GetModel()] == p.GetVersionDigest() {
				line.Serving++
			}
		}
	}
	sortRollout(lines)
	return lines
}

type pushCommand struct {
	session *Session
	NodeOptions
}

// Execute delivers the accepted configuration.
func (c *pushCommand) Execute([]string) error {
	return c.session.withClient(func(ctx context.Context, client *configstore.Client) error {
		generation, err := c.push(ctx, client)
		if err != nil {
			return err
		}
		return c.session.Output().Print(struct {
			Generation uint64 `json:"generation"`
		}{generation}, Table{Summary: fmt.Sprintf("%s acts on generation %d", c.Entry, generation)})
	})
}
