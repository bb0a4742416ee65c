package comparer

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/loader"
)

// Report is what a comparison found.
type Report struct {
	Scenario  string        `json:"scenario"`
	Seed      uint64        `json:"seed"`
	Overload  float64       `json:"overload"`
	Reserve   float64       `json:"reserve"`
	Instances int           `json:"instances"`
	Lag       time.Duration `json:"lagNs"`
	Duration  time.Duration `json:"durationNs"`
	Capacity  Capacity      `json:"capacity"`
	Policies  []Policy      `json:"policies"`
	Ratios    []Ratio       `json:"ratios"`
	Bounds    []Bound       `json:"bounds"`
}

// Policy is what one policy did in every round.
type Policy struct {
	Name   string  `json:"name"`
	Rounds []Round `json:"rounds"`
	// The figures are of the valid rounds.
	Top     Spread `json:"topTier"`
	Goodput Spread `json:"goodput"`
	Wasted  Spread `json:"wasted"`
	// Unfinished is as Wasted, with parts of answers counted as wasted.
	Unfinished Spread `json:"unfinished"`
	Remote     Spread `json:"remote"`
}

// Ratio is one policy's figure over another's, of the rounds valid for both.
type Ratio struct {
	Of     string `json:"of"`
	Over   string `json:"over"`
	Figure string `json:"figure"`
	Spread Spread `json:"spread"`
}

func (r Report) finish() Report {
	for i := range r.Policies {
		p := &r.Policies[i]
		p.Top = p.spread(Round.Top)
		p.Goodput = p.spread(func(round Round) float64 { return round.Goodput })
		p.Wasted = p.spread(Round.Wasted)
		p.Unfinished = p.spread(Round.unfinished)
		p.Remote = p.spread(Round.remoteShare)
	}
	r.Ratios = r.ratios()
	r.Bounds = r.bounds()

	return r
}

func (r Round) remoteShare() float64 {
	if r.Placements == 0 {
		return 0
	}

	return float64(r.Remote) / float64(r.Placements)
}

// valid returns the rounds that are measurements.
func (p Policy) valid() []Round {
	return slices.DeleteFunc(slices.Clone(p.Rounds), func(round Round) bool { return !round.Valid })
}

func (p Policy) spread(figure func(Round) float64) Spread {
	rounds := p.valid()
	figures := make([]float64, 0, len(rounds))
	for _, round := range rounds {
		figures = append(figures, figure(round))
	}

	return spreadOf(figures)
}

func (r Report) policy(name string) (Policy, bool) {
	for _, policy := range r.Policies {
		if policy.Name == name {
			return policy, true
		}
	}

	return Policy{}, false
}

// ratios holds ours against every other policy.
func (r Report) ratios() []Ratio {
	ours, ok := r.policy(Ours)
	if !ok {
		return nil
	}
	var ratios []Ratio
	for _, other := range r.Policies {
		if other.Name == Ours {
			continue
		}
		ratios = append(ratios,
			ratioOf("goodput", ours, other, func(round Round) float64 { return round.Goodput }),
			ratioOf("top tier within target", ours, other, Round.Top),
			ratioOf("all within target", ours, other, Round.attainment))
	}

	return ratios
}

func ratioOf(name string, of, over Policy, figure func(Round) float64) Ratio {
	var figures []float64
	for i := range min(len(of.Rounds), len(over.Rounds)) {
		if of.Rounds[i].Valid && over.Rounds[i].Valid && figure(over.Rounds[i]) > 0 {
			figures = append(figures, figure(of.Rounds[i])/figure(over.Rounds[i]))
		}
	}

	return Ratio{Of: of.Name, Over: over.Name, Figure: name, Spread: spreadOf(figures)}
}

// attainment is the share of all requests answered within target.
func (r Round) attainment() float64 {
	within, sent := 0, 0
	for _, class := range r.Callers.Classes {
		within += class.WithinTargets
		sent += class.Sent
	}
	if sent == 0 {
		return 1
	}

	return float64(within) / float64(sent)
}

// Print writes the report as tables.
func (r Report) Print(output io.Writer) {
	fmt.Fprintf(output, "scenario %s, seed %d, overload %g, reserve %g, %d instances, reports %s late, %s of arrivals a round\n",
		r.Scenario, r.Seed, r.Overload, r.Reserve, r.Instances, r.Lag, r.Duration)
	fmt.Fprintf(output, "capacity %.1f requests/s, %.0f tokens/s\n\n", r.Capacity.Requests, r.Capacity.Tokens)
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "policy\trounds\tno measurement\ttop tier within\tgoodput tokens/s\twasted\tor in part\tleft its data centre\tpreempted\trefused, partial, unknown")
	for _, p := range r.Policies {
		preempted := 0
		for _, round := range p.Rounds {
			preempted += round.Preempted
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", p.Name, len(p.Rounds), len(p.Rounds)-len(p.valid()),
			p.Top.percent(), p.Goodput.plain(), p.Wasted.percent(), p.Unfinished.percent(), p.Remote.percent(), preempted, p.failures())
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
		for _, c := range p.classes() {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.1f%%\t%.1f%%\t%s\t%s\t%d\n", p.Name, c.ClassName, c.Sent, c.Complete, 100*c.TargetAttainment(),
				100*float64(c.WithinTargetsByMean)/float64(max(1, c.Sent)), c.FirstToken.P95.Round(time.Millisecond),
				c.LongestWait.Round(time.Millisecond), c.BrokenConnections)
		}
	}
	_ = table.Flush()
	fmt.Fprintln(output)
}

// classes returns the sums of the valid rounds by class; times are the
// longest of all rounds.
func (p Policy) classes() []loader.ClassSummary {
	var sums []loader.ClassSummary
	for _, round := range p.valid() {
		if sums == nil {
			sums = make([]loader.ClassSummary, len(round.Callers.Classes))
		}
		for i, class := range round.Callers.Classes {
			sum := &sums[i]
			sum.ClassName = class.ClassName
			sum.Sent += class.Sent
			sum.Complete += class.Complete
			sum.WithinTargets += class.WithinTargets
			sum.WithinTargetsByMean += class.WithinTargetsByMean
			sum.BrokenConnections += class.BrokenConnections
			sum.LongestWait = max(sum.LongestWait, class.LongestWait)
			sum.FirstToken.P95 = max(sum.FirstToken.P95, class.FirstToken.P95)
		}
	}

	return sums
}

// failures lists the answers that were not whole, by kind.
func (p Policy) failures() string {
	kinds := map[string]int{}
	for _, round := range p.valid() {
		for _, class := range round.Callers.Classes {
			for _, counts := range []map[string]int{class.RefusedByKind, class.PartialByKind, class.UnknownByKind} {
				for kind, count := range counts {
					kinds[kind] += count
				}
			}
		}
	}

	return loader.FormatCounts(kinds)
}

func (r Report) printRatios(output io.Writer) {
	for _, ratio := range r.Ratios {
		fmt.Fprintf(output, "%s / %s, %s: %s\n", ratio.Of, ratio.Over, ratio.Figure, ratio.Spread.ratio())
	}
	fmt.Fprintln(output)
}

func (s Spread) ratio() string {
	if s.Rounds == 0 {
		return notMeasured
	}

	return fmt.Sprintf("%.3f ± %.3f (%.3f to %.3f, %d rounds)", s.Mean, s.Deviation, s.Lowest, s.Highest, s.Rounds)
}

func (s Spread) percent() string {
	if s.Rounds == 0 {
		return notMeasured
	}

	return fmt.Sprintf("%.1f%% (%.1f to %.1f)", 100*s.Mean, 100*s.Lowest, 100*s.Highest)
}

func (s Spread) plain() string {
	if s.Rounds == 0 {
		return notMeasured
	}

	return fmt.Sprintf("%.0f (%.0f to %.0f)", s.Mean, s.Lowest, s.Highest)
}

const notMeasured = "not measured"
