package comparer

import (
	"fmt"
	"io"
	"slices"

	"github.com/oleanderpick/oleanderpick/internal/lab/deployer"
)

const (
	topBound       = 0.95
	naiveBound     = 2.0
	knownBound     = 0.95
	wasteBound     = 0.01
	crashBound     = 0.03
	lagBound       = 0.97
	instancesBound = 0.97
	remoteBound    = 0.02
	remoteOverload = 0.7 // The bound on leaving holds up to this.
	// movedBound is twice the share of a fair one that an engine at a fifth
	// of its speed can serve.
	movedBound = 2.0 / slowFactor
)

// Bound is one figure that ours is held to.
type Bound struct {
	Measure  string  `json:"measure"`
	Measured float64 `json:"measured"`
	Bound    float64 `json:"bound"`
	// AtMost says that the bound is not to be exceeded; otherwise it is to be
	// reached.
	AtMost bool `json:"atMost"`
	Met    bool `json:"met"`
	// Rounds is how many rounds the figure is of; 0 is not measured.
	Rounds int `json:"rounds"`
}

// check returns the verdict on a bound.
func check(measure string, measured, bound float64, atMost bool, rounds int) Bound {
	met := measured >= bound
	if atMost {
		met = measured <= bound
	}

	return Bound{Measure: measure, Measured: measured, Bound: bound, AtMost: atMost, Met: met && rounds > 0, Rounds: rounds}
}

// bounds returns the bounds that the comparison's settings can measure.
func (r Report) bounds() []Bound {
	ours, ok := r.policy(Ours)
	if !ok {
		return nil
	}
	var bounds []Bound
	if r.Scenario == "steady" && r.Overload <= 1.5 {
		bounds = append(bounds, r.topBounds(ours)...)
	}
	for _, row := range []struct {
		over, figure string
		bound        float64
	}{
		{Naive, "goodput", naiveBound},
		{Known, "goodput", knownBound},
		{NoLag, "all within target", lagBound},
		{One, "goodput", instancesBound},
	} {
		for _, ratio := range r.Ratios {
			if ratio.Over == row.over && ratio.Figure == row.figure {
				bounds = append(bounds, check("ours / "+row.over+", "+row.figure, ratio.Spread.Mean, row.bound, false, ratio.Spread.Rounds))
			}
		}
	}
	bounds = append(bounds, r.wasteBounds(ours)...)
	bounds = append(bounds, r.waitBound(ours))
	if r.Scenario == "steady" && r.Overload <= remoteOverload {
		bounds = append(bounds, check("share leaving its data centre", ours.Remote.Mean, remoteBound, true, ours.Remote.Rounds))
	}

	return append(bounds, r.slowBounds(ours)...)
}

// topBounds hold the top tier to its share and to every other policy's.
func (r Report) topBounds(ours Policy) []Bound {
	bounds := []Bound{check("top tier within target", ours.Top.Mean, topBound, false, ours.Top.Rounds)}
	for _, other := range r.Policies {
		if other.Name != Ours {
			bounds = append(bounds, check("top tier within target, against "+other.Name, ours.Top.Mean, other.Top.Mean, false, min(ours.Top.Rounds, other.Top.Rounds)))
		}
	}

	return bounds
}

func (r Report) wasteBounds(ours Policy) []Bound {
	switch r.Scenario {
	case "crashing":
		return []Bound{
			check("wasted work with a crashing engine", ours.Wasted.Mean, crashBound, true, ours.Wasted.Rounds),
			check("the same, parts of answers that broke off counted as wasted", ours.Unfinished.Mean, crashBound, true, ours.Unfinished.Rounds),
		}
	case "far", "router-gone":
		return nil
	default:
		return []Bound{check("wasted work without a fault", ours.Wasted.Mean, wasteBound, true, ours.Wasted.Rounds)}
	}
}

// waitBound holds the lowest tier's longest wait to its declared floor.
func (r Report) waitBound(ours Policy) Bound {
	longest := 0.0
	sums := ours.classes()
	if len(sums) > 0 {
		longest = sums[len(sums)-1].LongestWait.Seconds()
	}
	declared := classes(Mix(r.Reserve))
	floor := declared[len(declared)-1].GuaranteedWait

	return check("lowest tier's longest wait, seconds", longest, float64(floor)/1e9, true, len(ours.valid()))
}

func (r Report) slowBounds(ours Policy) []Bound {
	if r.Scenario != "slow" {
		return nil
	}
	shares := []float64{}
	healthy := map[string]bool{}
	for _, round := range ours.valid() {
		if round.SlowShare >= 0 {
			shares = append(shares, round.SlowShare)
		}
		for _, name := range round.Ejected {
			healthy[name] = name != deployer.EngineName(faultEngine)
		}
	}
	ejected := 0.0
	for _, one := range healthy {
		if one {
			ejected++
		}
	}
	spread := spreadOf(shares)

	return []Bound{
		check("slow engine's requests after 2 s over another's, worst round", spread.Highest, movedBound, true, spread.Rounds),
		check("healthy engines ejected", ejected, 0, true, len(ours.valid())),
	}
}

func (r Report) printBounds(output io.Writer) {
	for _, bound := range r.Bounds {
		verdict, word := "missed", "at least"
		if bound.Met {
			verdict = "met"
		}
		if bound.AtMost {
			word = "at most"
		}
		if bound.Rounds == 0 {
			fmt.Fprintf(output, "%s: %s\n", bound.Measure, notMeasured)

			continue
		}
		fmt.Fprintf(output, "%s: measured %.4g, bound %s %.4g: %s\n", bound.Measure, bound.Measured, word, bound.Bound, verdict)
	}
}

// MeetsBounds reports whether every bound that was measured is met.
func (r Report) MeetsBounds() bool {
	return !slices.ContainsFunc(r.Bounds, func(bound Bound) bool { return bound.Rounds > 0 && !bound.Met })
}
