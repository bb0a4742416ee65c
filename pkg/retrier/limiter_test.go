package retrier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

var limiterSettings = retrier.RepeatLimiterSettings{Window: 10 * time.Second, RepeatRatio: 0.2, Burst: 54}

// In no window of the set length do the repeats of all instances exceed the set
// ratio to the first attempts plus the burst.
func TestRepeatsOfAllInstancesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 100 * time.Millisecond
		instanceCount := rapid.IntRange(1, 12).Draw(t, "instances")
		limiters := make([]*retrier.RepeatLimiter, instanceCount)
		for i := range limiters {
			limiters[i] = retrier.NewRepeatLimiter(limiterSettings)
			limiters[i].SetInstanceCount(instanceCount)
		}
		now := time.Unix(5000, 0)
		var firstAttempts, repeats [400]float64
		for i := range firstAttempts {
			now = now.Add(step)
			for range rapid.IntRange(0, 6).Draw(t, "first") {
				limiters[rapid.IntRange(0, instanceCount-1).Draw(t, "at")].RecordFirstAttempt(now, "s")
				firstAttempts[i]++
			}
			for _, limiter := range limiters {
				for rapid.Bool().Draw(t, "more") && limiter.TakeRepeat(now, "s") {
					repeats[i]++
				}
			}
		}
		stepsPerWindow := int(limiterSettings.Window / step)
		for end := stepsPerWindow; end <= len(firstAttempts); end++ {
			windowFirstAttempts, windowRepeats := 0.0, 0.0
			for i := end - stepsPerWindow; i < end; i++ {
				windowFirstAttempts += firstAttempts[i]
				windowRepeats += repeats[i]
			}
			assert.Assert(t, windowRepeats <= limiterSettings.RepeatRatio*windowFirstAttempts+limiterSettings.Burst, "%v repeats for %v first attempts", windowRepeats, windowFirstAttempts)
		}
	})
}

func TestServicesHaveSeparateRepeatLimits(t *testing.T) {
	limiter := retrier.NewRepeatLimiter(retrier.RepeatLimiterSettings{Window: time.Second, RepeatRatio: 0, Burst: 2})
	now := time.Unix(1, 0)
	assert.Assert(t, limiter.TakeRepeat(now, "a"))
	assert.Assert(t, !limiter.TakeRepeat(now, "a"))
	assert.Assert(t, limiter.TakeRepeat(now, "b"))
	assert.Assert(t, limiter.TakeRepeat(now.Add(2*time.Second), "a"))
}

func TestCheckRepeatReturnsReasonForEachHistory(t *testing.T) {
	const timeLeft = time.Second
	for name, test := range map[string]struct {
		history    retrier.AttemptHistory
		wantReason string
	}{
		"refused once, not run":      {retrier.AttemptHistory{Refusals: 1, MaxRuns: 1, RemainingTime: timeLeft}, retrier.ReasonNone},
		"refused too often":          {retrier.AttemptHistory{Refusals: 3, MaxRuns: 2, RemainingTime: timeLeft}, retrier.ReasonRefusals},
		"not sent":                   {retrier.AttemptHistory{UnsentAttempts: 5, MaxRuns: 1, RemainingTime: timeLeft}, retrier.ReasonNone},
		"not sent too often":         {retrier.AttemptHistory{UnsentAttempts: 6, MaxRuns: 1, RemainingTime: timeLeft}, retrier.ReasonRefusals},
		"may have run":               {retrier.AttemptHistory{MayHaveRun: true, PossibleRuns: 1, MaxRuns: 2, RemainingTime: timeLeft}, retrier.ReasonMayHaveRun},
		"may have run, then refused": {retrier.AttemptHistory{MayHaveRun: true, PossibleRuns: 1, Refusals: 1, MaxRuns: 2, RemainingTime: timeLeft}, retrier.ReasonMayHaveRun},
		"repeatable":                 {retrier.AttemptHistory{MayHaveRun: true, Repeatable: true, PossibleRuns: 1, MaxRuns: 2, RemainingTime: timeLeft}, retrier.ReasonNone},
		"repeatable, no runs left":   {retrier.AttemptHistory{MayHaveRun: true, Repeatable: true, PossibleRuns: 2, MaxRuns: 2, RemainingTime: timeLeft}, retrier.ReasonMaxAttempts},
		"repeatable, no time left":   {retrier.AttemptHistory{MayHaveRun: true, Repeatable: true, PossibleRuns: 1, MaxRuns: 2}, retrier.ReasonDeadline},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.history.CheckRepeat(), test.wantReason) })
	}
}

// New settings apply at once, and repeats counted before a change of the window's
// length still count.
func TestChangedLimiterSettingsApplyAtOnceAndKeepRepeats(t *testing.T) {
	settings := retrier.RepeatLimiterSettings{Window: 10 * time.Second, Burst: 10}
	limiter := retrier.NewRepeatLimiter(settings)
	now := time.Unix(1000, 0)
	for range 8 { // Uses four fifths of the burst, which is all that is usable.
		assert.Assert(t, limiter.TakeRepeat(now, "llm"))
	}
	settings.Window = 5 * time.Second
	limiter.Configure(now, settings)
	assert.Assert(t, !limiter.TakeRepeat(now.Add(4*time.Second), "llm"))
	settings.Burst = 20
	limiter.Configure(now, settings)
	assert.Assert(t, limiter.TakeRepeat(now.Add(4*time.Second), "llm"))
	settings.Burst = 5
	limiter.Configure(now, settings)
	assert.Assert(t, !limiter.TakeRepeat(now.Add(4*time.Second), "llm"))
	assert.Assert(t, limiter.TakeRepeat(now.Add(6*time.Second), "llm"))
}
