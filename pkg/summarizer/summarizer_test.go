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
		count      summarizer.Count
		attainment float64
		reason     string
	}{
		{"no requests", summarizer.Count{}, 1, "No requests."},
		{"on target", summarizer.Count{Served: 100, Within: 96}, 0.96, "On target."},
		{"late", summarizer.Count{Served: 100, Within: 50, Refused: map[string]int64{"evicted": 25}}, 0.4, "Most misses, 50, were answered late: the endpoints are slow or too full."},
		{"refused", summarizer.Count{Served: 50, Within: 45, Refused: map[string]int64{"evicted": 30, "hopeless": 20}}, 0.45, "Most misses, 30, were refused as evicted."},
		{"canceled", summarizer.Count{Served: 10, Within: 10, Refused: map[string]int64{"canceled": 10}}, 1, "On target."},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report := summarizer.Report{Seconds: 10, Classes: map[string]summarizer.Count{"chat": test.count}}
			condition := report.Conclude("chat")
			assert.Equal(t, condition.Attainment, test.attainment)
			assert.Equal(t, condition.Reason, test.reason)
		})
	}
}

func TestDifferenceReversesSum(t *testing.T) {
	first := summarizer.Report{Classes: map[string]summarizer.Count{
		"chat": {Served: 3, Within: 2, Tokens: 5, Refused: map[string]int64{"expired": 1}},
	}, Wasted: 1}
	interval := summarizer.Report{Seconds: 30, Classes: map[string]summarizer.Count{
		"chat": {Served: 4, Within: 4, Tokens: 6, Refused: map[string]int64{"evicted": 2}},
	}, Wasted: 7}
	total := summarizer.Sum([]summarizer.Report{first, interval})
	assert.DeepEqual(t, summarizer.Between(first, total, 30*time.Second), interval)
}

func ExampleSum() {
	reportWith := func(within int64) summarizer.Report {
		return summarizer.Report{Seconds: 30, Classes: map[string]summarizer.Count{
			"chat": {Served: 100, Within: within, Tokens: 60 * within},
		}}
	}
	condition := summarizer.Sum([]summarizer.Report{reportWith(100), reportWith(90)}).Conclude("chat")
	fmt.Println(condition.Attainment, condition.Goodput, condition.Reason)
	// Output: 0.95 380 On target.
}
