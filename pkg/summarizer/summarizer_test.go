package summarizer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/summarizer"
)

func TestConditionStatesAttainmentAndMainReason(t *testing.T) {
	tests := []struct {
		name       string
		counts     summarizer.ClassCounts
		attainment float64
		reason     string
	}{
		{"no requests", summarizer.ClassCounts{}, 1, "No requests."},
		{"on target", summarizer.ClassCounts{Served: 100, WithinTarget: 96}, 0.96, "On target."},
		{"late", summarizer.ClassCounts{Served: 100, WithinTarget: 50, ErrorsByKind: map[string]int64{"evicted": 25}}, 0.4, "Most misses, 50, were answered late: the endpoints are slow or too full."},
		{"refused", summarizer.ClassCounts{Served: 50, WithinTarget: 45, ErrorsByKind: map[string]int64{"evicted": 30, "hopeless": 20}}, 0.45, "Most misses, 30, were refused as evicted."},
		{"canceled", summarizer.ClassCounts{Served: 10, WithinTarget: 10, ErrorsByKind: map[string]int64{"canceled": 10}}, 1, "On target."},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report := summarizer.Report{Seconds: 10, Classes: map[string]summarizer.ClassCounts{"chat": test.counts}}
			condition := report.ConditionOf("chat")
			assert.Equal(t, condition.Attainment, test.attainment)
			assert.Equal(t, condition.Reason, test.reason)
		})
	}
}

func TestDifferenceReversesSum(t *testing.T) {
	first := summarizer.Report{Classes: map[string]summarizer.ClassCounts{
		"chat": {Served: 3, WithinTarget: 2, GoodputTokens: 5, ErrorsByKind: map[string]int64{"expired": 1}},
	}, WastedTokens: 1}
	interval := summarizer.Report{Seconds: 30, Classes: map[string]summarizer.ClassCounts{
		"chat": {Served: 4, WithinTarget: 4, GoodputTokens: 6, ErrorsByKind: map[string]int64{"evicted": 2}},
	}, WastedTokens: 7}
	total := summarizer.Sum([]summarizer.Report{first, interval})
	assert.DeepEqual(t, summarizer.Difference(first, total, 30*time.Second), interval)
}

func ExampleSum() {
	reportWith := func(within int64) summarizer.Report {
		return summarizer.Report{Seconds: 30, Classes: map[string]summarizer.ClassCounts{
			"chat": {Served: 100, WithinTarget: within, GoodputTokens: 60 * within},
		}}
	}
	condition := summarizer.Sum([]summarizer.Report{reportWith(100), reportWith(90)}).ConditionOf("chat")
	fmt.Println(condition.Attainment, condition.Goodput, condition.Reason)
	// Output: 0.95 380 On target.
}
