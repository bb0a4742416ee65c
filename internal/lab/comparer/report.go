package comparer

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/loader"
)

// Report holds the results of a comparison and the settings that it ran with.
type Report struct {
	Scenario      string         `json:"scenario"`
	Seed          uint64         `json:"seed"`
	Overload      float64        `json:"overload"`
	ReserveFactor float64        `json:"reserve"`
	Instances     int            `json:"instances"`
	ReportLag     time.Duration  `json:"lagNs"`
	Duration      time.Duration  `json:"durationNs"`
	Capacity      Capacity       `json:"capacity"`
	Policies      []PolicyResult `json:"policies"`
	Ratios        []Ratio        `json:"ratios"`
	Bounds        []Bound        `json:"bounds"`
}

// PolicyResult holds the results of one policy in every round.
type PolicyResult struct {
	Name   string        `json:"name"`
	Rounds []RoundResult `json:"rounds"`
	// TopTierWithinTarget and the spreads below are over the valid rounds. All but
	// Goodput, in tokens per second, are fractions.
	TopTierWithinTarget Spread `json:"topTier"`
	Goodput             Spread `json:"goodput"`
	WastedFraction      Spread `json:"wasted"`
	// UnfinishedFraction is WastedFraction with the tokens of unfinished answers counted
	// as wasted.
	UnfinishedFraction Spread `json:"unfinished"`
	RemoteFraction     Spread `json:"remote"`
}

// Ratio is the ratio of one policy's value of a metric to another's, over the rounds that
// are valid for both.
type Ratio struct {
	Numerator   string `json:"of"`
	Denominator string `json:"over"`
	Metric      string `json:"figure"`
	Spread      Spread `json:"spread"`
}

// withStatistics returns the report with the spreads, ratios and bounds computed from its
// rounds.
func (r Report) withStatistics() Report {
	for i := range r.Policies {
		p := &r.Policies[i]
		p.TopTierWithinTarget = p.spread(RoundResult.TopTierWithinTarget)
		p.Goodput = p.spread(func(round RoundResult) float64 { return round.Goodput })
		p.WastedFraction = p.spread(RoundResult.WastedFraction)
		p.UnfinishedFraction = p.spread(RoundResult.unfinishedFraction)
		p.RemoteFraction = p.spread(RoundResult.remoteFraction)
	}
	r.Ratios = r.computeRatios()
	r.Bounds = r.computeBounds()

	return r
}

// remoteFraction returns the fraction of placements that left their router's data centre.
func (r RoundResult) remoteFraction() float64 {
	if r.Placements == 0 {
		return 0
	}

	return float64(r.RemotePlacements) / float64(r.Placements)
}

// validRounds returns the rounds in which the loader sent its requests in time.
func (p PolicyResult) validRounds() []RoundResult {
	return slices.DeleteFunc(slices.Clone(p.Rounds), func(round RoundResult) bool { return !round.Valid })
}

// spread returns the spread of a metric over the valid rounds.
func (p PolicyResult) spread(metric func(RoundResult) float64) Spread {
	rounds := p.validRounds()
	values := make([]float64, 0, len(rounds))
	for _, round := range rounds {
		values = append(values, metric(round))
	}

	return newSpread(values)
}

func (r Report) policyResult(name string) (PolicyResult, bool) {
	for _, policy := range r.Policies {
		if policy.Name == name {
			return policy, true
		}
	}

	return PolicyResult{}, false
}

// computeRatios returns the ratios of the router's metrics to those of each other policy.
func (r Report) computeRatios() []Ratio {
	router, ok := r.policyResult(RouterPolicy)
	if !ok {
		return nil
	}
	var ratios []Ratio
	for _, other := range r.Policies {
		if other.Name == RouterPolicy {
			continue
		}
		ratios = append(ratios,
			newRatio("goodput", router, other, func(round RoundResult) float64 { return round.Goodput }),
			newRatio("top tier within target", router, other, RoundResult.TopTierWithinTarget),
			newRatio("all within target", router, other, RoundResult.withinTargetFraction))
	}

	return ratios
}

// newRatio returns the spread of a metric's ratio between two policies, round by round.
func newRatio(name string, numerator, denominator PolicyResult, metric func(RoundResult) float64) Ratio {
	var values []float64
	for i := range min(len(numerator.Rounds), len(denominator.Rounds)) {
		if numerator.Rounds[i].Valid && denominator.Rounds[i].Valid && metric(denominator.Rounds[i]) > 0 {
			values = append(values, metric(numerator.Rounds[i])/metric(denominator.Rounds[i]))
		}
	}

	return Ratio{Numerator: numerator.Name, Denominator: denominator.Name, Metric: name, Spread: newSpread(values)}
}

// withinTargetFraction returns the fraction of all requests that were answered within
// target.
func (r RoundResult) withinTargetFraction() float64 {
	withinTarget, sent := 0, 0
	for _, class := range r.CallerReport.Classes {
		withinTarget += class.WithinTargets
		sent += class.Sent
	}
	if sent == 0 {
		return 1
	}

	return float64(withinTarget) / float64(sent)
}

// Print writes the report as tables.
func (r Report) Print(output io.Writer) {
	fmt.Fprintf(output, "scenario %s, seed %d, overload %g, reserve %g, %d instances, reports %s late, %s of arrivals a round\n",
		r.Scenario, r.Seed, r.Overload, r.ReserveFactor, r.Instances, r.ReportLag, r.Duration)
	fmt.Fprintf(output, "capacity %.1f requests/s, %.0f tokens/s\n\n", r.Capacity.RequestsPerSecond, r.Capacity.TokensPerSecond)
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "policy\trounds\tno measurement\ttop tier within\tgoodput tokens/s\twasted\tor in part\tleft its data centre\tpreempted\trefused, partial, unknown")
	for _, p := range r.Policies {
		preempted := 0
		for _, round := range p.Rounds {
			preempted += round.Preemptions
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", p.Name, len(p.Rounds), len(p.Rounds)-len(p.validRounds()),
			p.TopTierWithinTarget.formatPercent(), p.Goodput.formatNumber(), p.WastedFraction.formatPercent(), p.UnfinishedFraction.formatPercent(), p.RemoteFraction.formatPercent(), preempted, p.formatFailures())
	}
	_ = table.Flush()
	fmt.Fprintln(output)
	r.printClasses(output)
	r.printRatios(output)
	r.printBounds(output)
}

func (r Report) printClasses(output io.Writer) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "policy\tclass\tsent\twhole\twithin target\tby the mean gap\tfirst token p95, worst round\tlongest wait\tbroken")
	for _, p := range r.Policies {
		for _, c := range p.classTotals() {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.1f%%\t%.1f%%\t%s\t%s\t%d\n", p.Name, c.ClassName, c.Sent, c.Complete, 100*c.TargetAttainment(),
				100*float64(c.WithinTargetsByMean)/float64(max(1, c.Sent)), c.FirstToken.P95.Round(time.Millisecond),
				c.LongestWait.Round(time.Millisecond), c.BrokenConnections)
		}
	}
	_ = table.Flush()
	fmt.Fprintln(output)
}

// classTotals returns the callers' counts of each class, summed over the valid rounds.
// Times are the longest of any round.
func (p PolicyResult) classTotals() []loader.ClassSummary {
	var totals []loader.ClassSummary
	for _, round := range p.validRounds() {
		if totals == nil {
			totals = make([]loader.ClassSummary, len(round.CallerReport.Classes))
		}
		for i, class := range round.CallerReport.Classes {
			total := &totals[i]
			total.ClassName = class.ClassName
			total.Sent += class.Sent
			total.Complete += class.Complete
			total.WithinTargets += class.WithinTargets
			total.WithinTargetsByMean += class.WithinTargetsByMean
			total.BrokenConnections += class.BrokenConnections
			total.LongestWait = max(total.LongestWait, class.LongestWait)
			total.FirstToken.P95 = max(total.FirstToken.P95, class.FirstToken.P95)
		}
	}

	return totals
}

// formatFailures lists the requests without a whole answer, counted by kind of failure.
func (p PolicyResult) formatFailures() string {
	countByKind := map[string]int{}
	for _, round := range p.validRounds() {
		for _, class := range round.CallerReport.Classes {
			for _, counts := range []map[string]int{class.RefusedByKind, class.PartialByKind, class.UnknownByKind} {
				for kind, count := range counts {
					countByKind[kind] += count
				}
			}
		}
	}

	return loader.FormatCounts(countByKind)
}

func (r Report) printRatios(output io.Writer) {
	for _, ratio := range r.Ratios {
		fmt.Fprintf(output, "%s / %s, %s: %s\n", ratio.Numerator, ratio.Denominator, ratio.Metric, ratio.Spread.formatRatio())
	}
	fmt.Fprintln(output)
}

func (s Spread) formatRatio() string {
	if s.RoundCount == 0 {
		return notMeasuredText
	}

	return fmt.Sprintf("%.3f ± %.3f (%.3f to %.3f, %d rounds)", s.Mean, s.StandardDeviation, s.Lowest, s.Highest, s.RoundCount)
}

func (s Spread) formatPercent() string {
	if s.RoundCount == 0 {
		return notMeasuredText
	}

	return fmt.Sprintf("%.1f%% (%.1f to %.1f)", 100*s.Mean, 100*s.Lowest, 100*s.Highest)
}

func (s Spread) formatNumber() string {
	if s.RoundCount == 0 {
		return notMeasuredText
	}

	return fmt.Sprintf("%.0f (%.0f to %.0f)", s.Mean, s.Lowest, s.Highest)
}

const notMeasuredText = "not measured"
