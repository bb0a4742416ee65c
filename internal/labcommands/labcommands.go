// Package labcommands holds the commands of the lab's program: the stand-ins
// and the tools that measure routers.
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

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
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
`

// errFailed is a run whose result is bad and already printed.
var errFailed = errors.New("run failed")

// Commands runs the program's commands.
type Commands struct {
	output io.Writer
	errors io.Writer
	getenv func(string) string
}

// New returns the commands, which read the environment by getenv.
func New(output, errorOutput io.Writer, getenv func(string) string) *Commands {
	return &Commands{output: output, errors: errorOutput, getenv: getenv}
}

// command declares its flags on the set and returns what to run once they are
// parsed.
type command func(c *Commands, set *flag.FlagSet) func(ctx context.Context) error

func table() map[string]command {
	return map[string]command{
		"compare":  (*Commands).compare,
		"demo":     (*Commands).demo,
		"load":     (*Commands).load,
		"simulate": (*Commands).simulate,
		"platform": (*Commands).platform,
		"engine":   (*Commands).engine,
		"service":  (*Commands).service,
		"capacity": (*Commands).capacity,
	}
}

// Run runs the command in the arguments and returns the exit code.
func (c *Commands) Run(arguments []string) int {
	if len(arguments) == 0 {
		fmt.Fprint(c.errors, usage)

		return exitInvalid
	}
	chosen, ok := table()[arguments[0]]
	if !ok {
		fmt.Fprint(c.errors, usage)
		if arguments[0] == "-h" || arguments[0] == "help" {
			return exitOK
		}

		return exitInvalid
	}

	set := flag.NewFlagSet("oleanderlab "+arguments[0], flag.ContinueOnError)
	set.SetOutput(c.errors)
	run := chosen(c, set)
	if err := flagger.Parse(set, arguments[1:], c.getenv); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(c.errors, err)

		return exitInvalid
	}

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errFailed):
		return exitFailed
	default:
		fmt.Fprintln(c.errors, err)

		return exitInvalid
	}
}
