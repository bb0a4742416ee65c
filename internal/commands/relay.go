package commands

import (
	"flag"
	"fmt"
	"log"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/common/flagger"
	"github.com/oleanderpick/oleanderpick/internal/common/reloader"
	"github.com/oleanderpick/oleanderpick/internal/common/spooler"
	"github.com/oleanderpick/oleanderpick/internal/configurer"
	"github.com/oleanderpick/oleanderpick/internal/relayrunner"
	"github.com/oleanderpick/oleanderpick/platform"
)

// relay runs an instance that relays opaque requests on the users' platform.
func (c *Commands) relay(arguments []string) int {
	settings, err := c.relaySettings(arguments)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(c.errors, err)

		return exitInvalid
	}
	lines := spooler.New(spooler.DefaultSettings(), c.output, time.Now)
	defer lines.Close()
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "oleanderpick",
		Level:      hclog.LevelFromString(settings.LogLevel),
		JSONFormat: true,
		Output:     lines,
	})
	// net/http logs odd answers by the standard logger.
	log.SetFlags(0)
	log.SetOutput(logger.Named("http").StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}))
	stop, _ := signals()
	runner := relayrunner.New(settings, relayrunner.Platform{
		Dialect:   platform.Objects{},
		Reader:    platform.Declared{},
		Codec:     platform.Headers{},
		ReadyPath: platform.ReadyPath,
	}, logger)
	again := reloader.New(reloader.DefaultInterval, settings,
		func() (configurer.Relay, error) { return c.relaySettings(arguments) }, runner.Reload, logger.Named("reloader"))
	runner.AddService(again)
	reloads(again.Prompt)
	if err := runner.Run(stop); err != nil {
		logger.Error("Instance failed.", "error", err)

		return exitFailed
	}

	return exitOK
}

// relaySettings reads the settings from the arguments, the platform's settings
// file and the environment, in this order of precedence.
func (c *Commands) relaySettings(arguments []string) (configurer.Relay, error) {
	getenv := c.getenv
	if path := c.getenv(platform.SettingsVariable); path != "" {
		var err error
		if getenv, err = flagger.File(path, c.getenv); err != nil {
			return configurer.Relay{}, err
		}
	}

	return configurer.ParseRelay(arguments, getenv, c.output)
}

// checkSettings says whether a settings file of relay is valid.
func (c *Commands) checkSettings(path string) int {
	getenv, err := flagger.File(path, func(string) string { return "" })
	if err == nil {
		_, err = configurer.ParseRelay(nil, getenv, c.output)
	}
	if err != nil {
		fmt.Fprintln(c.errors, err)

		return exitFailed
	}
	fmt.Fprintf(c.output, "settings file %q: valid\n", path)

	return exitOK
}
