package exchanger

import (
	"slices"

	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

const (
	// maxUnreachableReports limits the liveness reports of one message that are about
	// instances that the recipient finds unreachable.
	maxUnreachableReports = 32
	// maxLeavingReports limits the liveness reports of one message that are about
	// leaving instances.
	maxLeavingReports = 8
	// maxRecentReports limits the liveness reports of one message that are about other
	// instances. A few are enough for the reports to spread, since each message
	// carries the most recent ones.
	maxRecentReports = 2
)

// selectLivenessReports returns the reports that a message to a peer carries: those
// about instances that the peer finds unreachable, those about leaving ones, and the
// first few others. All of them would make messages grow with the fleet and repeat
// mostly what the peer knows. The given reports are sorted by age, after those that
// the peer requested.
func selectLivenessReports(reports []tracker.LivenessReport, unreachable []string) []tracker.LivenessReport {
	unreachableCount, leavingCount, recentCount := 0, 0, 0
	var selected []tracker.LivenessReport
	for _, report := range reports {
		count, limit := &recentCount, maxRecentReports
		switch {
		case slices.Contains(unreachable, report.Name):
			count, limit = &unreachableCount, maxUnreachableReports
		case report.Leaving:
			count, limit = &leavingCount, maxLeavingReports
		}
		if *count < limit {
			*count++
			selected = append(selected, report)
		}
	}

	return selected
}
