package comparer

import (
	"fmt"
	"io"
	"slices"

	"github.com/oleanderpick/oleanderpick/internal/lab/deployer"
)

// Bounds on the router's metrics. Fractions are from 0 to 1; a minXOverY is the least
// ratio of the router's value to that of policy Y.
const (
	minTopTierFraction             = 0.95
	minGoodputOverRoundRobin       = 2.0
	minGoodputOverKnownLengths     = 0.95
	maxWastedFraction              = 0.01
	maxWastedFractionWithCrashes   = 0.03
	minWithinTargetOverNoReportLag = 0.97
	minGoodputOverSingleInstance   = 0.97
	maxRemoteFraction              = 0.02
	maxOverloadForRemoteBound      = 0.7 // above this, maxRemoteFraction is not checked
	// maxSlowEngineRatio is twice what a slow engine can serve, relative to an engine
	// at full speed.
	maxSlowEngineRatio = 2.0 / slowdownFactor
)

// Bound is a limit on one measured metric of the router, and whether it is met.
type Bound struct {
	Measure  string  `json:"measure"`
	Measured float64 `json:"measured"`
	Limit    float64 `json:"bound"`
	// IsMaximum is true if Measured must be at most Limit. Otherwise it must be at
	// least Limit.
	IsMaximum bool `json:"atMost"`
	Met       bool `json:"met"`
	// RoundCount is the number of rounds that Measured comes from; 0 if it was not
	// measured.
	RoundCount int `json:"rounds"`
}

// newBound compares a measured value with its limit. Without any round it is not met.
func newBound(measure string, measured, limit float64, isMaximum bool, roundCount int) Bound {
	met := measured >= limit
	if isMaximum {
		met = measured <= limit
	}

	return Bound{Measure: measure, Measured: measured, Limit: limit, IsMaximum: isMaximum, Met: met && roundCount > 0, RoundCount: roundCount}
}

// computeBounds returns the bounds that apply to the comparison's scenario and
// overload. Without a result of the router's own policy there is none.
func (r Report) computeBounds() []Bound {
	router, ok := r.policyResult(RouterPolicy)
	if !ok {
		return nil
	}
	var bounds []Bound
	if r.Scenario == "steady" && r.Overload <= 1.5 {
		bounds = append(bounds, r.topTierBounds(router)...)
	}
	for _, row := range []struct {
		policy, metric string
		minRatio       float64
	}{
		{RoundRobinPolicy, "goodput", minGoodputOverRoundRobin},
		{KnownLengthsPolicy, "goodput", minGoodputOverKnownLengths},
		{NoReportLagPolicy, "all within target", minWithinTargetOverNoReportLag},
		{SingleInstancePolicy, "goodput", minGoodputOverSingleInstance},
	} {
		for _, ratio := range r.Ratios {
			if ratio.Denominator == row.policy && ratio.Metric == row.metric {
				bounds = append(bounds, newBound("ours / "+row.policy+", "+row.metric, ratio.Spread.Mean, row.minRatio, false, ratio.Spread.RoundCount))
			}
		}
	}
	bounds = append(bounds, r.wastedWorkBounds(router)...)
	bounds = append(bounds, r.longestWaitBound(router))
	if r.Scenario == "steady" && r.Overload <= maxOverloadForRemoteBound {
		bounds = append(bounds, newBound("share leaving its data centre", router.RemoteFraction.Mean, maxRemoteFraction, true, router.RemoteFraction.RoundCount))
	}

	return append(bounds, r.slowEngineBounds(router)...)
}

// topTierBounds returns the bounds on the share of the top tier's requests that were
// answered within target: a fixed one, and the value of each other policy.
func (r Report) topTierBounds(router PolicyResult) []Bound {
	bounds := []Bound{newBound("top tier within target", router.TopTierWithinTarget.Mean, minTopTierFraction, false, router.TopTierWithinTarget.RoundCount)}
	for _, other := range r.Policies {
		if other.Name != RouterPolicy {
			bounds = append(bounds, newBound("top tier within target, against "+other.Name, router.TopTierWithinTarget.Mean, other.TopTierWithinTarget.Mean, false, min(router.TopTierWithinTarget.RoundCount, other.TopTierWithinTarget.RoundCount)))
		}
	}

	return bounds
}

// wastedWorkBounds returns the bounds on generated tokens that reached no caller. There
// are none in scenarios that lose a router.
func (r Report) wastedWorkBounds(router PolicyResult) []Bound {
	switch r.Scenario {
	case "crashing":
		return []Bound{
			newBound("wasted work with a crashing engine", router.WastedFraction.Mean, maxWastedFractionWithCrashes, true, router.WastedFraction.RoundCount),
			newBound("the same, parts of answers that broke off counted as wasted", router.UnfinishedFraction.Mean, maxWastedFractionWithCrashes, true, router.UnfinishedFraction.RoundCount),
		}
	case "far", "router-gone":
		return nil
	default:
		return []Bound{newBound("wasted work without a fault", router.WastedFraction.Mean, maxWastedFraction, true, router.WastedFraction.RoundCount)}
	}
}

// longestWaitBound returns the bound on the lowest tier's longest wait, which is the
// guaranteed wait of its class.
func (r Report) longestWaitBound(router PolicyResult) Bound {
	longest := 0.0
	totals := router.classTotals()
	if len(totals) > 0 {
		longest = totals[len(totals)-1].LongestWait.Seconds()
	}
	classes := serviceClasses(Mix(r.ReserveFactor))
	guaranteedWait := classes[len(classes)-1].GuaranteedWait

	return newBound("lowest tier's longest wait, seconds", longest, float64(guaranteedWait)/1e9, true, len(router.validRounds()))
}

// slowEngineBounds returns the bounds of the scenario with a slow engine: traffic leaves
// that engine, and no other engine is ejected.
func (r Report) slowEngineBounds(router PolicyResult) []Bound {
	if r.Scenario != "slow" {
		return nil
	}
	ratios := []float64{}
	isHealthy := map[string]bool{}
	for _, round := range router.validRounds() {
		if round.SlowEngineRatio >= 0 {
			ratios = append(ratios, round.SlowEngineRatio)
		}
		for _, name := range round.EjectedEndpoints {
			isHealthy[name] = name != deployer.EngineName(faultyEngine)
		}
	}
	healthyEjected := 0.0
	for _, healthy := range isHealthy {
		if healthy {
			healthyEjected++
		}
	}
	spread := newSpread(ratios)

	return []Bound{
		newBound("slow engine's requests after 2 s over another's, worst round", spread.Highest, maxSlowEngineRatio, true, spread.RoundCount),
		newBound("healthy engines ejected", healthyEjected, 0, true, len(router.validRounds())),
	}
}

func (r Report) printBounds(output io.Writer) {
	for _, bound := range r.Bounds {
		verdict, relation := "missed", "at least"
		if bound.Met {
			verdict = "met"
		}
		if bound.IsMaximum {
			relation = "at most"
		}
		if bound.RoundCount == 0 {
			fmt.Fprintf(output, "%s: %s\n", bound.Measure, notMeasuredText)

			continue
		}
		fmt.Fprintf(output, "%s: measured %.4g, bound %s %.4g: %s\n", bound.Measure, bound.Measured, relation, bound.Limit, verdict)
	}
}

// MeetsBounds reports whether the report meets every bound that was measured.
func (r Report) MeetsBounds() bool {
	return !slices.ContainsFunc(r.Bounds, func(bound Bound) bool { return bound.RoundCount > 0 && !bound.Met })
}
