// Package commands implements the command line of the program oleanderpick.
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

// Version is the program's version, which the command `version` prints.
const Version = "0.1.0"

// Exit codes of the commands.
const (
	exitOK           = 0
	exitFailed       = 1
	exitInvalidInput = 2
)

const usage = `Usage: oleanderpick COMMAND [-h]

  serve         run one entry instance
  relay         run one instance that relays requests on the users' platform
  check FILE…   validate resource manifests without a platform
  check -settings FILE
                validate a settings file of relay
  version       print the version
`

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

// Run runs the command that the first argument names and returns the exit code.
func (c *Commands) Run(arguments []string) int {
	if len(arguments) == 0 {
		fmt.Fprint(c.errorOutput, usage)

		return exitInvalidInput
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
		fmt.Fprintf(c.errorOutput, "command %q: allowed: serve, relay, check, version\n", arguments[0])

		return exitInvalidInput
	}
}

// serve runs an instance until a signal stops it.
func (c *Commands) serve(arguments []string) int {
	settings, err := configurer.ParseSettings(arguments, c.getenv, c.output)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(c.errorOutput, err)

		return exitInvalidInput
	}

	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "oleanderpick",
		Level:      hclog.LevelFromString(settings.LogLevel),
		JSONFormat: settings.LogFormat == "json",
		Output:     c.errorOutput,
	})
	instance, err := runner.New(settings, runner.Options{}, logger)
	if err != nil {
		fmt.Fprintln(c.errorOutput, err)

		return exitInvalidInput
	}

	// The first signal begins a planned stop, the second stops at once.
	stop, force := stopSignals()
	if err := instance.Run(stop, force); err != nil {
		logger.Error("Stop was not clean.", "error", err)

		return exitFailed
	}

	return exitOK
}

// reloadOnHangup starts to call reload on each SIGHUP until the process ends.
func reloadOnHangup(reload func()) {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	go func() {
		for range received {
			reload()
		}
	}()
}

// stopSignals returns two contexts: stop ends with the first SIGINT or SIGTERM that
// the process receives, force with the second.
func stopSignals() (stop, force context.Context) {
	stop, cancelStop := context.WithCancel(context.Background())
	force, cancelForce := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-received
		cancelStop()
		<-received
		cancelForce()
	}()

	return stop, force
}

// check validates resource manifests or, with -settings, a settings file of `relay`.
func (c *Commands) check(arguments []string) int {
	set := flag.NewFlagSet("oleanderpick check", flag.ContinueOnError)
	set.SetOutput(c.output)
	settingsFile := set.String("settings", "", "settings `file` of relay to check instead of manifests")
	set.Usage = func() {
		fmt.Fprintln(c.output, "Usage: oleanderpick check FILE…|FOLDER…\n       oleanderpick check -settings FILE")
	}
	if err := set.Parse(arguments); err != nil {
		return exitOK
	}
	if *settingsFile != "" {
		return c.checkSettingsFile(*settingsFile)
	}
	if set.NArg() == 0 {
		fmt.Fprintln(c.errorOutput, "check: value \"\": allowed: one or more files or folders")

		return exitInvalidInput
	}
	problemCount, err := checker.New(c.output).Check(set.Args())
	if err != nil {
		fmt.Fprintln(c.errorOutput, err)

		return exitInvalidInput
	}
	if problemCount > 0 {
		return exitFailed
	}

	return exitOK
}
