package labcommands

import (
	"context"
	"flag"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/common/flagger"
	"github.com/oleanderpick/oleanderpick/internal/lab/profiler"
)

// capacity declares the flags of the command `capacity`, which measures the control
// parts of one instance at several shares of the planned deployment's size.
func (c *Commands) capacity(flagSet *flag.FlagSet) func(context.Context) error {
	shareList := flagSet.String("sizes", "0.125,0.25,0.5,1", "`shares` of the plan's size to measure, by commas")
	seed := flagSet.Uint64("seed", 1, "seed of the requests")
	asJSON := flagSet.Bool("json", false, "print the report as JSON")
	plotPath := flagSet.String("plot", "", "`file` to draw the figures to (.png, .svg or .pdf)")

	return func(ctx context.Context) error {
		shares, err := parseShares(*shareList)
		if err != nil {
			return err
		}
		report, err := profiler.Run(ctx, profiler.Settings{Plan: profiler.FullPlan(), ScaleFactors: shares, Seed: *seed})
		if err != nil {
			return err
		}
		if *plotPath != "" {
			if err := report.Plot(*plotPath); err != nil {
				return err
			}
		}

		return c.printReport(*asJSON, report, report.Print)
	}
}

// parseShares parses the value of -sizes, a comma-separated list of shares of the
// planned size. Each share must be above 0 and at most 2.
func parseShares(list string) ([]float64, error) {
	var shares []float64
	for item := range strings.SplitSeq(list, ",") {
		share, err := strconv.ParseFloat(strings.TrimSpace(item), 64)
		if err != nil {
			return nil, errors.Wrapf(err, "setting -sizes: value %q", list)
		}
		if share <= 0 || share > 2 {
			return nil, flagger.InvalidValueError("sizes", list, "shares above 0 and at most 2")
		}
		shares = append(shares, share)
	}

	return shares, nil
}
