package simulator_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/simulator"
	"github.com/oleanderpick/oleanderpick/pkg/autoscaler"
)

// Guards against missing requests that a fixed number of engines serves, for the price of fewer, and
// against a burst after a quiet time that finds its engines removed. A thousandth more may be missed:
// streams at reclaimed engines are cut off, and crashes hit what happens to run.
func TestOrderedEnginesServeAsTheFixedNumber(t *testing.T) {
	if isRaceEnabled {
		t.Skip("The race detector makes it too slow.")
	}
	names := []string{"burst on a quiet day", "spot engines reclaimed in a burst", "a quarter crashes"}
	for _, scenario := range simulator.ScaledScenarios() {
		if !slices.Contains(names, scenario.Name) {
			continue
		}
		t.Run(scenario.Name, func(t *testing.T) {
			fixed := simulator.RunScaled(scenario, nil, 1)
			ours := simulator.RunScaled(scenario, autoscaler.New(autoscaler.DefaultSettings()), 1)
			t.Logf("ours: %s; fixed: %s", ours, fixed)
			assert.Check(t, ours.Missed() <= fixed.Missed()+(ours.FinishedShort+ours.FinishedLong)/1000)
			assert.Check(t, ours.EngineSeconds <= 0.85*fixed.EngineSeconds)
		})
	}
}
