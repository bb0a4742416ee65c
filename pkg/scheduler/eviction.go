package scheduler

import "github.com/oleanderpick/oleanderpick/pkg/answerer"

// evictForArrival evicts waiting requests until the limits allow one more request of the
// arriving request's tier. It returns false when the arriving request itself must be
// refused.
func (s *Scheduler) evictForArrival(a arrival) ([]Refusal, bool) {
	var refusals []Refusal
	for s.isFull(a.request.Tier) {
		victim := s.evictionVictim(a)
		if victim == nil {
			return refusals, false
		}
		refusals = append(refusals, s.refuseWaiting(victim.unprotected.tail, answerer.KindEvicted))
	}

	return refusals, true
}

// refuseWaiting removes a waiting request and returns its refusal.
func (s *Scheduler) refuseWaiting(r *trackedRequest, kind answerer.Kind) Refusal {
	t := &r.lane.tiers[r.request.Tier]
	wait := r.lane.predictWait(r.request, t.workspaceQueues[r.request.Workspace])
	s.removeWaiting(r)
	delete(s.requests, r.request.ID)

	return Refusal{ID: r.request.ID, Kind: kind, RetryAfter: wait}
}

// isFull reports whether one more request of the tier would exceed a limit of waiting
// requests.
func (s *Scheduler) isFull(tier int) bool {
	waiting := 0
	for t := TierCount - 1; t >= 0; t-- {
		waiting += s.waitingPerTier[t]
		if t <= tier && waiting >= s.settings.maxWaitingAtOrBelow(t) {
			return true
		}
	}

	return false
}

// evictionVictim returns the workspace whose newest request is evicted: the one with the
// most waiting requests in the lowest tier that has an evictable request. It returns nil
// when the arriving request itself must be refused.
func (s *Scheduler) evictionVictim(a arrival) *workspaceBacklog {
	for t := TierCount - 1; t >= a.request.Tier; t-- {
		b, ok := s.largestBacklogs[t].first()
		if !ok {
			continue
		}
		if t > a.request.Tier {
			return b
		}
		if b.waitingCount > a.workspaceWaitingCount()+1 {
			return b
		}
	}

	return nil
}
