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

// relay runs an instance that relays requests on the platform without interpreting
// their bodies, until a signal stops it.
func (c *Commands) relay(arguments []string) int {
	settings, err := c.readRelaySettings(arguments)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(c.errorOutput, err)

		return exitInvalidInput
	}
	logOutput := spooler.New(spooler.DefaultSettings(), c.output, time.Now)
	defer logOutput.Close()
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "oleanderpick",
		Level:      hclog.LevelFromString(settings.LogLevel),
		JSONFormat: true,
		Output:     logOutput,
	})
	// net/http reports unexpected responses through the standard logger.
	log.SetFlags(0)
	log.SetOutput(logger.Named("http").StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}))
	stop, _ := stopSignals()
	instance := relayrunner.New(settings, relayrunner.Platform{
		Dialect:   platform.ObjectDialect{},
		Decoder:   platform.ObjectDecoder{},
		Codec:     platform.HeaderCodec{},
		ReadyPath: platform.ReadyPath,
		Cloud:     platform.CloudFormat{},
		Features:  platform.Features,
	}, relayrunner.NewHost(), logger)
	settingsReloader := reloader.New(reloader.DefaultInterval, settings,
		func() (configurer.RelaySettings, error) { return c.readRelaySettings(arguments) }, instance.Reload, logger.Named("reloader"))
	instance.AddService(settingsReloader)
	reloadOnHangup(settingsReloader.RequestReload)
	if err := instance.Run(stop); err != nil {
		logger.Error("Instance failed.", "error", err)

		return exitFailed
	}

	return exitOK
}

// readRelaySettings reads the settings of `relay`. Arguments take precedence over the
// platform's settings file, which takes precedence over the environment.
func (c *Commands) readRelaySettings(arguments []string) (configurer.RelaySettings, error) {
	getenv := c.getenv
	if path := c.getenv(platform.SettingsFileVariable); path != "" {
		var err error
		if getenv, err = flagger.ReadSettingsFile(path, c.getenv); err != nil {
			return configurer.RelaySettings{}, err
		}
	}

	return configurer.ParseRelaySettings(arguments, getenv, c.output)
}

// checkSettingsFile validates a settings file of `relay` and prints the result.
func (c *Commands) checkSettingsFile(path string) int {
	getenv, err := flagger.ReadSettingsFile(path, func(string) string { return "" })
	if err == nil {
		_, err = configurer.ParseRelaySettings(nil, getenv, c.output)
	}
	if err != nil {
		fmt.Fprintln(c.errorOutput, err)

		return exitFailed
	}
	fmt.Fprintf(c.output, "settings file %q: valid\n", path)

	return exitOK
}
