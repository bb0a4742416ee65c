// Package summarizer computes the condition of each service class, which operators read
// in its status, from the counts that the instances report: attainment, goodput and why
// the class misses its target, if it does.
//
// Inputs are one Report of each instance, which covers a span of time; the output is one
// Condition per class. The package keeps no state. The size of a report is bounded by
// the number of classes and of error kinds.
package summarizer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// ClassCounts holds what an instance counted for one class.
type ClassCounts struct {
	// Served is the number of complete answers, and WithinTarget of those that met the
	// targets of their class.
	Served       int64 `json:"served"`
	WithinTarget int64 `json:"within"`
	// GoodputTokens is the number of tokens in answers that met their targets.
	GoodputTokens int64 `json:"tokens"`
	// ErrorsByKind is the number of incomplete or missing answers by error kind.
	ErrorsByKind map[string]int64 `json:"refused,omitempty"`
}

// Report holds what an instance counted in a span of time.
type Report struct {
	// Seconds is the length of the span.
	Seconds float64 `json:"seconds"`
	// Classes holds the counts by class name.
	Classes map[string]ClassCounts `json:"classes"`
	// WastedTokens is the number of generated tokens that reached no caller.
	WastedTokens int64 `json:"wasted"`
}

// Condition is the condition of a class as operators read it in its status.
type Condition struct {
	// Attainment is the share of requests answered within their targets, 0 to 1;
	// requests that their callers cancelled are not counted.
	Attainment float64 `json:"attainment"`
	// Goodput is the rate of tokens in answers within targets, in tokens per second.
	Goodput float64 `json:"goodput"`
	// Requests is the number of requests that Attainment counts, answered or not.
	Requests int64 `json:"requests"`
	// ErrorsByKind is the number of incomplete or missing answers by error kind.
	ErrorsByKind map[string]int64 `json:"refused,omitempty"`
	// Reason says in one sentence what causes most of the misses, or that the class is on
	// target or had no requests.
	Reason string `json:"reason"`
}

// minOnTargetAttainment is the minimum attainment of a class that is on target.
const minOnTargetAttainment = 0.95

// Sum adds reports that cover about the same span of time. The Seconds of the sum is
// that of the longest span.
func Sum(reports []Report) Report {
	sum := Report{Classes: map[string]ClassCounts{}}
	for _, report := range reports {
		sum.Seconds = max(sum.Seconds, report.Seconds)
		sum.WastedTokens += report.WastedTokens
		for class, counts := range report.Classes {
			sum.Classes[class] = sum.Classes[class].add(counts)
		}
	}

	return sum
}

// add returns the sum of two counts.
func (c ClassCounts) add(other ClassCounts) ClassCounts {
	errorsByKind := map[string]int64{}
	for _, errors := range []map[string]int64{c.ErrorsByKind, other.ErrorsByKind} {
		for kind, errorCount := range errors {
			errorsByKind[kind] += errorCount
		}
	}

	return ClassCounts{
		Served:        c.Served + other.Served,
		WithinTarget:  c.WithinTarget + other.WithinTarget,
		GoodputTokens: c.GoodputTokens + other.GoodputTokens,
		ErrorsByKind:  errorsByKind,
	}
}

// ConditionOf returns the condition of a class, usually from the sum of all reports.
func (r Report) ConditionOf(class string) Condition {
	counts := r.Classes[class]
	condition := Condition{Attainment: 1, Requests: counts.Served, ErrorsByKind: counts.ErrorsByKind}
	for kind, errorCount := range counts.ErrorsByKind {
		if kind != answerer.KindCanceled.String() {
			condition.Requests += errorCount
		}
	}
	if condition.Requests > 0 {
		condition.Attainment = float64(counts.WithinTarget) / float64(condition.Requests)
	}
	if r.Seconds > 0 {
		condition.Goodput = float64(counts.GoodputTokens) / r.Seconds
	}
	condition.Reason = counts.reason(condition)

	return condition
}

// reason explains the condition by the most frequent cause of missed targets: late
// answers or one kind of error.
func (c ClassCounts) reason(condition Condition) string {
	switch {
	case condition.Requests == 0:
		return "No requests."
	case condition.Attainment >= minOnTargetAttainment:
		return "On target."
	}
	lateAnswers := c.Served - c.WithinTarget
	kinds := slices.SortedFunc(maps.Keys(c.ErrorsByKind), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.ErrorsByKind[b], c.ErrorsByKind[a]), cmp.Compare(a, b))
	})
	if len(kinds) == 0 || c.ErrorsByKind[kinds[0]] < lateAnswers {
		return fmt.Sprintf("Most misses, %d, were answered late: the endpoints are slow or too full.", lateAnswers)
	}

	return fmt.Sprintf("Most misses, %d, were refused as %s.", c.ErrorsByKind[kinds[0]], kinds[0])
}

// Difference returns what an instance counted between two of its running totals, span being
// the time between them.
func Difference(earlier, later Report, span time.Duration) Report {
	difference := Report{Seconds: span.Seconds(), WastedTokens: later.WastedTokens - earlier.WastedTokens, Classes: map[string]ClassCounts{}}
	for class, counts := range later.Classes {
		earlierCounts := earlier.Classes[class]
		errorsByKind := map[string]int64{}
		for kind, errorCount := range counts.ErrorsByKind {
			if increase := errorCount - earlierCounts.ErrorsByKind[kind]; increase > 0 {
				errorsByKind[kind] = increase
			}
		}
		difference.Classes[class] = ClassCounts{
			Served:        counts.Served - earlierCounts.Served,
			WithinTarget:  counts.WithinTarget - earlierCounts.WithinTarget,
			GoodputTokens: counts.GoodputTokens - earlierCounts.GoodputTokens,
			ErrorsByKind:  errorsByKind,
		}
	}

	return difference
}
