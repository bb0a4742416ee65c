package scheduler

import "slices"

// insertWaiting adds a request to all queues and heaps of waiting requests, before those
// that arrived after it.
func (s *Scheduler) insertWaiting(r *trackedRequest) {
	s.requests[r.request.ID] = r
	s.waitingCount++
	s.waitingPerTier[r.request.Tier]++
	l := r.lane
	t := &l.tiers[r.request.Tier]
	r.classQueue.unservedSince = min(r.classQueue.unservedSince, s.now)
	r.workspaceQueue = t.getOrCreateWorkspaceQueue(r.request.Workspace)
	insertInArrivalOrder(&r.classQueue.waiting, r)
	insertInArrivalOrder(&r.workspaceQueue.waiting, r)
	l.addWaiting(r)
	t.updateFairOrder(r.workspaceQueue)
	s.addToBacklog(r)
	if l.activeIndex == noIndex {
		l.activeIndex = len(s.activeLanes)
		s.activeLanes = append(s.activeLanes, l)
	}
}

// insertInArrivalOrder adds a request to a list at its position by arrival.
func insertInArrivalOrder(l *requestList, r *trackedRequest) {
	if l.tail == nil || l.tail.sequence < r.sequence {
		l.pushBack(r)

		return
	}
	l.insertFromHead(r)
}

// addToBacklog adds a request to the backlog of its workspace. Only unprotected requests
// can be evicted or expire.
func (s *Scheduler) addToBacklog(r *trackedRequest) {
	tier := r.request.Tier
	b, ok := s.backlogs[tier][r.request.Workspace]
	if !ok {
		b = newWorkspaceBacklog(r.request.Workspace, tier)
		s.backlogs[tier][r.request.Workspace] = b
	}
	r.backlog = b
	b.waitingCount++
	if !r.protected {
		insertInArrivalOrder(&b.unprotected, r)
		insertInArrivalOrder(&r.lane.tiers[tier].unprotected, r)
		s.requestsByExpiry.push(r)
	}
	s.updateBacklog(b)
}

// updateBacklog moves a backlog to its position in the heap by size, and removes it when
// it is empty.
func (s *Scheduler) updateBacklog(b *workspaceBacklog) {
	heap := &s.largestBacklogs[b.tier]
	switch {
	case b.unprotected.count == 0:
		heap.remove(b)
	case b.heapIndex == noIndex:
		heap.push(b)
	default:
		heap.fix(b)
	}
	if b.waitingCount == 0 {
		delete(s.backlogs[b.tier], b.workspace)
	}
}

// removeWaiting removes a request from all queues and heaps of waiting requests.
func (s *Scheduler) removeWaiting(r *trackedRequest) {
	s.waitingCount--
	s.waitingPerTier[r.request.Tier]--
	r.backlog.waitingCount--
	s.removeFromEvictionAndExpiry(r)
	s.updateBacklog(r.backlog)
	l := r.lane
	l.removeWaiting(r)
	if l.waitingCount == 0 {
		s.deactivateLane(l)
	}
}

// removeFromEvictionAndExpiry removes an unprotected request from the lists and heaps
// that eviction and expiry use.
func (s *Scheduler) removeFromEvictionAndExpiry(r *trackedRequest) {
	if r.protected {
		return
	}
	s.detachIfLastUnprotected(r.backlog)
	r.backlog.unprotected.remove(r)
	r.lane.tiers[r.request.Tier].unprotected.remove(r)
	s.requestsByExpiry.remove(r)
}

// detachIfLastUnprotected removes a backlog from the heap when its last unprotected
// request is about to be removed, because the heap compares the newest unprotected
// requests of backlogs.
func (s *Scheduler) detachIfLastUnprotected(b *workspaceBacklog) {
	if b.unprotected.count == 1 {
		s.largestBacklogs[b.tier].remove(b)
	}
}

// protectTiersAbove protects the waiting requests of the tiers above one from which a
// request was just dispatched: none of them is evicted or expires from now on. Each
// request is moved at most once.
func (s *Scheduler) protectTiersAbove(l *lane, dispatchedTier int) {
	for tier := range dispatchedTier {
		t := &l.tiers[tier]
		t.overtakenSequence = s.lastSequence
		for t.unprotected.count > 0 {
			r := t.unprotected.head
			s.removeFromEvictionAndExpiry(r)
			r.protected = true
			s.updateBacklog(r.backlog)
		}
	}
}

// deactivateLane removes a lane without waiting requests from the active lanes.
func (s *Scheduler) deactivateLane(l *lane) {
	l.drainMeter.pause(s.now)
	last := len(s.activeLanes) - 1
	s.activeLanes[l.activeIndex] = s.activeLanes[last]
	s.activeLanes[l.activeIndex].activeIndex = l.activeIndex
	s.activeLanes[last] = nil
	s.activeLanes = s.activeLanes[:last]
	l.activeIndex = noIndex
}

// getOrCreateLane returns the lane with the name and creates it if there is none.
func (s *Scheduler) getOrCreateLane(name string) *lane {
	if l, ok := s.lanes[name]; ok {
		return l
	}
	if len(s.lanesByAge) >= maxRememberedLanes {
		s.forgetOldestIdleLane()
	}
	l := newLane(name, s.settings.DrainRateHalfLife, s.now)
	s.lanes[name] = l
	s.lanesByAge = append(s.lanesByAge, l)

	return l
}

// forgetOldestIdleLane removes the oldest lane without waiting or running requests. If
// there is none, the limits of requests also bound the number of lanes.
func (s *Scheduler) forgetOldestIdleLane() {
	index := slices.IndexFunc(s.lanesByAge, func(l *lane) bool {
		return l.waitingCount == 0 && l.inFlightCount == 0
	})
	if index >= 0 {
		delete(s.lanes, s.lanesByAge[index].name)
		s.lanesByAge = slices.Delete(s.lanesByAge, index, index+1)
	}
}
