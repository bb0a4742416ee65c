// Package labcommands implements the command line of the program oleanderlab: the
// commands that run stand-ins for a platform, an engine and a plain service, and the
// tools that send load to routers and measure or compare them.
package labcommands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/common/flagger"
)

// Exit codes of the commands. Every error except errRunFailed exits with
// exitInvalidInput.
const (
	exitOK           = 0
	exitFailed       = 1
	exitInvalidInput = 2
)

const usage = `Usage: oleanderlab COMMAND [-h]

  demo       a platform, engines, a plain service and three routers in one
             process; sends real traffic and prints a report
  compare    the same arrivals to several policies, in rounds, on real routers
             and stand-ins in one process; prints ratios and bounds
  simulate   heavy days before modelled engines, in virtual time: the placer,
             naive ways and one that knows every engine's state
  load       an open-loop load on running routers; prints what callers saw
  platform   stand-in for the platform's object API and instance list
  engine     stand-in for a model engine
  service    stand-in for a plain service
  capacity   one node's control parts at parts of the plan's size; prints slopes
  test       the tests of this repository without the known failures, which
             are printed
`

// errRunFailed is returned by a command after it has printed a report with a failed
// check, such as a bound that is not met. It selects exitFailed and isn't printed.
var errRunFailed = errors.New("run failed")

// Commands runs the commands of the program.
type Commands struct {
	output      io.Writer
	errorOutput io.Writer
	getenv      func(string) string
}

// New returns the commands. They print results to output and errors to errorOutput,
// and look up environment variables with getenv.
func New(output, errorOutput io.Writer, getenv func(string) string) *Commands {
	return &Commands{output: output, errorOutput: errorOutput, getenv: getenv}
}

// commandSetup declares a command's flags on a flag set and returns the function that
// runs the command once the flags are parsed.
type commandSetup func(c *Commands, flagSet *flag.FlagSet) func(ctx context.Context) error

// commandSetups returns the setup function of each command by the command's name.
func commandSetups() map[string]commandSetup {
	return map[string]commandSetup{
		"compare":  (*Commands).compare,
		"demo":     (*Commands).demo,
		"load":     (*Commands).load,
		"simulate": (*Commands).simulate,
		"platform": (*Commands).platform,
		"engine":   (*Commands).engine,
		"service":  (*Commands).service,
		"capacity": (*Commands).capacity,
		"test":     (*Commands).test,
	}
}

// Run runs the command that the first argument names, with the remaining arguments as
// its flags, and returns the exit code. SIGINT and SIGTERM cancel its context.
func (c *Commands) Run(arguments []string) int {
	if len(arguments) == 0 {
		fmt.Fprint(c.errorOutput, usage)

		return exitInvalidInput
	}
	setup, found := commandSetups()[arguments[0]]
	if !found {
		fmt.Fprint(c.errorOutput, usage)
		if arguments[0] == "-h" || arguments[0] == "help" {
			return exitOK
		}

		return exitInvalidInput
	}

	flagSet := flag.NewFlagSet("oleanderlab "+arguments[0], flag.ContinueOnError)
	flagSet.SetOutput(c.errorOutput)
	run := setup(c, flagSet)
	if err := flagger.Parse(flagSet, arguments[1:], c.getenv); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(c.errorOutput, err)

		return exitInvalidInput
	}

	ctx, stopNotify := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopNotify()
	err := run(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errRunFailed):
		return exitFailed
	default:
		fmt.Fprintln(c.errorOutput, err)

		return exitInvalidInput
	}
}
