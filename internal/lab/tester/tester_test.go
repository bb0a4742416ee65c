package tester_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/tester"
)

const list = "test: TestA\ncommand: go test -run '^TestA$' ./a (seed 1)\nseen: 2 of 1\nissue: 2\n" +
	"day: d1\ncommand: bench replay d1\nseen: late\nissue: 21\n"

// run runs a tester over the list. The go command fails if fails returns true for its
// arguments. It returns the commands, what was printed and the error.
func run(t *testing.T, settings tester.Settings, fails func(arguments string) bool) (commands []string, output string, err error) {
	t.Helper()
	failures, err := tester.ParseKnownFailures(strings.NewReader(list))
	assert.NilError(t, err)
	var builder strings.Builder
	err = tester.New(settings, failures, func(_ context.Context, arguments ...string) error {
		commands = append(commands, strings.Join(arguments, " "))
		if fails(commands[len(commands)-1]) {
			return errors.New("failed")
		}

		return nil
	}, &builder).Run(t.Context())

	return commands, builder.String(), err
}

// Guards against a test command of the README that fails for known failures alone.
func TestListedTestsAreLeftOutAndPrinted(t *testing.T) {
	for _, test := range []struct {
		settings tester.Settings
		want     []string
	}{
		{tester.Settings{}, []string{"test -skip ^(TestA)$ ./..."}},
		{tester.Settings{Race: true, Long: true}, []string{
			"test -skip ^(TestA)$ -race -cpu 1 -timeout 60m ./...", "test -skip ^(TestA)$ -run ^TestPlan ./internal/lab/profiler",
			"test -skip ^(TestA)$ -run ^TestLarge ./internal/lab/simulator", "test -skip ^(TestA)$ ./pkg/isolator",
			"test -skip ^(TestA)$ -run ^TestUsage ./platform",
		}},
	} {
		commands, output, err := run(t, test.settings, func(string) bool { return false })
		assert.NilError(t, err)
		assert.DeepEqual(t, commands, test.want)
		assert.Assert(t, strings.Contains(output, "known failure, not run: TestA\n  command: go test -run '^TestA$' ./a (seed 1)\n"), output)
		assert.Assert(t, strings.Contains(output, "known failure, not run: d1\n"), output)
	}
	_, _, err := run(t, tester.Settings{Long: true}, func(arguments string) bool { return strings.HasSuffix(arguments, "isolator") })
	assert.ErrorContains(t, err, "failed")
}

// Guards against a list that still names tests that pass.
func TestListedTestThatPassesIsReported(t *testing.T) {
	commands, output, err := run(t, tester.Settings{Known: true}, func(string) bool { return false })
	assert.ErrorContains(t, err, "listed in KNOWN-RED.txt but passed: TestA")
	assert.DeepEqual(t, commands, []string{"test -run ^TestA$ ./a"})
	assert.Equal(t, output, "not run, no test: d1\n")
	_, _, err = run(t, tester.Settings{Known: true}, func(string) bool { return true })
	assert.NilError(t, err)
}

func TestInvalidListNamesTheLine(t *testing.T) {
	for invalid, want := range map[string]string{
		"seen: x\n":            "line 1: \"seen\" before the first entry",
		"test: TestA\nwhat: x": "line 2: unknown key \"what\"",
		"test: TestA\nx\n":     "line 2: no \"key: text\"",
	} {
		_, err := tester.ParseKnownFailures(strings.NewReader(invalid))
		assert.Error(t, err, want)
	}
}
