package simulator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/simulator"
)

// Guards against engines that are slow for long or for moments getting as much work as others, and
// against the pace making placement worse than before where it is wrong, late or the same everywhere.
func TestUnevenEngines(t *testing.T) {
	if isRaceEnabled {
		t.Skip("The race detector makes it too slow.")
	}
	for _, scenario := range simulator.UnevenScenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			missed, finished := map[string]int{}, 0
			for _, policy := range simulator.UnevenPolicies() {
				outcome := simulator.Run(scenario, policy, simulator.UnevenSize(), seed)
				t.Logf("%s: %d missed, begun in data centres %v: %s", policy.Name, outcome.Missed(), outcome.StartedIn[:4], outcome)
				missed[policy.Name] = outcome.Missed()
				finished = outcome.FinishedLong + outcome.FinishedShort
			}
			assert.Check(t, missed["ours"] <= missed["ours before"]+finished/100)
		})
	}
}
