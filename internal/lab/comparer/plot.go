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
	barWidth   = 18 // points
)

// Plot writes a bar chart to a file: for each policy and class, the percentage of answers
// within target. The file's extension, .png or .svg, chooses the format. It is an error
// if there is no valid round.
func (r Report) Plot(file string) error {
	chart := plot.New()
	chart.Title.Text = "Answers within target: " + r.Scenario
	chart.Y.Label.Text = "% of requests"
	chart.Y.Min, chart.Y.Max = 0, 100
	chart.Legend.Top = true
	classNames := []string{}
	for i, policy := range r.Policies {
		values := plotter.Values{}
		classNames = classNames[:0]
		for _, class := range policy.classTotals() {
			values = append(values, 100*class.TargetAttainment())
			classNames = append(classNames, class.ClassName)
		}
		if len(values) == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return errors.Wrap(err, "draw bars")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(r.Policies)-1)/2))
		chart.Add(bars)
		chart.Legend.Add(policy.Name, bars)
	}
	if len(classNames) == 0 {
		return errors.New("no round is a measurement, so there is nothing to plot")
	}
	chart.NominalX(classNames...)
	if err := chart.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrap(err, "write plot")
	}

	return nil
}
