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

func (c *Commands) demo(set *flag.FlagSet) func(context.Context) error {
	settings := demonstrator.Settings{Progress: c.errors}
	set.DurationVar(&settings.Duration, "duration", 0, "how long requests arrive; 0: the default")
	set.Float64Var(&settings.Rate, "rate", 0, "requests a second; 0: the default")
	set.Uint64Var(&settings.Seed, "seed", 1, "seed of the requests")
	asJSON := set.Bool("json", false, "print the report as JSON")
	level := set.String("log-level", "off", "the routers' logs: off, error, warn, info, debug")

	return func(ctx context.Context) error {
		settings.Logger = c.logger(*level)
		report, err := demonstrator.Run(ctx, settings)
		if err != nil {
			return err
		}
		if err := c.print(*asJSON, report, report.Print); err != nil {
			return err
		}
		if !report.IsCorrect() {
			return errFailed
		}

		return nil
	}
}

func (c *Commands) logger(level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "oleanderpick", Level: hclog.LevelFromString(level), Output: c.errors})
}

// print writes a report as JSON or as a table.
func (c *Commands) print(asJSON bool, report any, table func(io.Writer)) error {
	if !asJSON {
		table(c.output)

		return nil
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	fmt.Fprintln(c.output, string(encoded))

	return nil
}
