//go:build !race

package profiler

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Limits of one instance in a deployment of the full size, as docs/CAPACITY.md states
// them.
const (
	maxHeapBytes          = 64 << 20
	maxPeerBytesPerSecond = 6 << 10
	maxOpenWatches        = 1
	maxReadsPerSecond     = 0.2
	maxWritesPerSecond    = 0.1
)

// measureFullPlan measures an instance in a deployment of the full size. All tests share
// one run, because it is slow.
var measureFullPlan = sync.OnceValues(func() (Sample, error) {
	report, err := Run(context.Background(), Settings{
		Plan:             FullPlan(),
		ScaleFactors:     []float64{1},
		Seed:             1,
		WarmUpDuration:   time.Second,
		MeasuredDuration: time.Second,
	})
	if err != nil {
		return Sample{}, err
	}

	return report.Samples[0], nil
})

func TestPlanStaysWithinHeapReadWriteAndWatchLimits(t *testing.T) {
	sample, err := measureFullPlan()
	assert.NilError(t, err)

	total := sample.Total()
	assert.Assert(t, total.HeapBytes <= maxHeapBytes, "heap %.0f", total.HeapBytes)
	assert.Assert(t, total.OpenWatches <= maxOpenWatches, "watches %.0f", total.OpenWatches)
	reads, writes := 0.0, 0.0
	for _, component := range sample.Components {
		if component.Name != "journal" { // The limits are for an idle deployment, without bookings.
			reads += component.ReadsPerSecond
			writes += component.WritesPerSecond
		}
	}
	assert.Assert(t, reads <= maxReadsPerSecond, "reads %.3f", reads)
	assert.Assert(t, writes <= maxWritesPerSecond, "writes %.3f", writes)
}

func TestPlanFitsBytesToPeers(t *testing.T) {
	sample, err := measureFullPlan()
	assert.NilError(t, err)

	assert.Assert(t, sample.PeerBytesSentPerSecond() <= maxPeerBytesPerSecond, "%.0f bytes a second to peers", sample.PeerBytesSentPerSecond())
}
