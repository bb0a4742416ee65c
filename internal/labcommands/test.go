package labcommands

import (
	"context"
	"flag"
	"fmt"

	"github.com/oleanderpick/oleanderpick/internal/lab/tester"
)

// test declares the flags of the command `test`, which runs the repository's tests apart
// from known failures. It must run in the repository's root directory.
func (c *Commands) test(flagSet *flag.FlagSet) func(context.Context) error {
	settings := tester.Settings{}
	flagSet.BoolVar(&settings.Race, "race", false, "run the tests with the race detector")
	flagSet.BoolVar(&settings.Long, "long", false, "also run, without the race detector, the tests that it makes too slow")
	flagSet.BoolVar(&settings.Known, "known", false, "run only the known failures, and fail if one passes")

	return func(ctx context.Context) error {
		failures, err := tester.ReadKnownFailures()
		if err != nil {
			return err
		}
		if err := tester.New(settings, failures, tester.GoCommand(c.output), c.output).Run(ctx); err != nil {
			fmt.Fprintln(c.errorOutput, err)

			return errRunFailed
		}

		return nil
	}
}
