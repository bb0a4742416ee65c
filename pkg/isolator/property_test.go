package isolator_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/isolator"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.shrinktime", "5s")
	_ = flag.Set("rapid.checks", "12")
	if isRaceEnabled {
		_ = flag.Set("rapid.checks", "1")
	}
}

// isolating is the finder that instances use.
type isolating struct{ *isolator.Isolator }

func (i isolating) recordCrash(now, at time.Time, endpoint string, prompts []isolator.Prompt) {
	i.RecordCrash(now, at, endpoint, prompts)
}

func (i isolating) recordCompletion(now time.Time, blocks []uint64) {
	i.RecordCompletion(now, blocks)
}

func (i isolating) decide(now time.Time, blocks []uint64) isolator.Verdict {
	return i.Decide(now, blocks)
}

func (i isolating) mayRepeat(blocks []uint64) bool { return i.MayRepeat(blocks) }

func (i isolating) receive(now time.Time, peer finder) {
	if peer, ok := peer.(isolating); ok {
		i.Merge(now, peer.RecordsToShare(now))
	}
}

func (i isolating) archive(now time.Time) []isolator.Record { return i.CauseRecords(now) }

func (i isolating) restore(now time.Time, archived []isolator.Record) { i.Merge(now, archived) }

func newIsolating(name string) finder {
	return isolating{isolator.New(isolator.DefaultSettings(), name)}
}

// drawScenario draws the crashes and faults of a fleet.
func drawScenario(r *rapid.T, instanceCount int) scenario {
	s := scenario{
		seed:          rapid.Uint64().Draw(r, "seed"),
		instanceCount: instanceCount,
		endpointCount: 12,
		soundRate:     60,
		maxRuns:       rapid.IntRange(1, 3).Draw(r, "runs"),
		oneSees:       rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(r, "one sees"),
		silent:        rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(r, "silent"),
		newsLoss:      rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(r, "news lost"),
		singleDeaths:  rapid.SampledFrom([]int{0, 5, 15}).Draw(r, "deaths"),
		massDeaths:    rapid.IntRange(0, 2).Draw(r, "mass deaths"),
		restarts:      rapid.IntRange(0, 3).Draw(r, "restarts"),
		fleetRestarts: rapid.SampledFrom([]int{0, 0, 1}).Draw(r, "fleet restarts"),
		cuts:          rapid.IntRange(0, 2).Draw(r, "cuts"),
		lateNames:     rapid.IntRange(0, 2).Draw(r, "late"),
		sparse:        rapid.SampledFrom([]time.Duration{0, 40 * time.Minute}).Draw(r, "sparse"),
	}
	if instanceCount > 13 {
		s.endpointCount, s.soundRate = 112, 150
	}
	for range rapid.IntRange(1, 2).Draw(r, "poison blocks") {
		s.poisonRates = append(s.poisonRates, rapid.SampledFrom([]float64{0.3, 1, 3, 10}).Draw(r, "rate"))
	}

	return s
}

// Guards against requests with one block that crash endpoint after endpoint, and against
// refusing the sound requests that share its caller, key, first and other blocks.
func TestPoisonBlockStopsWhileSoundRequestsRun(t *testing.T) {
	const maxArrivals, minBegun = 3, 0.5
	for _, instanceCount := range []int{7, 83} {
		t.Run(fmt.Sprint(instanceCount, " instances"), func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				s := drawScenario(r, instanceCount)
				f := newFleet(s, newIsolating)
				f.play()
				for p := range f.crashes {
					arrivals := f.arrivalsAfterFifthCrash(p)
					assert.Assert(r, arrivals <= maxArrivals, "%d requests after the fifth of %d crashes: %+v", arrivals, len(f.crashes[p]), s)
				}
				begun, block := f.leastBegun()
				assert.Assert(r, begun >= minBegun, "%.2f of the sound requests with block %d: %+v", begun, block, s)
			})
		})
	}
}
