package tracker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Compares the Tracker with a baseline in which three consecutive missed exchanges
// make a member suspect, whatever peers report. All members are live and both
// policies see the same losses, so that each suspicion is false.
func TestPeerReportsPreventFalseSuspicion(t *testing.T) {
	suspectWithReports, suspectWithoutReports, checkedMembers := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		network := newSimulatedNetwork(t)
		network.brokenPaths[[2]string{"a1", "c1"}] = true
		for second := range 60 {
			network.exchangeOnce(startTime.Add(time.Duration(second)*time.Second), 3)
			for _, name := range network.names {
				for _, member := range network.trackers[name].Members() {
					checkedMembers++
					if member.State.String() == "suspect" {
						suspectWithReports++
					}
					if !member.Reachable {
						suspectWithoutReports++
					}
				}
			}
		}
	})
	t.Logf("30%% loss and one broken path: of %d checks of live members, %d are suspect without peers' reports, %d with them", checkedMembers, suspectWithoutReports, suspectWithReports)
	assert.Assert(t, suspectWithReports < suspectWithoutReports/100)
}
