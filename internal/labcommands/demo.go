package labcommands

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/lab/demonstrator"
)

// demo declares the flags of the command `demo`, which runs a small deployment in one
// process and sends requests to it.
func (c *Commands) demo(flagSet *flag.FlagSet) func(context.Context) error {
	settings := demonstrator.Settings{Progress: c.errorOutput}
	flagSet.DurationVar(&settings.Duration, "duration", 0, "how long requests arrive; 0: the default")
	flagSet.Float64Var(&settings.Rate, "rate", 0, "requests a second; 0: the default")
	flagSet.Uint64Var(&settings.Seed, "seed", 1, "seed of the requests")
	asJSON := flagSet.Bool("json", false, "print the report as JSON")
	logLevel := flagSet.String("log-level", "off", "the routers' logs: off, error, warn, info, debug")

	return func(ctx context.Context) error {
		settings.Logger = c.newLogger(*logLevel)
		report, err := demonstrator.Run(ctx, settings)
		if err != nil {
			return err
		}
		if err := c.printReport(*asJSON, report, report.Print); err != nil {
			return err
		}
		if !report.IsCorrect() {
			return errRunFailed
		}

		return nil
	}
}

// newLogger returns a logger that writes to the error output. The level is a value of
// the flag -log-level.
func (c *Commands) newLogger(level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "oleanderpick", Level: hclog.LevelFromString(level), Output: c.errorOutput})
}

// printReport writes a report to the output, as indented JSON or by calling
// printTable.
func (c *Commands) printReport(asJSON bool, report any, printTable func(io.Writer)) error {
	if !asJSON {
		printTable(c.output)

		return nil
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	fmt.Fprintln(c.output, string(encoded))

	return nil
}
