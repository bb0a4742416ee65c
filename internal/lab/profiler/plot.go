package profiler

import (
	"strings"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// Plot draws the totals of all components against the scale factor, and writes the plot
// to a file. Each total is drawn as a fraction of its value in the last sample. The
// format follows from the extension of the file's name.
func (r Report) Plot(file string) error {
	chart := plot.New()
	chart.Title.Text = "One node's control parts by size of the deployment"
	chart.X.Label.Text = "share of the plan"
	chart.Y.Label.Text = "share of the value at the largest size"
	chart.Y.Min = 0
	chart.Legend.Top = true
	chart.Legend.Left = true
	var lines []any
	for _, fit := range r.Fits {
		name, ok := strings.CutPrefix(fit.Metric, "total ")
		lastValue := fit.Values[len(fit.Values)-1]
		if !ok || lastValue == 0 {
			continue
		}
		points := make(plotter.XYs, 0, len(r.Samples))
		for i, sample := range r.Samples {
			points = append(points, plotter.XY{X: sample.ScaleFactor, Y: fit.Values[i] / lastValue})
		}
		lines = append(lines, name, points)
	}
	if err := plotutil.AddLinePoints(chart, lines...); err != nil {
		return errors.Wrap(err, "draw")
	}

	if err := chart.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrap(err, "save")
	}

	return nil
}
