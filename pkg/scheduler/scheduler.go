package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// maxRememberedLanes is the number of lanes above which the oldest lane without waiting
// or running requests is removed, together with its measured drain rate.
const maxRememberedLanes = 256

// never is the internal time of an event that will not happen.
const never = time.Duration(math.MaxInt64)

// Scheduler holds the waiting and the dispatched requests of all lanes.
type Scheduler struct {
	settings                   Settings
	throughputFractionPerClass float64
	startTime                  time.Time     // time of the first call
	now                        time.Duration // since startTime, as are all internal times
	lastSequence               uint64
	dispatchPass               uint64
	dispatchCount              uint64

	requests      map[uint64]*trackedRequest // waiting and dispatched requests by ID
	waitingCount  int
	inFlightCount int

	lanes       map[string]*lane
	lanesByAge  []*lane // all lanes, in order of creation
	activeLanes []*lane // lanes with waiting requests

	backlogs         [TierCount]map[string]*workspaceBacklog
	largestBacklogs  [TierCount]indexedHeap[*workspaceBacklog]
	waitingPerTier   [TierCount]int
	requestsByExpiry indexedHeap[*trackedRequest]
	pendingRefusals  []Refusal // expired in Dispatch, returned by the next Expire
}

// New returns a scheduler without requests.
func New(settings Settings) *Scheduler {
	s := &Scheduler{
		requests: map[uint64]*trackedRequest{},
		lanes:    map[string]*lane{},
	}
	for t := range s.backlogs {
		s.backlogs[t] = map[string]*workspaceBacklog{}
	}
	s.Configure(settings)

	return s
}

// Configure replaces the classes and limits. Waiting requests keep their positions and
// the wait that was guaranteed when they arrived. When the limit becomes smaller, requests
// above it are evicted only when others arrive.
func (s *Scheduler) Configure(settings Settings) {
	s.settings = settings.withDefaults()
	s.throughputFractionPerClass = s.settings.throughputFractionPerClass()
	for _, l := range s.lanesByAge {
		l.drainMeter.halfLife = s.settings.DrainRateHalfLife
		for t := range l.tiers {
			l.tiers[t].classQueues = slices.DeleteFunc(l.tiers[t].classQueues, func(c *classQueue) bool {
				return c.waiting.count == 0
			})
		}
	}
}

// Cancel removes a waiting request, because its caller disconnected, and reports whether
// it was waiting.
func (s *Scheduler) Cancel(now time.Time, id uint64) bool {
	s.advanceClock(now)
	r, ok := s.requests[id]
	if !ok || r.inFlight {
		return false
	}
	s.removeWaiting(r)
	delete(s.requests, id)

	return true
}

// Finish records that a dispatched request ended after it used the given tokens. It
// corrects the tokens charged to the workspace and updates the lane's drain rate.
func (s *Scheduler) Finish(now time.Time, id uint64, tokens int) {
	s.advanceClock(now)
	r, ok := s.requests[id]
	if !ok || !r.inFlight {
		return
	}
	delete(s.requests, id)
	s.removeInFlight(r)
	r.lane.drainMeter.recordCompletion(s.now, tokens)
	r.lane.tiers[r.request.Tier].correctCharge(r.request.Workspace, tokens-r.request.Cost)
}

// Requeue returns a dispatched request that was proved not run to its queues, ahead of
// all requests that arrived after it. It is never refused because the queue is full, so
// that Waiting may exceed the limit by the number of requests that were in flight. A
// request with an unknown ID is queued as a new arrival.
func (s *Scheduler) Requeue(now time.Time, request Request) {
	s.advanceClock(now)
	r, ok := s.requests[request.ID]
	if !ok {
		s.insertWaiting(s.newArrival(request).newTrackedRequest())

		return
	}
	if !r.inFlight {
		return
	}
	s.removeInFlight(r)
	t := &r.lane.tiers[r.request.Tier]
	t.correctCharge(r.request.Workspace, -r.request.Cost)
	r.protected = r.protected || r.sequence <= t.overtakenSequence
	s.insertWaiting(r)
}

// removeInFlight marks a dispatched request as no longer in flight.
func (s *Scheduler) removeInFlight(r *trackedRequest) {
	r.inFlight = false
	r.lane.inFlightCount--
	s.inFlightCount--
}

// Expire removes and returns the waiting requests whose deadline can no longer be met
// or whose guaranteed wait is over.
func (s *Scheduler) Expire(now time.Time) []Refusal {
	s.advanceClock(now)
	s.collectExpired()
	refusals := s.pendingRefusals
	s.pendingRefusals = nil

	return refusals
}

// collectExpired removes expired requests and keeps their refusals for Expire.
func (s *Scheduler) collectExpired() {
	for {
		r, ok := s.requestsByExpiry.first()
		if !ok || r.expiry > s.now {
			return
		}
		s.pendingRefusals = append(s.pendingRefusals, s.refuseWaiting(r, answerer.KindExpired))
	}
}

// NextDue returns the time at which Expire or Dispatch must be called next if no other
// event comes first. The zero time means never.
func (s *Scheduler) NextDue() time.Time {
	if len(s.pendingRefusals) > 0 {
		return s.startTime.Add(s.now)
	}
	nextDue := never
	if r, ok := s.requestsByExpiry.first(); ok {
		nextDue = r.expiry
	}
	for _, l := range s.activeLanes {
		nextDue = min(nextDue, s.nextGuaranteeDueTime(l))
	}
	if nextDue == never {
		return time.Time{}
	}

	return s.startTime.Add(nextDue)
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int {
	return s.waitingCount
}

// Demand returns the waiting requests and their tokens in a lane, by tier.
func (s *Scheduler) Demand(laneName string) [TierCount]Demand {
	var demand [TierCount]Demand
	if l, ok := s.lanes[laneName]; ok {
		for t := range l.tiers {
			demand[t] = l.tiers[t].demand
		}
	}

	return demand
}

// advanceClock moves the scheduler's time forward, never back.
func (s *Scheduler) advanceClock(now time.Time) {
	if s.startTime.IsZero() {
		s.startTime = now
	}
	s.now = max(s.now, now.Sub(s.startTime))
}
