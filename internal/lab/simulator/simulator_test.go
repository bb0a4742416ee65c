package simulator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/simulator"
)

const (
	instances = 7
	engines   = 9
	seed      = 1
)

func play(scenario simulator.Scenario, way simulator.Way) simulator.Outcome {
	return simulator.Run(scenario, way, instances, engines, seed)
}

// The patterns that cost most on a busy day. At a surge late and refused
// requests must be fewer than with the naive ways, and few at any time.
func TestSurgesAgainstNaiveWays(t *testing.T) {
	bounds := map[string]struct {
		surge       bool
		short, long float64 // most shares that may be late or refused
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
			ours, turn, third := play(scenario, simulator.Ours()), play(scenario, simulator.InTurn()), play(scenario, simulator.FixedThird())
			t.Logf("ours: %s", ours)
			t.Logf("in turn: %s", turn)
			t.Logf("a fixed third: %s", third)
			t.Logf("known: %s", play(scenario, simulator.Known()))
			if bound.surge {
				assert.Assert(t, ours.Missed() < turn.Missed() && ours.Missed() < third.Missed())
			}
			assert.Assert(t, float64(ours.LateShort) <= bound.short*float64(ours.Short))
			assert.Assert(t, float64(ours.LateLong+ours.Refused) <= bound.long*float64(ours.Long+ours.Refused))
		})
	}
}

// Engines that crash in a burst, or go dark, cost the requests that are there.
// Those that come afterwards go elsewhere at once. Each engine is struck once.
func TestLostEnginesAgainstNaiveWays(t *testing.T) {
	for _, scenario := range simulator.Scenarios() {
		if len(scenario.Faults) == 0 {
			continue
		}
		t.Run(scenario.Name, func(t *testing.T) {
			missed := map[string]int{}
			for _, way := range []simulator.Way{simulator.Ours(), simulator.InTurn(), simulator.FixedThird()} {
				for struck := range uint64(engines) {
					outcome := simulator.Run(scenario, way, instances, engines, struck)
					missed[way.Name] += outcome.Missed()
				}
			}
			t.Logf("missed: %v", missed)
			assert.Assert(t, missed["ours"] < missed["in turn"] && missed["ours"] < missed["a fixed third"])
		})
	}
}

func TestSameSeedSameOutcome(t *testing.T) {
	for _, way := range simulator.Policies() {
		for _, scenario := range simulator.Scenarios()[:2] {
			assert.Equal(t, play(scenario, way), play(scenario, way))
		}
	}
}
