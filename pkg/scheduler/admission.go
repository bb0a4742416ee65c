package scheduler

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

const (
	// maxPredictedWait caps predicted times, and so the time after which a refused caller
	// is asked to retry.
	maxPredictedWait = 5 * time.Minute
	// An arriving request is refused when its predicted wait exceeds its longest useful
	// wait times deadlineToleranceFactor plus deadlineToleranceMargin. A guaranteed wait
	// has no such tolerance: it is a promise, so that requests whose predicted wait is
	// close to it are refused.
	deadlineToleranceFactor = 2
	deadlineToleranceMargin = time.Second
)

// arrival is an arriving request with the lane and queues in which it would wait.
type arrival struct {
	scheduler      *Scheduler
	request        Request
	lane           *lane
	classQueue     *classQueue
	workspaceQueue *workspaceQueue   // nil when the workspace has none
	backlog        *workspaceBacklog // nil when the workspace has nothing waiting
	maxUsefulWait  time.Duration     // the longest wait after which a dispatch is still useful
}

// newArrival returns an arrival for the request, with its tier and cost corrected to valid
// values.
func (s *Scheduler) newArrival(request Request) arrival {
	request.Tier = min(max(request.Tier, 0), TierCount-1)
	request.Cost = max(request.Cost, 1)
	l := s.getOrCreateLane(request.Lane)
	t := &l.tiers[request.Tier]
	class, guaranteedWait := s.settings.queueAndGuaranteedWait(request.Class, request.Tier)
	a := arrival{
		scheduler: s, request: request, lane: l,
		classQueue:     t.getOrCreateClassQueue(class, guaranteedWait),
		workspaceQueue: t.workspaceQueues[request.Workspace],
		backlog:        s.backlogs[request.Tier][request.Workspace],
		maxUsefulWait:  guaranteedWait,
	}
	if !request.Deadline.IsZero() {
		a.maxUsefulWait = min(guaranteedWait, request.Deadline.Sub(s.startTime)-s.settings.MinAnswerDelay-s.now)
	}
	a.classQueue.unservedSince = min(a.classQueue.unservedSince, s.now)

	return a
}

// newTrackedRequest returns a trackedRequest for the arrival, with the next sequence
// number.
func (a arrival) newTrackedRequest() *trackedRequest {
	s := a.scheduler
	s.lastSequence++

	return &trackedRequest{
		request: a.request, sequence: s.lastSequence, lane: a.lane, classQueue: a.classQueue,
		guaranteeEnd: s.now + a.classQueue.guaranteedWait, expiry: s.now + a.maxUsefulWait, heapIndex: noIndex,
	}
}

// workspaceWaitingCount is the number of requests that the workspace has waiting in the
// tier.
func (a arrival) workspaceWaitingCount() int {
	if a.backlog == nil {
		return 0
	}

	return a.backlog.waitingCount
}

// predictedWait predicts how long the arriving request would wait.
func (a arrival) predictedWait() time.Duration {
	return a.lane.predictWait(a.request, a.workspaceQueue)
}

// isFirstOfStarvingClass reports whether the arriving request would be the only one of
// its class that waits, and the class was not served for nearly its guaranteed wait. Such
// a request is accepted whatever its predicted wait, because the guarantee serves it next.
func (a arrival) isFirstOfStarvingClass() bool {
	c := a.classQueue

	return c.waiting.count == 0 && a.scheduler.now >= a.lane.starvationTime(c, a.maxUsefulWait < c.guaranteedWait)
}

// Enqueue adds a request and returns the requests that are refused because of it: the
// arriving request itself, or waiting requests of the lowest tiers. An ID that already
// waits or runs is ignored.
func (s *Scheduler) Enqueue(now time.Time, request Request) []Refusal {
	s.advanceClock(now)
	if _, ok := s.requests[request.ID]; ok {
		return nil
	}
	a := s.newArrival(request)
	a.lane.drainMeter.advanceTo(s.now)
	if refusal, refused := s.refuseArrival(a); refused {
		return []Refusal{refusal}
	}
	refusals, ok := s.evictForArrival(a)
	if !ok {
		return append(refusals, Refusal{ID: request.ID, Kind: answerer.KindQueueFull, RetryAfter: a.predictedWait()})
	}
	s.insertWaiting(a.newTrackedRequest())
	a.lane.tiers[a.request.Tier].offeredLoad.add(s.now, a.request.Cost)

	return s.evictUnservable(a.lane, a.request.Tier, refusals)
}

// refuseArrival reports whether the arriving request is refused for the limit of its
// workspace or its predicted wait, and not because the queue is full. Because such
// requests are refused on arrival, the accepted ones can be served in time.
func (s *Scheduler) refuseArrival(a arrival) (Refusal, bool) {
	refusal := Refusal{ID: a.request.ID, Kind: answerer.KindHopeless}
	if a.workspaceWaitingCount() >= s.settings.MaxWaitingPerWorkspace {
		refusal.Kind = answerer.KindLimited
		refusal.RetryAfter = a.predictedWait()

		return refusal, true
	}
	if a.maxUsefulWait <= 0 {
		return refusal, true
	}
	rate, known := a.lane.drainMeter.tokensPerSecond()
	if !known || !a.lane.drainMeter.blocked || a.isFirstOfStarvingClass() {
		return refusal, false
	}
	maxWait := min(
		a.maxUsefulWait*deadlineToleranceFactor+deadlineToleranceMargin,
		time.Duration(float64(a.classQueue.guaranteedWait)*admissionWaitFraction),
	)
	if wait := a.predictedWait(); wait > maxWait {
		refusal.RetryAfter = wait - min(a.maxUsefulWait, maxWait)

		return refusal, true
	}
	refusal.RetryAfter = s.timeUntilAdmissible(a, rate)

	return refusal, refusal.RetryAfter > 0
}

// predictWait predicts the wait of a request from the tokens that are served before it:
// all of the higher tiers, and those of its own tier that fair queueing serves earlier.
// It is zero when no drain rate is known.
func (l *lane) predictWait(request Request, w *workspaceQueue) time.Duration {
	rate, known := l.drainMeter.tokensPerSecond()
	if !known {
		return 0
	}
	tokensAhead := 0
	for t := range request.Tier {
		tokensAhead += l.tiers[t].demand.Tokens
	}
	t := &l.tiers[request.Tier]
	workspaceTokens, workspaceCount := request.Cost, len(t.fairOrder.elements)
	if w == nil || w.heapIndex == noIndex {
		workspaceCount++
	}
	if w != nil {
		workspaceTokens += w.waitingTokens + int(max(0, w.virtualStart-t.virtualTime))
	}
	tokensAhead += min(t.demand.Tokens, workspaceTokens*workspaceCount-request.Cost)

	return durationAtRate(float64(tokensAhead), rate)
}
