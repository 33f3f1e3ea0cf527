// Command laburnumgw is the daemon. It runs as an entry, which takes requests from
// callers, or as an endpoint process, which runs on the VM of an endpoint.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"laburnumgw/endpoint"
	"laburnumgw/entry"
	"laburnumgw/lib/membudget"
	"laburnumgw/lib/mtls"
	"laburnumgw/lib/settings"
	"laburnumgw/platform"
)

// Exit codes of the daemon.
const (
	exitFailure  = 1
	exitSettings = 2
)

// runner is a process with all its dependencies.
type runner interface {
	Run(ctx context.Context) error
}

type entryCommand struct {
	entry.Settings
}

// Execute runs an entry.
func (c *entryCommand) Execute([]string) error {
	if err := checkSettings(c.Validate(), &c.Process, mtls.RoleEntry); err != nil {
		return err
	}
	membudget.LimitRuntime(c.MemoryMB)
	process, err := initializeEntry(&c.Settings)
	if err != nil {
		return err
	}
	return run(process)
}

type endpointCommand struct {
	endpoint.Settings
}

// Execute runs an endpoint process.
func (c *endpointCommand) Execute([]string) error {
	if err := checkSettings(c.Validate(), &c.Process, mtls.RoleEndpoint); err != nil {
		return err
	}
	process, err := initializeEndpoint(&c.Settings)
	if err != nil {
		return err
	}
	return run(process)
}

// hostedOptions are the settings of a process on the users' platform that do not come
// from the platform's settings file.
type hostedOptions struct {
	LogLevel  string  `long:"log-level" env:"LABURNUMGW_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
	LogDetail float64 `long:"log-detail" env:"LABURNUMGW_LOG_DETAIL" default:"300" description:"most lines a second for requests that go well; others are never bounded"`
}

type hostedEntryCommand struct {
	hostedOptions
	RoutingPolicy string `long:"routing-policy" env:"LABURNUMGW_ROUTING_POLICY" default:"least-estimated" choice:"least-estimated" choice:"power-of-two" choice:"least-reported" choice:"round-robin" choice:"random" description:"how a worker is chosen; all but the default are for comparison"`
	Spillover     string `long:"spillover" env:"LABURNUMGW_SPILLOVER" default:"auto" choice:"auto" choice:"off" description:"auto: where workers state their load, part of the requests leaves a zone that is slower than others; off: distance alone decides"`
}

// Execute runs an entry on the users' platform.
func (c *hostedEntryCommand) Execute([]string) error {
	return runHosted(&c.hostedOptions, func(s *platform.Settings, o *hostedOptions) (runner, error) {
		s.RoutingPolicy = c.RoutingPolicy
		s.NoSpillover = c.Spillover == "off"
		return initializeHostedEntry(s, o)
	})
}

type hostedEndpointCommand struct {
	hostedOptions
	WeightsPolicy string `long:"weights-policy" env:"LABURNUMGW_WEIGHTS_POLICY" default:"swarm" choice:"swarm" choice:"origin-only" choice:"fixed-tree" choice:"random-piece" description:"how weights are fetched; all but the default are for comparison"`
}

// Execute runs an endpoint process on the users' platform.
func (c *hostedEndpointCommand) Execute([]string) error {
	return runHosted(&c.hostedOptions, func(s *platform.Settings, o *hostedOptions) (runner, error) {
		s.WeightsPolicy = c.WeightsPolicy
		return initializeHostedEndpoint(s, o)
	})
}

type checkCommand struct {
	Positional struct {
		File string `positional-arg-name:"FILE" description:"settings file; by default the one that LABURNUMGW_BOOT names"`
	} `positional-args:"yes"`
}

// Execute checks a settings file of the users' platform without starting a process.
func (c *checkCommand) Execute([]string) error {
	path := c.Positional.File
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return settingsError{err}
	}
	role, roleErr := s.Role()
	if roleErr != nil {
		return settingsError{roleErr}
	}
	fmt.Printf("%s: settings of %s in zone %s are valid for %s\n", path, s.VM, s.Zone, role)
	return nil
}

func runHosted(options *hostedOptions, initialize func(*platform.Settings, *hostedOptions) (runner, error)) error {
	s, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return settingsError{err}
	}
	membudget.LimitRuntime(s.MemoryMB)
	process, err := initialize(s, options)
	if err != nil {
		return err
	}
	return run(process)
}

// settingsError marks an error as caused by invalid settings, for which the daemon exits
// with exitSettings.
type settingsError struct{ error }

// checkSettings returns the problems of the settings or, where there are none, those of
// the process's certificate: unreadable files, or an identity that does not match the
// settings.
func checkSettings(problems error, process *settings.Process, role mtls.Role) error {
	if problems != nil {
		return settingsError{problems}
	}
	keys, err := mtls.LoadKeys(process.Files())
	if err != nil {
		return settingsError{err}
	}
	var checker settings.Checker
	checker.Identity(process, role, keys.Identity())
	if err := checker.Err(); err != nil {
		return settingsError{err}
	}
	return nil
}

func run(process runner) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return process.Run(ctx)
}

func main() {
	os.Exit(execute(os.Args[1:]))
}

func execute(args []string) int {
	parser := flags.NewNamedParser("laburnumgw", flags.HelpFlag|flags.PassDoubleDash)
	add := func(name, short string, command any) {
		if _, err := parser.AddCommand(name, short, short+".", command); err != nil {
			panic(err)
		}
	}
	add("entry", "Run the process of an entry VM", &entryCommand{})
	add("endpoint", "Run the process of an endpoint VM", &endpointCommand{})
	add("hosted-entry", "Run the process of an entry VM on the users' platform", &hostedEntryCommand{})
	add("hosted-endpoint", "Run the process on the VM of a model worker on the users' platform", &hostedEndpointCommand{})
	add("check", "Check a settings file of the users' platform", &checkCommand{})
	_, err := parser.ParseArgs(args)
	if err == nil {
		return 0
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, "laburnumgw:", err)
	var invalid settingsError
	if usage != nil || errors.As(err, &invalid) {
		return exitSettings
	}
	return exitFailure
}
