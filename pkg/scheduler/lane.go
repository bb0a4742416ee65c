package scheduler

import "time"

// maxIdleWorkspaces is the most workspaces without waiting requests for which a tier of a
// lane remembers tokens used in advance; the one that is idle longest is dropped first.
const maxIdleWorkspaces = 256

// lane holds the waiting requests that compete for the same endpoints.
type lane struct {
	name          string
	tiers         [TierCount]laneTier
	waitingCount  int
	inFlightCount int
	drainMeter    drainMeter
	// activeIndex is the lane's index in Scheduler.activeLanes, or noIndex.
	activeIndex int
}

// laneTier holds the waiting requests of one tier of a lane.
type laneTier struct {
	workspaceQueues map[string]*workspaceQueue
	idleQueues      []*workspaceQueue
	fairOrder       indexedHeap[*workspaceQueue]
	classQueues     []*classQueue
	unprotected     requestList
	demand          Demand
	offeredLoad     offeredLoadMeter
	// virtualTime is the virtual start time of the request that was served last in fair
	// order.
	virtualTime int64
	// overtakenSequence is the sequence number of the newest arrival when a request of
	// a lower tier was last dispatched.
	overtakenSequence uint64
}

// classQueue holds the waiting requests of a class in a tier of a lane, and the state of
// its guaranteed wait.
type classQueue struct {
	class   string
	waiting requestList
	// guaranteedWait is the wait that was guaranteed to the last arrival.
	guaranteedWait time.Duration
	// unservedSince is when the class was served last or, if nothing was left to serve
	// then, when its next request arrived; never while there is no such request.
	unservedSince time.Duration
	waitingTokens int
	// pacedUntil is the time before which the class is not dispatched ahead of higher
	// tiers again, unless it is urgent.
	pacedUntil time.Duration
	// lastServedDispatch is the number of the dispatch that served the class last.
	lastServedDispatch uint64
	// blockedInPass is the number of the last dispatch pass in which the class was due
	// and no endpoint had capacity for its request.
	blockedInPass uint64
}

func newLane(name string, halfLife, now time.Duration) *lane {
	l := &lane{name: name, drainMeter: drainMeter{halfLife: halfLife, lastUpdate: now}, activeIndex: noIndex}
	for t := range l.tiers {
		l.tiers[t].workspaceQueues = map[string]*workspaceQueue{}
		l.tiers[t].unprotected.kind = tierUnprotectedList
	}

	return l
}

// nextByTier returns the next request by tier and fair order, without regard to
// guaranteed waits.
func (l *lane) nextByTier() *trackedRequest {
	for t := range l.tiers {
		if first, ok := l.tiers[t].fairOrder.first(); ok {
			return first.waiting.head
		}
	}

	return nil
}

// addWaiting adds a request to the counts of the lane, its class and its workspace.
func (l *lane) addWaiting(r *trackedRequest) {
	l.waitingCount++
	t := &l.tiers[r.request.Tier]
	t.demand.Requests++
	t.demand.Tokens += r.request.Cost
	r.classQueue.waitingTokens += r.request.Cost
	r.workspaceQueue.waitingTokens += r.request.Cost
}

// removeWaiting removes a request from the counts and queues of the lane.
func (l *lane) removeWaiting(r *trackedRequest) {
	l.waitingCount--
	t := &l.tiers[r.request.Tier]
	t.demand.Requests--
	t.demand.Tokens -= r.request.Cost
	r.classQueue.waitingTokens -= r.request.Cost
	r.classQueue.waiting.remove(r)
	t.removeFromWorkspaceQueue(r)
}

// getOrCreateWorkspaceQueue returns the queue of the workspace and creates it if there is
// none.
func (t *laneTier) getOrCreateWorkspaceQueue(workspace string) *workspaceQueue {
	w, ok := t.workspaceQueues[workspace]
	if !ok {
		w = newWorkspaceQueue(workspace)
		t.workspaceQueues[workspace] = w
		w.virtualStart = t.virtualTime
	}

	return w
}

// updateFairOrder updates the position of a queue that has just got its first waiting
// request or whose first request changed.
func (t *laneTier) updateFairOrder(w *workspaceQueue) {
	if w.heapIndex != noIndex {
		t.fairOrder.fix(w)

		return
	}
	w.virtualStart = max(w.virtualStart, t.virtualTime)
	w.idle = false
	t.fairOrder.push(w)
}

// removeFromWorkspaceQueue removes a request from the queue of its workspace.
func (t *laneTier) removeFromWorkspaceQueue(r *trackedRequest) {
	w := r.workspaceQueue
	w.waitingTokens -= r.request.Cost
	if w.waiting.count == 1 {
		t.fairOrder.remove(w)
		w.waiting.remove(r)
		t.rememberIdle(w)

		return
	}
	w.waiting.remove(r)
	t.fairOrder.fix(w)
}

// rememberIdle keeps the queue of an idle workspace while its virtual start is ahead of
// the virtual time, that is, while it has used tokens in advance, and while there are at
// most maxIdleWorkspaces of them.
func (t *laneTier) rememberIdle(w *workspaceQueue) {
	w.idle = true
	t.idleQueues = append(t.idleQueues, w)
	for len(t.idleQueues) > 0 {
		oldest := t.idleQueues[0]
		if len(t.idleQueues) <= maxIdleWorkspaces && oldest.idle && oldest.virtualStart > t.virtualTime {
			return
		}
		t.idleQueues[0] = nil
		t.idleQueues = t.idleQueues[1:]
		if oldest.idle && t.workspaceQueues[oldest.workspace] == oldest {
			delete(t.workspaceQueues, oldest.workspace)
		}
	}
}

// chargeTokens advances the virtual start of a workspace with waiting requests by the
// tokens.
func (t *laneTier) chargeTokens(w *workspaceQueue, tokens int) {
	w.virtualStart += int64(tokens)
	t.fairOrder.fix(w)
}

// correctCharge charges the difference between the tokens that a request used and its
// estimate; the difference may be negative. A workspace without waiting requests cannot
// save up unused tokens, so that only tokens used in advance are remembered for it.
func (t *laneTier) correctCharge(workspace string, tokens int) {
	w, ok := t.workspaceQueues[workspace]
	if ok && w.heapIndex != noIndex {
		t.chargeTokens(w, tokens)

		return
	}
	if !ok && tokens <= 0 {
		return
	}
	w = t.getOrCreateWorkspaceQueue(workspace)
	w.virtualStart = max(w.virtualStart, t.virtualTime) + int64(tokens)
	if !ok {
		t.rememberIdle(w)
	}
}

// getOrCreateClassQueue returns the queue of the class in the tier and creates it if there
// is none. Classes that are not configured share one, so that there are few queues.
func (t *laneTier) getOrCreateClassQueue(class string, guaranteedWait time.Duration) *classQueue {
	for _, c := range t.classQueues {
		if c.class == class {
			c.guaranteedWait = guaranteedWait

			return c
		}
	}
	c := &classQueue{
		class: class, guaranteedWait: guaranteedWait, unservedSince: never,
		waiting: requestList{kind: classQueueList},
	}
	t.classQueues = append(t.classQueues, c)

	return c
}
