// Command laburnumstandin runs a stand-in for one external system: the platform's object
// API, the weight store and origin, a model engine or a plain service. Tests and the
// demonstration use it.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"laburnumgw/standin"
)

type listenOptions struct {
	Listen string `long:"listen" env:"LABURNUMSTANDIN_LISTEN" required:"true" description:"address to listen on, IP:port"`
}

type platformCommand struct {
	listenOptions
	Reads  float64 `long:"reads-per-second" default:"2000" description:"reads above this rate get 429"`
	Writes float64 `long:"writes-per-second" default:"400" description:"writes above this rate get 429"`
}

// Execute runs the stand-in platform.
func (c *platformCommand) Execute([]string) error {
	server := standin.NewPlatform(standin.PlatformLimits{ReadsPerSecond: c.Reads, WritesPerSecond: c.Writes})
	return run(c.Listen, server.Handler())
}

type originCommand struct {
	listenOptions
	Requests float64 `long:"requests-per-second" default:"200" description:"requests above this rate get 429"`
	Bytes    float64 `long:"bytes-per-second" default:"200000000" description:"rate of the origin's link"`
}

// Execute runs the stand-in weight store and origin.
func (c *originCommand) Execute([]string) error {
	server := standin.NewOrigin(standin.OriginLimits{RequestsPerSecond: c.Requests, BytesPerSecond: c.Bytes})
	return run(c.Listen, server.Handler())
}

type engineCommand struct {
	listenOptions
	TokenDelay   time.Duration `long:"token-delay" default:"5ms" description:"time between tokens"`
	WarmLimit    int           `long:"warm-limit" default:"32" description:"concurrent requests that a warm engine bears"`
	ColdLimit    int           `long:"cold-limit" default:"4" description:"concurrent requests that a cold engine bears"`
	WarmAfter    int           `long:"warm-after" default:"8" description:"completed requests after which the engine is warm"`
	CheckFencing bool          `long:"check-fencing" description:"refuse load commands with an old fencing number"`
	NoResume     bool          `long:"no-resume" description:"refuse to resume streams"`
}

// Execute runs the stand-in model engine.
func (c *engineCommand) Execute([]string) error {
	engine := standin.NewEngine(standin.EngineOptions{
		StartID:      strconv.FormatInt(time.Now().UnixNano(), 36),
		TokenDelay:   c.TokenDelay,
		WarmLimit:    c.WarmLimit,
		ColdLimit:    c.ColdLimit,
		WarmAfter:    c.WarmAfter,
		CheckFencing: c.CheckFencing,
		NoResume:     c.NoResume,
	})
	return run(c.Listen, engine.Handler())
}

type serviceCommand struct {
	listenOptions
	Delay time.Duration `long:"delay" default:"5ms" description:"time that one booking takes"`
}

// Execute runs the stand-in plain service.
func (c *serviceCommand) Execute([]string) error {
	return run(c.Listen, standin.NewService(standin.ServiceOptions{Delay: c.Delay}).Handler())
}

func run(address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return standin.Serve(ctx, address, handler)
}

func main() {
	parser := flags.NewNamedParser("laburnumstandin", flags.Default)
	add := func(name, short string, command any) {
		if _, err := parser.AddCommand(name, short, short, command); err != nil {
			panic(err)
		}
	}
	add("platform", "Run the platform's object API", &platformCommand{})
	add("origin", "Run the weight store and origin", &originCommand{})
	add("engine", "Run a model engine", &engineCommand{})
	add("service", "Run a plain service", &serviceCommand{})
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		fmt.Fprintln(os.Stderr, "laburnumstandin:", err)
		os.Exit(1)
	}
}
