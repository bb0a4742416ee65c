package comparer

import (
	"math"
	"slices"
)

// Spread describes how a metric varies over rounds.
type Spread struct {
	Mean              float64 `json:"mean"`
	StandardDeviation float64 `json:"deviation"`
	Lowest            float64 `json:"lowest"`
	Highest           float64 `json:"highest"`
	RoundCount        int     `json:"rounds"`
}

// newSpread returns the spread of some values. RoundCount is 0 if there are none.
func newSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	spread := Spread{Lowest: slices.Min(values), Highest: slices.Max(values), RoundCount: len(values)}
	for _, value := range values {
		spread.Mean += value / float64(len(values))
	}
	if len(values) > 1 {
		squaredDeviations := 0.0
		for _, value := range values {
			squaredDeviations += (value - spread.Mean) * (value - spread.Mean)
		}
		spread.StandardDeviation = math.Sqrt(squaredDeviations / float64(len(values)-1))
	}

	return spread
}
