package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

// loadedLane is a lane that completes a request of 100 tokens every 100 ms, under a
// constant load of chat requests.
type loadedLane struct {
	s          *scheduler.Scheduler
	now        time.Time
	lastID     uint64
	runningIDs []uint64
}

func newLoadedLane() *loadedLane {
	return &loadedLane{now: testStart, s: scheduler.New(scheduler.Settings{
		GuaranteedThroughputFraction: 0.1,
		Classes: map[string]scheduler.Class{
			"chat": {Tier: 0, GuaranteedWait: 10 * time.Second}, "notes": {Tier: 3, GuaranteedWait: 20 * time.Second},
		},
	})}
}

func (l *loadedLane) enqueue(class string, tier int) []scheduler.Refusal {
	l.lastID++

	return l.s.Enqueue(l.now, scheduler.Request{
		ID: l.lastID, Lane: "pool", Class: class, Tier: tier, Workspace: "spa", Cost: 100,
	})
}

// advance lets time pass in steps of 100 ms. In each step one running request ends and
// chatsPerStep chat requests arrive.
func (l *loadedLane) advance(duration time.Duration, chatsPerStep int) (refusals []scheduler.Refusal) {
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(100 * time.Millisecond) {
		if len(l.runningIDs) > 0 {
			l.s.Finish(l.now, l.runningIDs[0], 100)
			l.runningIDs = l.runningIDs[1:]
		}
		for range chatsPerStep {
			refusals = append(refusals, l.enqueue("chat", 0)...)
		}
		refusals = append(refusals, l.s.Expire(l.now)...)
		l.dispatch()
	}

	return refusals
}

func (l *loadedLane) dispatch() {
	l.s.Dispatch(l.now, func(r scheduler.Request) bool {
		if len(l.runningIDs) == 10 {
			return false
		}
		l.runningIDs = append(l.runningIDs, r.ID)

		return true
	})
}

// TestRequestIsAcceptedAfterRetryAfter fills a class under a constant load of higher
// tier requests. A request of it must be refused, be refused again after half of the
// returned RetryAfter, and be accepted after all of it.
func TestRequestIsAcceptedAfterRetryAfter(t *testing.T) {
	l := newLoadedLane()
	l.advance(20*time.Second, 2)
	for admitted := 0; ; admitted++ {
		refusals := l.enqueue("notes", 3)
		if len(refusals) == 0 {
			assert.Assert(t, admitted < 20, "accepted more than the guaranteed throughput can serve")

			continue
		}
		refusal := refusals[len(refusals)-1]
		assert.Equal(t, refusal.ID, l.lastID)
		assert.Equal(t, refusal.Kind, answerer.KindHopeless)
		assert.Assert(t, admitted > 0 && refusal.RetryAfter > 0 && refusal.RetryAfter < 20*time.Second)
		l.advance(refusal.RetryAfter/2, 2)
		assert.Assert(t, len(l.enqueue("notes", 3)) > 0, "accepted before RetryAfter")
		l.advance(refusal.RetryAfter/2+time.Second, 2)
		assert.Equal(t, len(l.enqueue("notes", 3)), 0)

		return
	}
}

// TestHigherTierSurgeEvictsUnservableLowerTierRequests accepts more requests of a class,
// while no higher tier waits, than its guaranteed throughput could serve. When a surge of
// chat requests follows, the excess must be evicted, the newest requests first.
func TestHigherTierSurgeEvictsUnservableLowerTierRequests(t *testing.T) {
	l := newLoadedLane()
	for range 40 {
		l.enqueue("notes", 3)
	}
	l.advance(2*time.Second, 0)
	for range 60 {
		l.enqueue("notes", 3)
	}
	newestID, waitingBefore := l.lastID, l.s.Demand("pool")[3].Requests
	assert.Assert(t, waitingBefore > 50, "only %d accepted", waitingBefore)
	evicted := map[uint64]bool{}
	for _, refusal := range l.advance(30*time.Second, 2) {
		if refusal.Kind == answerer.KindEvicted {
			evicted[refusal.ID] = true
		}
	}
	assert.Assert(t, evicted[newestID] && len(evicted) > waitingBefore/2,
		"%d of %d evicted", len(evicted), waitingBefore)
}

// TestNothingIsRefusedBeforeFirstCompletion fills a lane with requests that run for a
// long time, twice with an idle time between. Until the first of them ends there is no
// drain rate to predict a wait from, so that no arrival may be refused.
func TestNothingIsRefusedBeforeFirstCompletion(t *testing.T) {
	l := newLoadedLane()
	for range 2 {
		for range 10 {
			assert.Equal(t, len(l.enqueue("chat", 0)), 0)
		}
		l.runningIDs = nil
		l.dispatch()
		for range 60 {
			l.now = l.now.Add(100 * time.Millisecond)
			assert.Equal(t, len(l.enqueue("notes", 3)), 0, "refused at %v", l.now.Sub(testStart))
			l.dispatch()
		}
		l.advance(30*time.Second, 0)
		assert.Equal(t, l.s.Waiting(), 0)
	}
}
