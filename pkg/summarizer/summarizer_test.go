package summarizer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/summarizer"
)

func TestConclude(t *testing.T) {
	tests := []struct {
		name   string
		count  summarizer.ClassCounts
		share  float64
		reason string
	}{
		{"none", summarizer.ClassCounts{}, 1, "No requests."},
		{"on target", summarizer.ClassCounts{Served: 100, WithinTarget: 96}, 0.96, "On target."},
		{"late", summarizer.ClassCounts{Served: 100, WithinTarget: 50, ErrorsByKind: map[string]int64{"evicted": 25}}, 0.4, "Most misses, 50, were answered late: the endpoints are slow or too full."},
		{"refused", summarizer.ClassCounts{Served: 50, WithinTarget: 45, ErrorsByKind: map[string]int64{"evicted": 30, "hopeless": 20}}, 0.45, "Most misses, 30, were refused as evicted."},
		{"left", summarizer.ClassCounts{Served: 10, WithinTarget: 10, ErrorsByKind: map[string]int64{"canceled": 10}}, 1, "On target."},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report := summarizer.Report{Seconds: 10, Classes: map[string]summarizer.ClassCounts{"chat": test.count}}
			condition := report.ConditionOf("chat")
			assert.Equal(t, condition.Attainment, test.share)
			assert.Equal(t, condition.Reason, test.reason)
		})
	}
}

func TestBetweenIsTheInverseOfSum(t *testing.T) {
	first := summarizer.Report{Classes: map[string]summarizer.ClassCounts{
		"chat": {Served: 3, WithinTarget: 2, GoodputTokens: 5, ErrorsByKind: map[string]int64{"expired": 1}},
	}, WastedTokens: 1}
	more := summarizer.Report{Seconds: 30, Classes: map[string]summarizer.ClassCounts{
		"chat": {Served: 4, WithinTarget: 4, GoodputTokens: 6, ErrorsByKind: map[string]int64{"evicted": 2}},
	}, WastedTokens: 7}
	total := summarizer.Sum([]summarizer.Report{first, more})
	assert.DeepEqual(t, summarizer.Difference(first, total, 30*time.Second), more)
}

func ExampleSum() {
	of := func(within int64) summarizer.Report {
		return summarizer.Report{Seconds: 30, Classes: map[string]summarizer.ClassCounts{
			"chat": {Served: 100, WithinTarget: within, GoodputTokens: 60 * within},
		}}
	}
	condition := summarizer.Sum([]summarizer.Report{of(100), of(90)}).ConditionOf("chat")
	fmt.Println(condition.Attainment, condition.Goodput, condition.Reason)
	// Output: 0.95 380 On target.
}
