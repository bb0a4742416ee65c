package simulator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/simulator"
)

// Guards against instances of a large fleet sending prompts to the same engines, since
// they do not know each other's loads: urgent prompts then wait at some engines while
// less urgent ones run at others. The bounds are those of the same patterns in a small
// fleet.
func TestGrownFleetMissesNoMoreThanSmallFleet(t *testing.T) {
	bounds := map[string]struct{ maxShortFraction, maxLongFraction float64 }{ // largest fractions that may be late or refused
		"calm day":               {0.02, 0.02},
		"burst of long prompts":  {0.05, 0.10},
		"burst of short prompts": {0.10, 0.10},
	}
	for _, scenario := range simulator.GrownScenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			router := simulator.Run(scenario, simulator.RouterPlacer(), simulator.GrownSize(), seed)
			t.Logf("ours: %s", router)
			if len(scenario.Faults) > 0 {
				roundRobin := simulator.Run(scenario, simulator.RoundRobin(), simulator.GrownSize(), seed)
				t.Logf("in turn: %s", roundRobin)
				assert.Assert(t, router.Missed() < roundRobin.Missed())
			}
			if bound, bounded := bounds[scenario.Name]; bounded {
				assert.Assert(t, float64(router.LateShort) <= bound.maxShortFraction*float64(router.FinishedShort))
				assert.Assert(t, float64(router.LateLong+router.Refused) <= bound.maxLongFraction*float64(router.FinishedLong+router.Refused))
			}
			assert.Equal(t, router.AvoidableRefusals, 0)
		})
	}
}
