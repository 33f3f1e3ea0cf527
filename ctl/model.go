package ctl

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/jessevdk/go-flags"

	"laburnumgw/lib/configstore"
)

const (
	kilobyte = 1 << 10
	// progressInterval is the time between two progress lines of an upload.
	progressInterval = time.Second
)

// addModel adds the commands for model versions.
func addModel(parser *flags.Parser, session *Session) error {
	command, err := parser.AddCommand("model", "Publish and list model versions",
		"Uploads model versions to the weight store and records their manifests on the platform.", &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"publish", "Publish a file or folder as a version", "Uploads the weights and records the manifest. Publishing the same content again changes nothing.",
			&modelPublish{session: session}},
		{"list", "List the published versions", "Lists model versions with size and state.", &modelList{session: session}},
		{"withdraw", "Withdraw a version", "Marks a version as withdrawn, so that it is no longer placed.", &modelWithdraw{session: session}},
	} {
		if _, err := command.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	return nil
}

type modelPublish struct {
	session *Session
	Origin  string `long:"origin" env:"LABURNUMCTL_ORIGIN" required:"true" value-name:"URL" description:"base URL of the weight store"`
	ChunkKB int64  `long:"chunk-kb" default:"1024" description:"size of a chunk in KB"`
	Args    struct {
		Model   string         `positional-arg-name:"MODEL" required:"yes" description:"name of the model"`
		Version string         `positional-arg-name:"VERSION" required:"yes" description:"name of the version"`
		Path    flags.Filename `positional-arg-name:"PATH" required:"yes" description:"file or folder with the weights"`
	} `positional-args:"yes"`
}

// publishResult is the output of `model publish`.
type publishResult struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Digest  string `json:"digest"`
	Bytes   int64  `json:"bytes"`
	Chunks  int    `json:"chunks"`
}

// Execute uploads the weights, then records the manifest.
func (c *modelPublish) Execute([]string) error {
	if c.ChunkKB <= 0 {
		return &usageError{text: "--chunk-kb must be positive"}
	}
	store, err := c.session.Store()
	if err != nil {
		return err
	}
	ctx, cancel := c.session.Context()
	defer cancel()
	progress := progressPrinter(c.session.environment.Stderr)
	manifest, err := upload(ctx, c.Origin, c.Args.Model, c.Args.Version, string(c.Args.Path), c.ChunkKB*kilobyte, progress)
	if err != nil {
		return err
	}
	if err := configstore.NewClient(store).PublishModel(ctx, manifest.ToProto(), c.session.Operator()); err != nil {
		return err
	}
	result := publishResult{c.Args.Model, c.Args.Version, manifest.Digest().String(), manifest.Size, len(manifest.Chunks)}
	return c.session.Output().Print(result, Table{Summary: fmt.Sprintf("published %s %s: %d bytes in %d chunks, digest %s",
		result.Model, result.Version, result.Bytes, result.Chunks, result.Digest)})
}

// progressPrinter returns a function that prints the progress of an upload at most once per
// progressInterval.
func progressPrinter(w io.Writer) func(done, total int64) {
	next := time.Now().Add(progressInterval)
	return func(done, total int64) {
		if now := time.Now(); now.After(next) {
			fmt.Fprintf(w, "uploaded %d of %d bytes\n", done, total)
			next = now.Add(progressInterval)
		}
	}
}

type modelList struct{ session *Session }

// Execute lists the versions.
func (c *modelList) Execute([]string) error {
	return c.session.withClient(func(ctx context.Context, client *configstore.Client) error {
		models, err := client.ListModels(ctx)
		if err != nil {
			return err
		}
		table := Table{Header: []string{"MODEL", "VERSION", "STATE", "BYTES", "DIGEST"}}
		for _, m := range models {
			table.Rows = append(table.Rows, []string{m.Model, m.Version, string(m.State), strconv.FormatInt(m.Size, 10), shortDigest(m.ManifestDigest)})
		}
		if len(models) == 0 {
			table.Summary = "no versions are published"
		}
		return c.session.Output().Print(models, table)
	})
}

type modelWithdraw struct {
	session *Session
	Args    struct {
		Model   string `positional-arg-name:"MODEL" required:"yes" description:"name of the model"`
		Version string `positional-arg-name:"VERSION" required:"yes" description:"name of the version"`
	} `positional-args:"yes"`
}

// Execute withdraws a version.
func (c *modelWithdraw) Execute([]string) error {
	return c.session.withClient(func(ctx context.Context, client *configstore.Client) error {
		if err := client.WithdrawModel(ctx, c.Args.Model, c.Args.Version); err != nil {
			return err
		}
		return c.session.Output().Print(struct {
			Withdrawn string `json:"withdrawn"`
		}{c.Args.Model + " " + c.Args.Version}, Table{Summary: fmt.Sprintf("withdrew %s %s", c.Args.Model, c.Args.Version)})
	})
}

// withClient runs a function with a client of the configuration that is stored on the
// platform.
func (s *Session) withClient(run func(ctx context.Context, client *configstore.Client) error) error {
	store, err := s.Store()
	if err != nil {
		return err
	}
	ctx, cancel := s.Context()
	defer cancel()
	return run(ctx, configstore.NewClient(store))
}
