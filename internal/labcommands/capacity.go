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
// components of one instance at several fractions of the planned deployment's size.
func (c *Commands) capacity(flagSet *flag.FlagSet) func(context.Context) error {
	sizeList := flagSet.String("sizes", "0.125,0.25,0.5,1", "`shares` of the plan's size to measure, by commas")
	seed := flagSet.Uint64("seed", 1, "seed of the requests")
	asJSON := flagSet.Bool("json", false, "print the report as JSON")
	plotPath := flagSet.String("plot", "", "`file` to draw the figures to (.png, .svg or .pdf)")

	return func(ctx context.Context) error {
		scaleFactors, err := parseScaleFactors(*sizeList)
		if err != nil {
			return err
		}
		report, err := profiler.Run(ctx, profiler.Settings{Plan: profiler.FullPlan(), ScaleFactors: scaleFactors, Seed: *seed})
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

// parseScaleFactors parses the value of -sizes, a comma-separated list of fractions of
// the planned size. Each must be above 0 and at most 2.
func parseScaleFactors(list string) ([]float64, error) {
	var scaleFactors []float64
	for item := range strings.SplitSeq(list, ",") {
		scaleFactor, err := strconv.ParseFloat(strings.TrimSpace(item), 64)
		if err != nil {
			return nil, errors.Wrapf(err, "setting -sizes: value %q", list)
		}
		if scaleFactor <= 0 || scaleFactor > 2 {
			return nil, flagger.InvalidValueError("sizes", list, "shares above 0 and at most 2")
		}
		scaleFactors = append(scaleFactors, scaleFactor)
	}

	return scaleFactors, nil
}
