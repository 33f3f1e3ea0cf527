//go:build review

// Command review-standin plays one case of the review: it starts the project's processes, the
// stand-ins for the users' platform, workers and callers around them, and checks one rule.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by their names. Each returns an error if it could not run.
var cases = map[string]func(*fleet) error{
	"repeated-answer": repeatedAnswer,
	"slow-staging":    slowStaging,
	"gone-worker":     goneWorker,
	"late-staging":    lateStaging,
	"large-bodies":    largeBodies,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 5 && args[0] == "worker" {
		return runWorker(args[1], args[2], args[3], args[4])
	}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		return exitNotRun
	}
	record, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.write("case %s, with the disruption: %t", args[0], trouble)
	f, err := newFleet(record, trouble)
	if err == nil {
		err = playCase(f, cases[args[0]])
	}
	if f != nil {
		f.stop()
	}
	switch {
	case err != nil:
		record.write("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case record.breaches() > 0:
		record.write("the rule was broken %d times", record.breaches())
		return exitBroken
	}
	record.write("the rule held")
	return exitHeld
}

// maxRunTime bounds a case.
const maxRunTime = 105 * time.Second

var errInterrupted = errors.New("interrupted, or not over in time")

// playCase runs a case until it ends, or a signal or maxRunTime ends it.
func playCase(f *fleet, play func(*fleet) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- play(f) }()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return errInterrupted
	}
}
