// Package ctl implements laburnumctl, the command line tool of operators. The function groups
// lists the functions that add its commands.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/user"
	"time"

	"github.com/jessevdk/go-flags"

	"laburnumgw/lib/config"
	"laburnumgw/lib/configstore"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

// Exit codes of laburnumctl.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitInvalid  = 3
	ExitConflict = 4
)

// programName is the name in help texts and in the completion script.
const programName = "laburnumctl"

// Environment holds the outputs and dependencies of the commands, so that tests can replace
// them.
type Environment struct {
	Stdout io.Writer
	Stderr io.Writer
	// NewStore opens the object API of a platform. If it is nil, the REST client is used.
	NewStore func(url string) (platform.Store, error)
}

// Options are the flags of all commands.
type Options struct {
	Platform string        `long:"platform" env:"LABURNUMCTL_PLATFORM" value-name:"URL" description:"base URL of the platform's object API"`
	Output   string        `short:"o" long:"output" env:"LABURNUMCTL_OUTPUT" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Operator string        `long:"operator" env:"LABURNUMCTL_OPERATOR" value-name:"NAME" description:"name recorded with changes (default: the login name)"`
	Timeout  time.Duration `long:"timeout" env:"LABURNUMCTL_TIMEOUT" default:"60s" description:"time after which a command gives up"`
}

// Session holds the options and the environment of one command line. All commands share it.
type Session struct {
	Options     Options
	environment Environment
}

// group adds a command or a group of commands to the parser.
type group func(parser *flags.Parser, session *Session) error

// groups lists the command groups in the order of the help text.
func groups() []group {
	return []group{addConfig, addZone, addModel, addPart, addStatus, addExplain, addWhere, addRecord, addReport, addKeys, addCompletion}
}

// Output returns the printer for results.
func (s *Session) Output() *Output {
	return &Output{writer: s.environment.Stdout, json: s.Options.Output == outputJSON}
}

// Context returns a context that expires after the timeout of the options.
func (s *Session) Context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.Options.Timeout)
}

// Store opens the object API of the platform that the options name.
func (s *Session) Store() (platform.Store, error) {
	if s.Options.Platform == "" {
		return nil, &usageError{text: "no platform is set; use --platform or LABURNUMCTL_PLATFORM"}
	}
	if s.environment.NewStore != nil {
		return s.environment.NewStore(s.Options.Platform)
	}
	return platform.NewClient(s.Options.Platform), nil
}

// Operator returns the name that is recorded with changes.
func (s *Session) Operator() string {
	if s.Options.Operator != "" {
		return s.Options.Operator
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

// usageError reports a command line with missing or wrong arguments. Its text includes the
// remedy.
type usageError struct{ text string }

// Error returns the problem and its remedy.
func (e *usageError) Error() string { return e.text }

// newParser returns the command tree.
func newParser(session *Session) (*flags.Parser, error) {
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "operates laburnumgw"
	if _, err := parser.AddGroup("Options", "", &session.Options); err != nil {
		return nil, fmt.Errorf("add options: %w", err)
	}
	for _, add := range groups() {
		if err := add(parser, session); err != nil {
			return nil, fmt.Errorf("add commands: %w", err)
		}
	}
	return parser, nil
}

// Run runs one command line and returns the exit code.
func Run(args []string, environment Environment) int {
	session := &Session{environment: environment}
	parser, err := newParser(session)
	if err != nil {
		fmt.Fprintln(environment.Stderr, err)
		return ExitFailure
	}
	_, err = parser.ParseArgs(args)
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Fprintln(environment.Stdout, flagError.Message)
		return ExitOK
	}
	if err != nil {
		printError(environment.Stderr, session.Options.Output == outputJSON, err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var flagError *flags.Error
	var usage *usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagError), errors.As(err, &usage):
		return ExitUsage
	case errkind.Is(err, errkind.Invalid):
		return ExitInvalid
	case errkind.Is(err, errkind.Conflict):
		return ExitConflict
	default:
		return ExitFailure
	}
}

// errorReport is an error in JSON form.
type errorReport struct {
	Kind     errkind.Kind               `json:"kind,omitempty"`
	Message  string                     `json:"message"`
	Problems []config.Problem           `json:"problems,omitempty"`
	Conflict *configstore.ConflictError `json:"conflict,omitempty"`
}

func printError(w io.Writer, asJSON bool, err error) {
	if !asJSON {
		fmt.Fprintf(w, "%s: %v\n", programName, err)
		return
	}
	report := errorReport{Kind: errkind.Of(err), Message: err.Error()}
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		report.Problems = invalid.Problems
	}
	errors.As(err, &report.Conflict)
	_ = writeJSON(w, struct {
		Error errorReport `json:"error"`
	}{report})
}
