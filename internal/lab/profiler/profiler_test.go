package profiler

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFitLineReturnsLeastSquaresLineAndStandardError(t *testing.T) {
	scaleFactors := []float64{0.125, 0.25, 0.5, 1}
	exact := fitLine("exact", "", scaleFactors, []float64{3.25, 3.5, 4, 5})
	assert.Assert(t, math.Abs(exact.Intercept-3) < 1e-9 && math.Abs(exact.Slope-2) < 1e-9 && exact.SlopeStandardError < 1e-9)

	// Computed by hand: the slope is 1.2, the residuals are 0.2, -0.4 and 0.2, and the
	// squared deviations of the scale factors sum up to 2.
	rough := fitLine("rough", "", []float64{0, 1, 2}, []float64{1, 1.6, 3.4})
	assert.Assert(t, math.Abs(rough.Slope-1.2) < 1e-9)
	assert.Assert(t, math.Abs(rough.SlopeStandardError-math.Sqrt(0.24/2)) < 1e-9)
}

func TestRunMeasuresEveryComponentAndDrawsPlot(t *testing.T) {
	report, err := Run(context.Background(), Settings{Plan: FullPlan(), ScaleFactors: []float64{0.02, 0.04}, Seed: 1, WarmUpDuration: 2 * time.Second, MeasuredDuration: 2 * time.Second})
	assert.NilError(t, err)

	for _, sample := range report.Samples {
		total := sample.Total()
		assert.Assert(t, total.MessagesPerSecond > 0 && total.peerBytesSentPerSecond() > total.EncodedBytesPerSecond && total.EncodedBytesPerSecond > 0)
		assert.Assert(t, total.HeapBytes > 0 && total.ReadsPerSecond > 0 && total.WritesPerSecond > 0)
		assert.Equal(t, total.OpenWatches, 1.0)
		assert.Assert(t, sample.RunningRequestCount > 0 && sample.HomeCount > 0)
	}
	file := filepath.Join(t.TempDir(), "figures.png")
	assert.NilError(t, report.Plot(file))
	fileInfo, err := os.Stat(file)
	assert.NilError(t, err)
	assert.Assert(t, fileInfo.Size() > 1000)

	var table strings.Builder
	report.Print(&table)
	for _, metric := range []string{"configuration heap", "control cpu", "exchange to peers", "journal writes"} {
		assert.Assert(t, strings.Contains(table.String(), metric), metric)
	}
}
