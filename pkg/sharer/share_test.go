package sharer

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against capacity that is given away twice or to nobody, and a workspace that gets less than
// another one of its weight although it wants more.
func TestWaterLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 100).Draw(t, "capacity")
		count, wanted := rapid.IntRange(0, 12).Draw(t, "workspaces"), 0.0
		demands := make([]demand, 0, count)
		for range count {
			d := demand{rapid.Float64Range(0, 50).Draw(t, "wanted"), rapid.Float64Range(0.5, 4).Draw(t, "weight")}
			demands, wanted = append(demands, d), wanted+d.wanted
		}
		level, given := waterLevel(capacity, demands), 0.0
		for _, d := range demands {
			given += min(d.wanted, level*d.weight)
		}
		assert.Assert(t, math.Abs(given-min(wanted, capacity)) < 1e-6, "%v of %v, wanted %v", given, capacity, wanted)
	})
}
