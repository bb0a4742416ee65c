package retrier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

var limiterSettings = retrier.WindowSettings{Length: 10 * time.Second, Share: 0.2, Burst: 54}

// In no window of the set length do the repeats of all instances exceed the set
// ratio to the first attempts plus the burst.
func TestRepeatsOfAllInstancesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 100 * time.Millisecond
		instanceCount := rapid.IntRange(1, 12).Draw(t, "instances")
		limiters := make([]*retrier.Window, instanceCount)
		for i := range limiters {
			limiters[i] = retrier.NewWindow(limiterSettings)
			limiters[i].Shared(instanceCount)
		}
		now := time.Unix(5000, 0)
		var firstAttempts, repeats [400]float64
		for i := range firstAttempts {
			now = now.Add(step)
			for range rapid.IntRange(0, 6).Draw(t, "first") {
				limiters[rapid.IntRange(0, instanceCount-1).Draw(t, "at")].First(now, "s")
				firstAttempts[i]++
			}
			for _, limiter := range limiters {
				for rapid.Bool().Draw(t, "more") && limiter.Repeat(now, "s") {
					repeats[i]++
				}
			}
		}
		stepsPerWindow := int(limiterSettings.Length / step)
		for end := stepsPerWindow; end <= len(firstAttempts); end++ {
			windowFirstAttempts, windowRepeats := 0.0, 0.0
			for i := end - stepsPerWindow; i < end; i++ {
				windowFirstAttempts += firstAttempts[i]
				windowRepeats += repeats[i]
			}
			assert.Assert(t, windowRepeats <= limiterSettings.Share*windowFirstAttempts+limiterSettings.Burst, "%v repeats for %v first attempts", windowRepeats, windowFirstAttempts)
		}
	})
}

func TestServicesHaveSeparateRepeatLimits(t *testing.T) {
	limiter := retrier.NewWindow(retrier.WindowSettings{Length: time.Second, Share: 0, Burst: 2})
	now := time.Unix(1, 0)
	assert.Assert(t, limiter.Repeat(now, "a"))
	assert.Assert(t, !limiter.Repeat(now, "a"))
	assert.Assert(t, limiter.Repeat(now, "b"))
	assert.Assert(t, limiter.Repeat(now.Add(2*time.Second), "a"))
}

func TestCheckRepeatReturnsReasonForEachHistory(t *testing.T) {
	const timeLeft = time.Second
	for name, test := range map[string]struct {
		history    retrier.Attempt
		wantReason string
	}{
		"refused once, not run":      {retrier.Attempt{Refusals: 1, MostRuns: 1, Remaining: timeLeft}, retrier.ReasonNone},
		"refused too often":          {retrier.Attempt{Refusals: 3, MostRuns: 2, Remaining: timeLeft}, retrier.ReasonRefusals},
		"not sent":                   {retrier.Attempt{Unsent: 5, MostRuns: 1, Remaining: timeLeft}, retrier.ReasonNone},
		"not sent too often":         {retrier.Attempt{Unsent: 6, MostRuns: 1, Remaining: timeLeft}, retrier.ReasonRefusals},
		"may have run":               {retrier.Attempt{Ran: true, Runs: 1, MostRuns: 2, Remaining: timeLeft}, retrier.ReasonMayHaveRun},
		"may have run, then refused": {retrier.Attempt{Ran: true, Runs: 1, Refusals: 1, MostRuns: 2, Remaining: timeLeft}, retrier.ReasonMayHaveRun},
		"repeatable":                 {retrier.Attempt{Ran: true, Repeatable: true, Runs: 1, MostRuns: 2, Remaining: timeLeft}, retrier.ReasonNone},
		"repeatable, no runs left":   {retrier.Attempt{Ran: true, Repeatable: true, Runs: 2, MostRuns: 2, Remaining: timeLeft}, retrier.ReasonMaxAttempts},
		"repeatable, no time left":   {retrier.Attempt{Ran: true, Repeatable: true, Runs: 1, MostRuns: 2}, retrier.ReasonDeadline},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.history.Allowed(), test.wantReason) })
	}
}

// New settings apply at once, and repeats counted before a change of the window's
// length still count.
func TestChangedLimiterSettingsApplyAtOnceAndKeepRepeats(t *testing.T) {
	settings := retrier.WindowSettings{Length: 10 * time.Second, Burst: 10}
	limiter := retrier.NewWindow(settings)
	now := time.Unix(1000, 0)
	for range 8 { // Uses four fifths of the burst, which is all that is usable.
		assert.Assert(t, limiter.Repeat(now, "llm"))
	}
	settings.Length = 5 * time.Second
	limiter.Configure(now, settings)
	assert.Assert(t, !limiter.Repeat(now.Add(4*time.Second), "llm"))
	settings.Burst = 20
	limiter.Configure(now, settings)
	assert.Assert(t, limiter.Repeat(now.Add(4*time.Second), "llm"))
	settings.Burst = 5
	limiter.Configure(now, settings)
	assert.Assert(t, !limiter.Repeat(now.Add(4*time.Second), "llm"))
	assert.Assert(t, limiter.Repeat(now.Add(6*time.Second), "llm"))
}
