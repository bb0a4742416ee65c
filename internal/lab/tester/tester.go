// Package tester runs this repository's tests. It leaves out those that are listed as known
// failures, prints them, and reports a listed test that passes.
package tester

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// KnownFailuresPath is the path of the list of known failures in the repository.
const KnownFailuresPath = "KNOWN-RED.txt"

// KnownFailure is an entry of the list of known failures.
type KnownFailure struct {
	// Test is the name of a Go test function; empty if the entry names no test.
	Test string
	// Day is the name of a day of a bench; empty if the entry names a test.
	Day string
	// Command reproduces the failure. A note in parentheses may follow it.
	Command string
	// Seen says what was seen, and Issue what is open.
	Seen, Issue string
}

// ParseKnownFailures reads a list of known failures: lines "key: text", of which "test" and
// "day" each begin an entry.
func ParseKnownFailures(list io.Reader) ([]KnownFailure, error) {
	var failures []KnownFailure
	lines := bufio.NewScanner(list)
	for lineNumber := 1; lines.Scan(); lineNumber++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		key, text, ok := strings.Cut(lines.Text(), ": ")
		if !ok {
			return nil, errors.Errorf("line %d: no \"key: text\"", lineNumber)
		}
		if key == "test" || key == "day" {
			failures = append(failures, KnownFailure{})
		}
		if len(failures) == 0 {
			return nil, errors.Errorf("line %d: %q before the first entry", lineNumber, key)
		}
		if !failures[len(failures)-1].set(key, text) {
			return nil, errors.Errorf("line %d: unknown key %q", lineNumber, key)
		}
	}

	return failures, lines.Err()
}

// set sets the field with the given key. It returns false if there is none.
func (f *KnownFailure) set(key, text string) bool {
	fields := map[string]*string{"test": &f.Test, "day": &f.Day, "command": &f.Command, "seen": &f.Seen, "issue": &f.Issue}
	field, ok := fields[key]
	if ok {
		*field = text
	}

	return ok
}

// goTestArguments returns the arguments of the `go test` command that reproduces the failure.
// It returns false if the command is another one.
func (f KnownFailure) goTestArguments() ([]string, bool) {
	command, _, _ := strings.Cut(f.Command, " (")
	rest, ok := strings.CutPrefix(command, "go test ")

	return strings.Fields(strings.ReplaceAll(rest, "'", "")), ok && f.Test != ""
}

// RunFunc runs the go command with arguments.
type RunFunc func(ctx context.Context, arguments ...string) error

// GoCommand returns a RunFunc that runs the go command in the current directory and writes
// what it prints to output.
func GoCommand(output io.Writer) RunFunc {
	return func(ctx context.Context, arguments ...string) error {
		command := exec.CommandContext(ctx, "go", arguments...) //nolint:gosec // The arguments are those of this repository.
		command.Stdout, command.Stderr = output, output

		if err := command.Run(); err != nil {
			return errors.Wrapf(err, "go %s", strings.Join(arguments, " "))
		}

		return nil
	}
}

// Settings say which tests run.
type Settings struct {
	// Race runs the tests with the race detector.
	Race bool
	// Long also runs, without the race detector, the tests that it makes too slow.
	Long bool
	// Known runs only the known failures and reports those that pass.
	Known bool
}

// longTests are the arguments of `go test` for the tests that take minutes under the race
// detector: the bounds at the planned size, simulated large fleets, fleets whose endpoints crash, and those that report usage.
var longTests = [][]string{
	{"-run", "^TestPlan", "./internal/lab/profiler"},
	{"-run", "^TestLarge", "./internal/lab/simulator"},
	{"./pkg/isolator"},
	{"-run", "^TestUsage", "./platform"},
}

// raceTests are the arguments of `go test` for all tests under the race detector. Up to Go
// 1.26 the detector fails at random when two threads run timers of one synctest bubble, so
// each test process has one: what is a race follows from the order of events, not from threads.
// That takes longer, so the limit is far above what a busy machine needs.
var raceTests = []string{"-race", "-cpu", "1", "-timeout", "60m", "./..."}

// Tester runs the tests.
type Tester struct {
	settings Settings
	failures []KnownFailure
	run      RunFunc
	output   io.Writer
}

// New returns a tester that leaves out the given failures. It runs tests with run and writes
// its own lines to output.
func New(settings Settings, failures []KnownFailure, run RunFunc, output io.Writer) *Tester {
	return &Tester{settings: settings, failures: failures, run: run, output: output}
}

// ReadKnownFailures reads the list of known failures in the current directory. A list that
// does not exist is empty.
func ReadKnownFailures() ([]KnownFailure, error) {
	file, err := os.Open(KnownFailuresPath)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "open the list of known failures")
	}
	failures, err := ParseKnownFailures(file)
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, errors.Wrap(err, KnownFailuresPath)
	}

	return failures, nil
}

// Run runs the tests. It returns an error if one fails that is not listed, or if a listed one
// passes where listed ones are run.
func (t *Tester) Run(ctx context.Context) error {
	if t.settings.Known {
		return t.runKnown(ctx)
	}
	arguments := []string{"./..."}
	if t.settings.Race {
		arguments = raceTests
	}
	err := t.run(ctx, t.testArguments(arguments)...)
	if t.settings.Long {
		for _, arguments := range longTests {
			err = errors.Join(err, t.run(ctx, t.testArguments(arguments)...))
		}
	}
	t.printFailures()

	return err
}

// testArguments returns the arguments of the go command for a run of tests without the listed
// ones.
func (t *Tester) testArguments(arguments []string) []string {
	var names []string
	for _, failure := range t.failures {
		if failure.Test != "" {
			names = append(names, regexp.QuoteMeta(failure.Test))
		}
	}
	if len(names) > 0 {
		arguments = append([]string{"-skip", "^(" + strings.Join(names, "|") + ")$"}, arguments...)
	}

	return append([]string{"test"}, arguments...)
}

// printFailures prints the known failures, which are not part of the verdict.
func (t *Tester) printFailures() {
	for _, failure := range t.failures {
		fmt.Fprintf(t.output, "known failure, not run: %s%s\n  command: %s\n  seen: %s\n  issue: %s\n",
			failure.Test, failure.Day, failure.Command, failure.Seen, failure.Issue)
	}
}

// runKnown runs the listed tests, each by its command. It returns an error that names those
// that pass: they are to be taken off the list.
func (t *Tester) runKnown(ctx context.Context) error {
	var passed []string
	for _, failure := range t.failures {
		arguments, ok := failure.goTestArguments()
		if !ok {
			fmt.Fprintf(t.output, "not run, no test: %s\n", failure.Day)

			continue
		}
		err := t.run(ctx, slices.Concat([]string{"test"}, arguments)...)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			passed = append(passed, failure.Test)
		}
	}
	if len(passed) > 0 {
		return errors.Errorf("listed in %s but passed: %s", KnownFailuresPath, strings.Join(passed, ", "))
	}

	return nil
}
