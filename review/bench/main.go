// Command review plays the review's cases: it starts relay processes with the command of the deploy
// file, beside stand-ins for callers, servers and the platform's store, and judges by what callers
// and servers have seen.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout limits the run of a case.
const caseTimeout = 110 * time.Second

// verdict says how a case has ended.
type verdict struct {
	isBroken bool
	summary  string
}

// caseFunc plays a case. hasTrouble is false if the disruption is left out.
type caseFunc func(ctx context.Context, f *fleet, out *record, hasTrouble bool) (verdict, error)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run plays the case of the given name and writes its record to a file.
func run(arguments []string) int {
	cases := map[string]caseFunc{"foreign": playForeignAnswer, "path": playDoubleSlash, "long": playLongAnswers, "prompts": playLongPrompts, "refusals": playRefusals, "copies": playCopies, "endless": playEndless, "stop": playStop, "soak": playSoak}
	const usage = "usage: review CASE RECORD"
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, usage)

		return exitNotRun
	}
	out, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitNotRun
	}
	defer out.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	out.printf("case %s, trouble %t", arguments[0], hasTrouble)
	f, err := newFleet(ctx)
	if err != nil {
		out.printf("could not run: %v", err)

		return exitNotRun
	}
	defer f.stop()
	ended, err := cases[arguments[0]](ctx, f, out, hasTrouble)
	switch {
	case err != nil:
		out.printf("could not run: %v", err)

		return exitNotRun
	case ended.isBroken:
		out.printf("BROKEN: %s", ended.summary)

		return exitBroken
	}
	out.printf("held: %s", ended.summary)

	return exitHeld
}
