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

func (c *Commands) capacity(set *flag.FlagSet) func(context.Context) error {
	sizes := set.String("sizes", "0.125,0.25,0.5,1", "`shares` of the plan's size to measure, by commas")
	seed := set.Uint64("seed", 1, "seed of the requests")
	asJSON := set.Bool("json", false, "print the report as JSON")
	plot := set.String("plot", "", "`file` to draw the figures to (.png, .svg or .pdf)")

	return func(ctx context.Context) error {
		shares, err := parseShares(*sizes)
		if err != nil {
			return err
		}
		report, err := profiler.Run(ctx, profiler.Settings{Plan: profiler.Full(), Shares: shares, Seed: *seed})
		if err != nil {
			return err
		}
		if *plot != "" {
			if err := report.Plot(*plot); err != nil {
				return err
			}
		}

		return c.print(*asJSON, report, report.Print)
	}
}

// parseShares reads the sizes, which must lie in (0, 2].
func parseShares(list string) ([]float64, error) {
	var shares []float64
	for text := range strings.SplitSeq(list, ",") {
		share, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
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
