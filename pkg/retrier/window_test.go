package retrier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

var bound = retrier.RepeatLimiterSettings{Window: 10 * time.Second, RepeatRatio: 0.2, Burst: 54}

// In no window of the stated length do all instances together repeat more than
// the stated share of the first tries and the burst.
func TestRepeatsOfAllInstancesStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 100 * time.Millisecond
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		windows := make([]*retrier.RepeatLimiter, instances)
		for i := range windows {
			windows[i] = retrier.NewRepeatLimiter(bound)
			windows[i].SetInstanceCount(instances)
		}
		now := time.Unix(5000, 0)
		var first, repeats [400]float64
		for i := range first {
			now = now.Add(step)
			for range rapid.IntRange(0, 6).Draw(t, "first") {
				windows[rapid.IntRange(0, instances-1).Draw(t, "at")].RecordFirstAttempt(now, "s")
				first[i]++
			}
			for _, window := range windows {
				for rapid.Bool().Draw(t, "more") && window.TakeRepeat(now, "s") {
					repeats[i]++
				}
			}
		}
		steps := int(bound.Window / step)
		for end := steps; end <= len(first); end++ {
			tries, sum := 0.0, 0.0
			for i := end - steps; i < end; i++ {
				tries += first[i]
				sum += repeats[i]
			}
			assert.Assert(t, sum <= bound.RepeatRatio*tries+bound.Burst, "%v repeats of %v first tries", sum, tries)
		}
	})
}

func TestServicesHaveTheirOwnBound(t *testing.T) {
	w := retrier.NewRepeatLimiter(retrier.RepeatLimiterSettings{Window: time.Second, RepeatRatio: 0, Burst: 2})
	now := time.Unix(1, 0)
	assert.Assert(t, w.TakeRepeat(now, "a"))
	assert.Assert(t, !w.TakeRepeat(now, "a"))
	assert.Assert(t, w.TakeRepeat(now, "b"))
	assert.Assert(t, w.TakeRepeat(now.Add(2*time.Second), "a"))
}

func TestAttempts(t *testing.T) {
	const left = time.Second
	for name, test := range map[string]struct {
		attempt retrier.AttemptHistory
		want    string
	}{
		"certainly not run":           {retrier.AttemptHistory{Refusals: 1, MaxRuns: 1, RemainingTime: left}, retrier.ReasonNone},
		"refused often":               {retrier.AttemptHistory{Refusals: 3, MaxRuns: 2, RemainingTime: left}, retrier.ReasonRefusals},
		"never sent":                  {retrier.AttemptHistory{UnsentAttempts: 5, MaxRuns: 1, RemainingTime: left}, retrier.ReasonNone},
		"never sent, often":           {retrier.AttemptHistory{UnsentAttempts: 6, MaxRuns: 1, RemainingTime: left}, retrier.ReasonRefusals},
		"may have run":                {retrier.AttemptHistory{MayHaveRun: true, PossibleRuns: 1, MaxRuns: 2, RemainingTime: left}, retrier.ReasonMayHaveRun},
		"may have run, then refused":  {retrier.AttemptHistory{MayHaveRun: true, PossibleRuns: 1, Refusals: 1, MaxRuns: 2, RemainingTime: left}, retrier.ReasonMayHaveRun},
		"repeatable":                  {retrier.AttemptHistory{MayHaveRun: true, Repeatable: true, PossibleRuns: 1, MaxRuns: 2, RemainingTime: left}, retrier.ReasonNone},
		"repeatable and out of tries": {retrier.AttemptHistory{MayHaveRun: true, Repeatable: true, PossibleRuns: 2, MaxRuns: 2, RemainingTime: left}, retrier.ReasonTries},
		"repeatable and out of time":  {retrier.AttemptHistory{MayHaveRun: true, Repeatable: true, PossibleRuns: 1, MaxRuns: 2}, retrier.ReasonDeadline},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.attempt.CheckRepeat(), test.want) })
	}
}

// New bounds hold at once, and a change of the window's length forgets no
// repeats.
func TestChangedBoundsHoldAtOnce(t *testing.T) {
	settings := retrier.RepeatLimiterSettings{Window: 10 * time.Second, Burst: 10}
	w := retrier.NewRepeatLimiter(settings)
	now := time.Unix(1000, 0)
	for range 8 { // Four fifths of the burst are used.
		assert.Assert(t, w.TakeRepeat(now, "llm"))
	}
	settings.Window = 5 * time.Second
	w.Configure(now, settings)
	assert.Assert(t, !w.TakeRepeat(now.Add(4*time.Second), "llm"))
	settings.Burst = 20
	w.Configure(now, settings)
	assert.Assert(t, w.TakeRepeat(now.Add(4*time.Second), "llm"))
	settings.Burst = 5
	w.Configure(now, settings)
	assert.Assert(t, !w.TakeRepeat(now.Add(4*time.Second), "llm"))
	assert.Assert(t, w.TakeRepeat(now.Add(6*time.Second), "llm"))
}
