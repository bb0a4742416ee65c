// Package commands holds the commands of the router's program.
package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/checker"
	"github.com/oleanderpick/oleanderpick/internal/configurer"
	"github.com/oleanderpick/oleanderpick/internal/runner"
)

// Version is the program's version.
const Version = "0.1.0"

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

const usage = `Usage: oleanderpick COMMAND [-h]

  serve         run one entry instance
  relay         run one instance that relays requests on the users' platform
  check FILE…   validate resource manifests without a platform
  check -settings FILE
                validate a settings file of relay
  version       print the version
`

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

// Run runs the command in the arguments and returns the exit code.
func (c *Commands) Run(arguments []string) int {
	if len(arguments) == 0 {
		fmt.Fprint(c.errors, usage)

		return exitInvalid
	}
	switch arguments[0] {
	case "serve":
		return c.serve(arguments[1:])
	case "relay":
		return c.relay(arguments[1:])
	case "check":
		return c.check(arguments[1:])
	case "version":
		fmt.Fprintln(c.output, "oleanderpick", Version)

		return exitOK
	case "-h", "-help", "--help", "help":
		fmt.Fprint(c.output, usage)

		return exitOK
	default:
		fmt.Fprintf(c.errors, "command %q: allowed: serve, relay, check, version\n", arguments[0])

		return exitInvalid
	}
}

func (c *Commands) serve(arguments []string) int {
	settings, err := configurer.ParseSettings(arguments, c.getenv, c.output)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(c.errors, err)

		return exitInvalid
	}

	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "oleanderpick",
		Level:      hclog.LevelFromString(settings.LogLevel),
		JSONFormat: settings.LogFormat == "json",
		Output:     c.errors,
	})
	router, err := runner.New(settings, runner.Options{}, logger)
	if err != nil {
		fmt.Fprintln(c.errors, err)

		return exitInvalid
	}

	// The first signal stops as planned, the second at once.
	stop, force := signals()
	if err := router.Run(stop, force); err != nil {
		logger.Error("Stop was not clean.", "error", err)

		return exitFailed
	}

	return exitOK
}

// reloads calls reload on each SIGHUP, until the process ends.
func reloads(reload func()) {
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGHUP)
	go func() {
		for range caught {
			reload()
		}
	}()
}

func signals() (stop, force context.Context) {
	stop, stopNow := context.WithCancel(context.Background())
	force, forceNow := context.WithCancel(context.Background())
	caught := make(chan os.Signal, 2)
	signal.Notify(caught, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-caught
		stopNow()
		<-caught
		forceNow()
	}()

	return stop, force
}

func (c *Commands) check(arguments []string) int {
	set := flag.NewFlagSet("oleanderpick check", flag.ContinueOnError)
	set.SetOutput(c.output)
	settings := set.String("settings", "", "settings `file` of relay to check instead of manifests")
	set.Usage = func() {
		fmt.Fprintln(c.output, "Usage: oleanderpick check FILE…|FOLDER…\n       oleanderpick check -settings FILE")
	}
	if err := set.Parse(arguments); err != nil {
		return exitOK
	}
	if *settings != "" {
		return c.checkSettings(*settings)
	}
	if set.NArg() == 0 {
		fmt.Fprintln(c.errors, "check: value \"\": allowed: one or more files or folders")

		return exitInvalid
	}
	problems, err := checker.New(c.output).Check(set.Args())
	if err != nil {
		fmt.Fprintln(c.errors, err)

		return exitInvalid
	}
	if problems > 0 {
		return exitFailed
	}

	return exitOK
}
