package exchanger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

func TestSelectionKeepsUnreachableLeavingAndFewRecentInstances(t *testing.T) {
	reports := make([]tracker.LivenessReport, 0, tracker.MaxLivenessReports)
	var unreachable []string
	for i := range 64 {
		name := fmt.Sprintf("router-%02d", i)
		reports = append(reports, tracker.LivenessReport{Name: name, Age: time.Second, Leaving: i%4 == 1})
		if i >= 20 && i < 60 {
			unreachable = append(unreachable, name)
		}
	}

	selected := map[string]int{}
	for _, report := range selectLivenessReports(reports, unreachable) {
		switch {
		case report.Name >= "router-20" && report.Name < "router-60":
			selected["unreachable"]++
		case report.Leaving:
			selected["leaving"]++
		default:
			selected["recent"]++
		}
	}
	assert.DeepEqual(t, selected, map[string]int{"unreachable": maxUnreachableReports, "leaving": 6, "recent": maxRecentReports})
	assert.Equal(t, len(selectLivenessReports(reports[:3], nil)), 3)
}
