package retrier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

var bound = retrier.WindowSettings{Length: 10 * time.Second, Share: 0.2, Burst: 54}

// In no window of the stated length do all instances together repeat more than
// the stated share of the first tries and the burst.
func TestRepeatsOfAllInstancesStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 100 * time.Millisecond
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		windows := make([]*retrier.Window, instances)
		for i := range windows {
			windows[i] = retrier.NewWindow(bound)
			windows[i].Shared(instances)
		}
		now := time.Unix(5000, 0)
		var first, repeats [400]float64
		for i := range first {
			now = now.Add(step)
			for range rapid.IntRange(0, 6).Draw(t, "first") {
				windows[rapid.IntRange(0, instances-1).Draw(t, "at")].First(now, "s")
				first[i]++
			}
			for _, window := range windows {
				for rapid.Bool().Draw(t, "more") && window.Repeat(now, "s") {
					repeats[i]++
				}
			}
		}
		steps := int(bound.Length / step)
		for end := steps; end <= len(first); end++ {
			tries, sum := 0.0, 0.0
			for i := end - steps; i < end; i++ {
				tries += first[i]
				sum += repeats[i]
			}
			assert.Assert(t, sum <= bound.Share*tries+bound.Burst, "%v repeats of %v first tries", sum, tries)
		}
	})
}

func TestServicesHaveTheirOwnBound(t *testing.T) {
	w := retrier.NewWindow(retrier.WindowSettings{Length: time.Second, Share: 0, Burst: 2})
	now := time.Unix(1, 0)
	assert.Assert(t, w.Repeat(now, "a"))
	assert.Assert(t, !w.Repeat(now, "a"))
	assert.Assert(t, w.Repeat(now, "b"))
	assert.Assert(t, w.Repeat(now.Add(2*time.Second), "a"))
}

func TestAttempts(t *testing.T) {
	const left = time.Second
	for name, test := range map[string]struct {
		attempt retrier.Attempt
		want    string
	}{
		"certainly not run":           {retrier.Attempt{Refusals: 1, MostRuns: 1, Remaining: left}, retrier.ReasonNone},
		"refused often":               {retrier.Attempt{Refusals: 3, MostRuns: 2, Remaining: left}, retrier.ReasonRefusals},
		"never sent":                  {retrier.Attempt{Unsent: 5, MostRuns: 1, Remaining: left}, retrier.ReasonNone},
		"never sent, often":           {retrier.Attempt{Unsent: 6, MostRuns: 1, Remaining: left}, retrier.ReasonRefusals},
		"may have run":                {retrier.Attempt{Ran: true, Runs: 1, MostRuns: 2, Remaining: left}, retrier.ReasonMayHaveRun},
		"may have run, then refused":  {retrier.Attempt{Ran: true, Runs: 1, Refusals: 1, MostRuns: 2, Remaining: left}, retrier.ReasonMayHaveRun},
		"repeatable":                  {retrier.Attempt{Ran: true, Repeatable: true, Runs: 1, MostRuns: 2, Remaining: left}, retrier.ReasonNone},
		"repeatable and out of tries": {retrier.Attempt{Ran: true, Repeatable: true, Runs: 2, MostRuns: 2, Remaining: left}, retrier.ReasonTries},
		"repeatable and out of time":  {retrier.Attempt{Ran: true, Repeatable: true, Runs: 1, MostRuns: 2}, retrier.ReasonDeadline},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.attempt.Allowed(), test.want) })
	}
}

// New bounds hold at once, and a change of the window's length forgets no
// repeats.
func TestChangedBoundsHoldAtOnce(t *testing.T) {
	settings := retrier.WindowSettings{Length: 10 * time.Second, Burst: 10}
	w := retrier.NewWindow(settings)
	now := time.Unix(1000, 0)
	for range 8 { // Four fifths of the burst are used.
		assert.Assert(t, w.Repeat(now, "llm"))
	}
	settings.Length = 5 * time.Second
	w.Configure(now, settings)
	assert.Assert(t, !w.Repeat(now.Add(4*time.Second), "llm"))
	settings.Burst = 20
	w.Configure(now, settings)
	assert.Assert(t, w.Repeat(now.Add(4*time.Second), "llm"))
	settings.Burst = 5
	w.Configure(now, settings)
	assert.Assert(t, !w.Repeat(now.Add(4*time.Second), "llm"))
	assert.Assert(t, w.Repeat(now.Add(6*time.Second), "llm"))
}
