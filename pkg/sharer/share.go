package sharer

import (
	"cmp"
	"math"
	"slices"
)

// demand is what a workspace wants and its weight.
type demand struct {
	wanted, weight float64
}

// waterLevel returns the level of the weighted max-min fair division of a capacity: each workspace
// gets the smaller of its demand and the level times its weight. It is infinite if the capacity
// suffices for all.
func waterLevel(capacity float64, demands []demand) float64 {
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.wanted*b.weight, b.wanted*a.weight) })
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	for _, d := range demands {
		if level := capacity / weights; d.wanted > level*d.weight {
			return max(0, level)
		}
		capacity -= d.wanted
		weights -= d.weight
	}

	return math.Inf(1)
}
