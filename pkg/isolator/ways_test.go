package isolator_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/isolator"
)

// counting is a naive finder: it counts the crashes of each block and refuses all requests
// with a block that was at so many.
type counting struct {
	crashes    map[uint64]map[string]time.Time // by block and endpoint, of which one crash counts
	completed  map[uint64]bool
	maxCrashes int
	// exculpates removes blocks that have completed.
	exculpates bool
	// triesAlone allows one request at a time with a block that was at a crash, alone on its
	// endpoint.
	triesAlone bool
	trials     map[uint64]time.Time
}

// neverRefuses is a number of crashes that no block reaches.
const neverRefuses = 1 << 30

func newCounting(maxCrashes int, exculpates, triesAlone bool) func(string) finder {
	return func(string) finder {
		return &counting{
			crashes: map[uint64]map[string]time.Time{}, completed: map[uint64]bool{}, trials: map[uint64]time.Time{},
			maxCrashes: maxCrashes, exculpates: exculpates, triesAlone: triesAlone,
		}
	}
}

func (c *counting) recordCrash(_, at time.Time, endpoint string, prompts []isolator.Prompt) {
	for _, prompt := range prompts {
		for _, block := range prompt.Blocks {
			c.addCrash(block, endpoint, at)
		}
	}
}

func (c *counting) addCrash(block uint64, endpoint string, at time.Time) {
	if c.crashes[block] == nil {
		c.crashes[block] = map[string]time.Time{}
	}
	c.crashes[block][endpoint] = at
}

func (c *counting) recordCompletion(_ time.Time, blocks []uint64) {
	for _, block := range blocks {
		c.completed[block] = true
		delete(c.trials, block)
	}
}

func (c *counting) crashCount(block uint64) int {
	if c.exculpates && c.completed[block] {
		return 0
	}

	return len(c.crashes[block])
}

func (c *counting) decide(now time.Time, blocks []uint64) isolator.Verdict {
	const trialTimeout = 5 * time.Second
	verdict := isolator.Allowed
	for _, block := range blocks {
		count := c.crashCount(block)
		if count >= c.maxCrashes {
			return isolator.Quarantined
		}
		if count == 0 || !c.triesAlone {
			continue
		}
		if now.Sub(c.trials[block]) < trialTimeout {
			return isolator.Quarantined
		}
		c.trials[block] = now
		verdict = isolator.Trial
	}

	return verdict
}

func (c *counting) mayRepeat(blocks []uint64) bool {
	for _, block := range blocks {
		if c.crashCount(block) > 0 {
			return false
		}
	}

	return true
}

func (c *counting) receive(_ time.Time, peer finder) {
	other, ok := peer.(*counting)
	if !ok || c.maxCrashes == neverRefuses {
		return
	}
	for block, endpoints := range other.crashes {
		for endpoint, at := range endpoints {
			c.addCrash(block, endpoint, at)
		}
		if other.completed[block] {
			c.completed[block] = true
		}
	}
}

func (c *counting) archive(time.Time) []isolator.Record { return nil }

func (c *counting) restore(time.Time, []isolator.Record) {}

// wayScenarios is how often TestWaysToFindPoisonBlock plays each scenario, with other draws.
var wayScenarios = flag.Int("ways", 1, "plays of each scenario")

// TestWaysToFindPoisonBlock compares the isolator with naive ways, by crashes, requests
// after the fifth crash and refused sound requests.
func TestWaysToFindPoisonBlock(t *testing.T) {
	seeds := *wayScenarios
	for _, way := range []struct {
		name        string
		newFinder   func(string) finder
		trialsAlone bool
	}{
		{"none", newCounting(neverRefuses, false, false), false},
		{"2 crashes", newCounting(2, false, false), false},
		{"5 crashes", newCounting(5, false, false), false},
		{"2 crashes, none completed", newCounting(2, true, false), false},
		{"3 crashes, none completed", newCounting(3, true, false), false},
		{"2 crashes, trials alone", newCounting(2, true, true), true},
		{"isolator", newIsolating, false},
	} {
		for _, s := range []scenario{
			{instanceCount: 7, endpointCount: 12, soundRate: 60, poisonRates: []float64{2}, maxRuns: 1, singleDeaths: 10, massDeaths: 2},
			{instanceCount: 83, endpointCount: 112, soundRate: 150, poisonRates: []float64{2}, maxRuns: 1, singleDeaths: 10, massDeaths: 2},
		} {
			if isRaceEnabled && way.name != "isolator" {
				continue // The naive ways take minutes under the race detector, and nothing is asserted of them.
			}
			var total outcome
			s.trialsAlone = way.trialsAlone
			for seed := range uint64(seeds) {
				s.seed = seed
				f := newFleet(s, way.newFinder)
				f.play()
				o := f.outcomeOf()
				total.crashes += o.crashes
				total.afterFifth += o.afterFifth
				total.sound += o.sound
				total.refused += o.refused
			}
			t.Logf("%d instances, %s: %.1f crashes, %.1f requests after the fifth, %.2f%% of sound requests refused", s.instanceCount, way.name,
				float64(total.crashes)/float64(seeds), float64(total.afterFifth)/float64(seeds), 100*float64(total.refused)/float64(total.sound))
			if way.name == "isolator" {
				assert.Assert(t, total.crashes <= 5*seeds && total.afterFifth == 0 && total.refused*100 <= total.sound)
			}
		}
	}
}
