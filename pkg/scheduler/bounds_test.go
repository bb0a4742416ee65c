package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

func acceptAll(Request) bool { return true }

func rejectAll(Request) bool { return false }

// TestStateStaysBoundedWithManyLanesAndWorkspaces sends requests of many lanes and
// workspaces through a scheduler and checks that its state stays within the limits.
func TestStateStaysBoundedWithManyLanesAndWorkspaces(t *testing.T) {
	s, now := New(Settings{MaxInFlight: 3}), time.Unix(0, 0)
	for id := range uint64(3000) {
		now = now.Add(time.Millisecond)
		lane, workspace := fmt.Sprint(id%1000), fmt.Sprint(id)
		if id >= 1500 {
			lane = "pool"
		}
		s.Enqueue(now, Request{ID: id, Lane: lane, Tier: 1, Workspace: workspace, Cost: 10})
		s.Dispatch(now, acceptAll)
		s.Finish(now, id, 500)
	}
	assert.Equal(t, len(s.requests)+s.waitingCount+s.inFlightCount+
		len(s.activeLanes)+len(s.requestsByExpiry.elements), 0)
	assert.Equal(t, len(s.backlogs[1]), 0)
	assert.Equal(t, len(s.lanes), maxRememberedLanes)
	assert.Equal(t, len(s.lanesByAge), maxRememberedLanes)
	assert.Assert(t, len(s.lanes["pool"].tiers[1].workspaceQueues) <= maxIdleWorkspaces+1)
	for id := range uint64(5) {
		s.Enqueue(now, Request{ID: id, Lane: "pool"})
	}
	assert.Equal(t, len(s.Dispatch(now, acceptAll)), 3)
	assert.Equal(t, s.Waiting(), 2)
}

// TestConfigureKeepsWaitingRequestsAndTheirGuarantees changes classes and limits while
// requests wait.
func TestConfigureKeepsWaitingRequestsAndTheirGuarantees(t *testing.T) {
	classes := func(w time.Duration) map[string]Class { return map[string]Class{"notes": {Tier: 3, GuaranteedWait: w}} }
	s, now := New(Settings{Classes: classes(time.Minute)}), time.Unix(0, 0)
	enqueue := func(id uint64) []Refusal {
		return s.Enqueue(now, Request{ID: id, Lane: "pool", Tier: 3, Class: "notes", Workspace: "spa", Cost: 10})
	}
	for id := range uint64(10) {
		assert.Equal(t, len(enqueue(id)), 0)
	}
	s.Configure(Settings{MaxWaiting: 5, Classes: classes(time.Second)})
	assert.Equal(t, s.Waiting(), 10)
	refusals := enqueue(10)
	assert.Assert(t, len(refusals) == 1 && refusals[0].Kind == answerer.KindQueueFull)
	now = now.Add(2 * time.Second)
	assert.Equal(t, len(s.Expire(now)), 0)
	s.Configure(Settings{Classes: classes(time.Second)})
	assert.Equal(t, len(enqueue(11)), 0)
	now = now.Add(time.Second)
	s.Dispatch(now, rejectAll)
	assert.Equal(t, s.NextDue(), now)
	expired := s.Expire(now)
	assert.Assert(t, len(expired) == 1 && expired[0].ID == 11)
	for id, placed := range s.Dispatch(now, acceptAll) {
		assert.Equal(t, placed.ID, uint64(id))
	}
	assert.Equal(t, s.Waiting(), 0)
}
