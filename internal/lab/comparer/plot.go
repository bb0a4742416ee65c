package comparer

import (
	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 18
)

// Plot writes the share of each class within target by policy to a file, as
// its ending says: .png or .svg.
func (r Report) Plot(file string) error {
	drawing := plot.New()
	drawing.Title.Text = "Answers within target: " + r.Scenario
	drawing.Y.Label.Text = "% of requests"
	drawing.Y.Min, drawing.Y.Max = 0, 100
	drawing.Legend.Top = true
	names := []string{}
	for place, policy := range r.Policies {
		values := plotter.Values{}
		names = names[:0]
		for _, class := range policy.classes() {
			values = append(values, 100*class.TargetAttainment())
			names = append(names, class.ClassName)
		}
		if len(values) == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return errors.Wrap(err, "draw bars")
		}
		bars.Color = plotutil.Color(place)
		bars.Offset = vg.Points(barWidth * (float64(place) - float64(len(r.Policies)-1)/2))
		drawing.Add(bars)
		drawing.Legend.Add(policy.Name, bars)
	}
	if len(names) == 0 {
		return errors.New("no round is a measurement, so there is nothing to plot")
	}
	drawing.NominalX(names...)
	if err := drawing.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrap(err, "write plot")
	}

	return nil
}
