package simulator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/simulator"
)

const seed = 1

// simulate returns the outcome of a scenario with the test's fleet and seed.
func simulate(scenario simulator.Scenario, policy simulator.Policy) simulator.Outcome {
	return simulator.Run(scenario, policy, simulator.SmallSize(), seed)
}

// In a surge, fewer requests must be late or refused than with the naive baselines. In
// each scenario listed, the share of late and refused requests stays within its bounds.
func TestRouterMissesFewerRequestsThanBaselinesInSurges(t *testing.T) {
	bounds := map[string]struct {
		isSurge                           bool
		maxShortFraction, maxLongFraction float64 // largest fractions of requests that may be late or refused
	}{
		"calm day":               {false, 0.02, 0.02},
		"burst of long prompts":  {true, 0.05, 0.10},
		"burst of short prompts": {true, 0.10, 0.10},
		"both surge":             {true, 0.10, 0.15},
		"hot family":             {true, 0.05, 0.10},
		"cold start":             {true, 0.05, 0.50},
	}
	for _, scenario := range simulator.Scenarios() {
		bound, bounded := bounds[scenario.Name]
		if !bounded {
			continue
		}
		t.Run(scenario.Name, func(t *testing.T) {
			router, roundRobin, fixedSplit := simulate(scenario, simulator.RouterPlacer()), simulate(scenario, simulator.RoundRobin()), simulate(scenario, simulator.FixedSplit())
			t.Logf("ours: %s", router)
			t.Logf("in turn: %s", roundRobin)
			t.Logf("a fixed third: %s", fixedSplit)
			t.Logf("known: %s", simulate(scenario, simulator.Oracle()))
			if bound.isSurge {
				assert.Assert(t, router.Missed() < roundRobin.Missed() && router.Missed() < fixedSplit.Missed())
			}
			assert.Assert(t, float64(router.LateShort) <= bound.maxShortFraction*float64(router.FinishedShort))
			assert.Assert(t, float64(router.LateLong+router.Refused) <= bound.maxLongFraction*float64(router.FinishedLong+router.Refused))
		})
	}
}

// When engines crash in a burst or stop responding, the requests running there are
// lost, but later ones must go to other engines at once, so that fewer are missed than
// with the baselines. Each engine is once the first to fail, since the seed chooses it.
func TestRouterMissesFewerRequestsThanBaselinesWhenEnginesFail(t *testing.T) {
	for _, scenario := range simulator.Scenarios() {
		if len(scenario.Faults) == 0 {
			continue
		}
		t.Run(scenario.Name, func(t *testing.T) {
			missed := map[string]int{}
			for _, policy := range []simulator.Policy{simulator.RouterPlacer(), simulator.RoundRobin(), simulator.FixedSplit()} {
				for faultSeed := range uint64(simulator.SmallSize().Engines) {
					outcome := simulator.Run(scenario, policy, simulator.SmallSize(), faultSeed)
					missed[policy.Name] += outcome.Missed()
				}
			}
			t.Logf("missed: %v", missed)
			assert.Assert(t, missed["ours"] < missed["in turn"] && missed["ours"] < missed["a fixed third"])
		})
	}
}

func TestSameSeedGivesSameOutcome(t *testing.T) {
	for _, policy := range simulator.Policies() {
		for _, scenario := range simulator.Scenarios()[:2] {
			assert.Equal(t, simulate(scenario, policy), simulate(scenario, policy))
		}
	}
}
