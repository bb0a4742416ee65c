package pacer_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/pacer"
)

// Guards against estimates outside a hundredth and the hundredfold, not a number, or not equal after
// equal inputs, and against a lasting speed that is not learned because statements are wrong, late,
// missing or constant.
func TestEstimateIsBoundedAndLearnsTrueSpeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, p := time.Unix(1000, 0), pacer.New(&pacer.Like{})
		pace := rapid.SampledFrom([]int{0, 55, 100, 180, 250, 10_000, math.MaxInt}).Draw(t, "stated")
		slowness := rapid.Float64Range(0.5, 3).Draw(t, "true")
		lateness := time.Duration(rapid.IntRange(0, 800).Draw(t, "late ms")) * time.Millisecond
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 400 {
			now = now.Add(time.Duration(1+random.IntN(200)) * time.Millisecond)
			p.RecordStatement(now.Add(-lateness), pace)
			p.RecordAnswer(now, 100*time.Millisecond, time.Duration(slowness*float64(100*time.Millisecond)))
			estimate := p.Estimate(now)
			assert.Assert(t, estimate.Slowness >= 0.01 && estimate.Slowness <= 100 && estimate.Spread >= 0 && !math.IsNaN(estimate.Spread))
		}
		estimate := p.Estimate(now)
		assert.Assert(t, math.Abs(math.Log(estimate.Slowness/slowness)) < 0.25, "estimated %g, true %g", estimate.Slowness, slowness)
		silent := p.Estimate(now.Add(20 * time.Second))
		assert.Assert(t, math.Abs(math.Log(silent.Lasting/estimate.Lasting)) < 0.25, "forgotten: %g, before %g", silent.Lasting, estimate.Lasting)
	})
}

// Guards against a slow moment that is not noticed, or that outlasts its statement.
func TestStatementCountsForFractionsOfASecond(t *testing.T) {
	now, p := time.Unix(1000, 0), pacer.New(&pacer.Like{})
	assert.Assert(t, p.RecordStatement(now, 250) && !p.RecordStatement(now.Add(-time.Millisecond), 100))
	assert.Assert(t, p.Estimate(now).Slowness > 2.4)
	assert.Assert(t, p.Estimate(now.Add(600*time.Millisecond)).Slowness < 1.2)
	assert.Equal(t, p.Estimate(now.Add(2*time.Second)).Slowness, 1.0)
}
