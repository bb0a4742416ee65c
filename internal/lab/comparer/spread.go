package comparer

import (
	"math"
	"slices"
)

// Spread describes how a figure varies over rounds.
type Spread struct {
	Mean              float64 `json:"mean"`
	StandardDeviation float64 `json:"deviation"`
	Lowest            float64 `json:"lowest"`
	Highest           float64 `json:"highest"`
	RoundCount        int     `json:"rounds"`
}

// newSpread returns the spread of some figures. RoundCount is 0 if there are none.
func newSpread(figures []float64) Spread {
	if len(figures) == 0 {
		return Spread{}
	}
	spread := Spread{Lowest: slices.Min(figures), Highest: slices.Max(figures), RoundCount: len(figures)}
	for _, figure := range figures {
		spread.Mean += figure / float64(len(figures))
	}
	if len(figures) > 1 {
		squaredDeviations := 0.0
		for _, figure := range figures {
			squaredDeviations += (figure - spread.Mean) * (figure - spread.Mean)
		}
		spread.StandardDeviation = math.Sqrt(squaredDeviations / float64(len(figures)-1))
	}

	return spread
}
