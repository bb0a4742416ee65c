// Package summarizer turns what each instance counted into what an operator
// reads in a service class's status: attainment, goodput and why the class
// misses its target, if it does.
//
// Inputs are one Report of each instance, which covers a span of time; the
// output is a Condition for each class. It keeps no state. A report is bounded
// by the number of classes and of error kinds.
package summarizer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// ClassCounts is what an instance counted of a class.
type ClassCounts struct {
	// Served is complete answers, Within those within the class's targets.
	Served       int64 `json:"served"`
	WithinTarget int64 `json:"within"`
	// GoodputTokens is those of answers within targets.
	GoodputTokens int64 `json:"tokens"`
	// ErrorsByKind is answers that were not complete, by kind.
	ErrorsByKind map[string]int64 `json:"refused,omitempty"`
}

// Report is what an instance counted within a span of time.
type Report struct {
	// Seconds is the span's length.
	Seconds float64 `json:"seconds"`
	// Classes are the counts by class.
	Classes map[string]ClassCounts `json:"classes"`
	// WastedTokens is tokens that reached no caller.
	WastedTokens int64 `json:"wasted"`
}

// Condition is what an operator reads of a class.
type Condition struct {
	// Attainment is the share of requests answered within targets, 0 to 1;
	// those that callers left are not counted.
	Attainment float64 `json:"attainment"`
	// Goodput is tokens a second of answers within targets.
	Goodput float64 `json:"goodput"`
	// Requests is the number that Attainment is a share of.
	Requests int64 `json:"requests"`
	// Refused is answers that were not complete, by kind.
	Refused map[string]int64 `json:"refused,omitempty"`
	// Reason says in one sentence where most misses come from.
	Reason string `json:"reason"`
}

// enough is the attainment from which a class is on target.
const enough = 0.95

// Sum adds reports that cover about the same span.
func Sum(reports []Report) Report {
	sum := Report{Classes: map[string]ClassCounts{}}
	for _, report := range reports {
		sum.Seconds = max(sum.Seconds, report.Seconds)
		sum.WastedTokens += report.WastedTokens
		for class, count := range report.Classes {
			sum.Classes[class] = sum.Classes[class].plus(count)
		}
	}

	return sum
}

func (c ClassCounts) plus(other ClassCounts) ClassCounts {
	refused := map[string]int64{}
	for _, counts := range []map[string]int64{c.ErrorsByKind, other.ErrorsByKind} {
		for kind, count := range counts {
			refused[kind] += count
		}
	}

	return ClassCounts{
		Served:        c.Served + other.Served,
		WithinTarget:  c.WithinTarget + other.WithinTarget,
		GoodputTokens: c.GoodputTokens + other.GoodputTokens,
		ErrorsByKind:  refused,
	}
}

// ConditionOf returns the condition of a class in a summed report.
func (r Report) ConditionOf(class string) Condition {
	count := r.Classes[class]
	condition := Condition{Attainment: 1, Requests: count.Served, Refused: count.ErrorsByKind}
	for kind, refused := range count.ErrorsByKind {
		if kind != answerer.KindCanceled.String() {
			condition.Requests += refused
		}
	}
	if condition.Requests > 0 {
		condition.Attainment = float64(count.WithinTarget) / float64(condition.Requests)
	}
	if r.Seconds > 0 {
		condition.Goodput = float64(count.GoodputTokens) / r.Seconds
	}
	condition.Reason = count.reason(condition)

	return condition
}

func (c ClassCounts) reason(condition Condition) string {
	switch {
	case condition.Requests == 0:
		return "No requests."
	case condition.Attainment >= enough:
		return "On target."
	}
	late := c.Served - c.WithinTarget
	kinds := slices.SortedFunc(maps.Keys(c.ErrorsByKind), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.ErrorsByKind[b], c.ErrorsByKind[a]), cmp.Compare(a, b))
	})
	if len(kinds) == 0 || c.ErrorsByKind[kinds[0]] < late {
		return fmt.Sprintf("Most misses, %d, were answered late: the endpoints are slow or too full.", late)
	}

	return fmt.Sprintf("Most misses, %d, were refused as %s.", c.ErrorsByKind[kinds[0]], kinds[0])
}

// Difference returns what was counted between two totals of one instance.
func Difference(earlier, later Report, span time.Duration) Report {
	difference := Report{Seconds: span.Seconds(), WastedTokens: later.WastedTokens - earlier.WastedTokens, Classes: map[string]ClassCounts{}}
	for class, count := range later.Classes {
		before := earlier.Classes[class]
		refused := map[string]int64{}
		for kind, total := range count.ErrorsByKind {
			if grown := total - before.ErrorsByKind[kind]; grown > 0 {
				refused[kind] = grown
			}
		}
		difference.Classes[class] = ClassCounts{
			Served:        count.Served - before.Served,
			WithinTarget:  count.WithinTarget - before.WithinTarget,
			GoodputTokens: count.GoodputTokens - before.GoodputTokens,
			ErrorsByKind:  refused,
		}
	}

	return difference
}
