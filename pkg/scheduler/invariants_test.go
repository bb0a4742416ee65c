package scheduler_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.steps", "150")
}

// waitingRequest is a waiting request as the tests track it.
type waitingRequest struct {
	scheduler.Request
	arrivedAt    time.Time
	arrivalOrder int
	// overtaken is set once a request of a lower tier of the lane was dispatched while
	// this one waited.
	overtaken bool
}

// expiry is the time at which a request that was not overtaken expires.
func (w *waitingRequest) expiry() time.Time {
	guaranteeEnd := w.arrivedAt.Add(testGuaranteedWait(w.Class))
	if !w.Deadline.IsZero() && w.Deadline.Before(guaranteeEnd) {
		return w.Deadline
	}

	return guaranteeEnd
}

// schedulerChecker drives a scheduler with random events and checks its invariants
// through the exported methods. If compareNaive is set, it also compares each decision
// with that of the naive scheduler.
type schedulerChecker struct {
	*naiveScheduler
	t             *rapid.T
	s             *scheduler.Scheduler
	compareNaive  bool
	now           time.Time
	lastID        uint64
	expired       []*waitingRequest
	requeuedCount int
}

var (
	testLanes   = []string{"pool/a", "pool/b"}
	testClasses = map[string]scheduler.Class{
		"chat": {Tier: 0, GuaranteedWait: 10 * time.Second}, "appraisal": {Tier: 1, GuaranteedWait: 10 * time.Second},
		"reply": {Tier: 1, GuaranteedWait: 20 * time.Second}, "notes": {Tier: 3, GuaranteedWait: 15 * time.Second},
		"batch": {Tier: 4, GuaranteedWait: 30 * time.Second}, "other": {Tier: 2, GuaranteedWait: 30 * time.Second},
	}
	testClassNames = []string{"chat", "appraisal", "reply", "notes", "batch", "other"}
)

func testGuaranteedWait(class string) time.Duration { return testClasses[class].GuaranteedWait }

func (c *schedulerChecker) drawInt(low, high int, label string) int {
	return rapid.IntRange(low, high).Draw(c.t, label)
}

func (c *schedulerChecker) enqueue() {
	c.lastID++
	class := rapid.SampledFrom(testClassNames).Draw(c.t, "class")
	r := scheduler.Request{
		ID: c.lastID, Class: class, Tier: testClasses[class].Tier,
		Lane:      rapid.SampledFrom(testLanes).Draw(c.t, "lane"),
		Workspace: rapid.SampledFrom([]string{"u", "u", "u", "v", "w"}).Draw(c.t, "workspace"),
		Cost:      c.drawInt(1, 2000, "cost"),
	}
	if deadlineSeconds := c.drawInt(0, 20, "deadline"); deadlineSeconds > 0 {
		r.Deadline = c.now.Add(time.Duration(deadlineSeconds) * time.Second)
	}
	c.collectExpired()
	refusals := c.s.Enqueue(c.now, r)
	if c.compareNaive {
		assert.DeepEqual(c.t, refusals, c.naiveScheduler.enqueue(c.now, r))

		return
	}
	for _, refusal := range refusals {
		if refusal.ID != r.ID {
			c.checkEvicted(refusal, r)
		} else if refusal.Kind == answerer.KindQueueFull {
			isLowerTier := func(w *waitingRequest) bool { return !w.overtaken && w.Tier > r.Tier }
			assert.Assert(c.t, c.firstMatching(isLowerTier, arrivedBefore) == nil, "refused while a lower tier waits")
		}
	}
	c.arrivalCount++
	c.insertWaiting(&waitingRequest{Request: r, arrivedAt: c.now, arrivalOrder: c.arrivalCount})
	c.waiting = slices.DeleteFunc(c.waiting, func(w *waitingRequest) bool {
		return slices.ContainsFunc(refusals, func(refusal scheduler.Refusal) bool { return refusal.ID == w.ID })
	})
}

// checkEvicted checks that requests are evicted from the lowest tier first and newest
// first.
func (c *schedulerChecker) checkEvicted(refusal scheduler.Refusal, arrivingRequest scheduler.Request) {
	victim := c.firstMatching(func(w *waitingRequest) bool { return w.ID == refusal.ID }, arrivedBefore)
	assert.Assert(c.t, victim != nil && refusal.Kind == answerer.KindEvicted)
	assert.Assert(c.t, !victim.overtaken, "evicted after a lower tier was dispatched")
	assert.Assert(c.t, victim.Tier >= arrivingRequest.Tier)
	full := c.isFull(arrivingRequest.Tier)
	for _, w := range c.waiting {
		if w.overtaken || w == victim {
			continue
		}
		assert.Assert(c.t, !full || w.Tier <= victim.Tier, "not the lowest tier")
		sameGroup := full && w.Tier == victim.Tier && w.Workspace == victim.Workspace ||
			!full && w.Lane == victim.Lane && w.Class == victim.Class
		assert.Assert(c.t, !sameGroup || w.arrivalOrder < victim.arrivalOrder, "not the newest")
	}
	c.removeWaiting(victim)
}

// placeCall records a call of tryPlace and its result.
type placeCall struct {
	id       uint64
	accepted bool
}

// dispatch accepts each request with a probability of acceptTenths tenths. It checks that
// no more requests of a lane are tried once one of its highest waiting tier was rejected.
func (c *schedulerChecker) dispatch(acceptTenths int) {
	c.now = c.now.Add(time.Duration(c.drawInt(0, 2000, "ms")) * time.Millisecond)
	c.collectExpired()
	calls := map[string][]placeCall{}
	blockedLanes, accepted := map[string]bool{}, map[uint64]bool{}
	placed := c.s.Dispatch(c.now, func(r scheduler.Request) bool {
		assert.Assert(c.t, !blockedLanes[r.Lane], "a higher tier is overtaken")
		accepted[r.ID] = c.drawInt(1, 10, "room") <= acceptTenths
		calls[r.Lane] = append(calls[r.Lane], placeCall{r.ID, accepted[r.ID]})
		isHigherWaiting := func(w *waitingRequest) bool { return w.Lane == r.Lane && w.Tier < r.Tier && !accepted[w.ID] }
		blockedLanes[r.Lane] = !accepted[r.ID] && c.firstMatching(isHigherWaiting, arrivedBefore) == nil

		return accepted[r.ID]
	})
	if c.compareNaive {
		c.replayOnNaive(calls)
	}
	for _, r := range placed {
		if w := c.firstMatching(func(w *waitingRequest) bool { return w.ID == r.ID }, arrivedBefore); !c.compareNaive {
			assert.Assert(c.t, w != nil, "dispatched twice or after it ended")
			c.markDispatched(c.now, nil, w)
		}
	}
	if acceptTenths == 10 {
		assert.Equal(c.t, c.s.Waiting(), 0)
	}
}

// replayOnNaive gives the naive scheduler the same results of tryPlace and checks that it
// tries the same requests.
func (c *schedulerChecker) replayOnNaive(calls map[string][]placeCall) {
	for _, lane := range testLanes {
		remaining := calls[lane]
		c.naiveScheduler.dispatch(c.now, lane, func(r scheduler.Request) bool {
			assert.Assert(c.t, len(remaining) > 0 && remaining[0].id == r.ID,
				"%s: %v, the naive scheduler tries %d", lane, remaining, r.ID)
			accepted := remaining[0].accepted
			remaining = remaining[1:]

			return accepted
		})
		assert.Equal(c.t, len(remaining), 0)
	}
}

// collectExpired moves the requests whose wait is over from waiting to expired.
func (c *schedulerChecker) collectExpired() {
	c.waiting = slices.DeleteFunc(c.waiting, func(w *waitingRequest) bool {
		isExpired := !w.overtaken && !c.now.Before(w.expiry())
		if isExpired {
			c.expired = append(c.expired, w)
		}

		return isExpired
	})
}

// checkExpired checks that exactly those requests expire whose wait is over and that were
// not overtaken by a lower tier.
func (c *schedulerChecker) checkExpired() {
	c.collectExpired()
	refusals := c.s.Expire(c.now)
	assert.Equal(c.t, len(refusals), len(c.expired))
	for _, refusal := range refusals {
		assert.Assert(c.t, refusal.Kind == answerer.KindExpired)
		assert.Assert(c.t, slices.ContainsFunc(c.expired, func(w *waitingRequest) bool { return w.ID == refusal.ID }))
	}
	c.expired = nil
}

// withRandomInFlight applies a function to a random request in flight, if there is one.
func (c *schedulerChecker) withRandomInFlight(apply func(w *waitingRequest)) {
	if len(c.inFlight) > 0 {
		apply(c.inFlight[c.drawInt(0, len(c.inFlight)-1, "which")])
	}
}

func (c *schedulerChecker) finish(w *waitingRequest) {
	tokens := c.drawInt(0, 4000, "tokens")
	c.s.Finish(c.now, w.ID, tokens)
	c.naiveScheduler.finish(w, tokens-w.Cost)
}

func (c *schedulerChecker) requeue(w *waitingRequest) {
	c.s.Requeue(c.now, w.Request)
	c.requeuedCount++
	c.recordDemand(c.now, w.Request)
	c.naiveScheduler.finish(w, -w.Cost)
	c.insertWaiting(w)
}

func (c *schedulerChecker) cancel() {
	id := rapid.Uint64Range(1, c.lastID+1).Draw(c.t, "id")
	c.collectExpired()
	w := c.firstMatching(func(w *waitingRequest) bool { return w.ID == id }, arrivedBefore)
	alreadyExpired := slices.ContainsFunc(c.expired, func(w *waitingRequest) bool { return w.ID == id })
	if !alreadyExpired {
		assert.Equal(c.t, c.s.Cancel(c.now, id), w != nil)
		c.removeWaiting(w)
	}
}

func (c *schedulerChecker) checkInvariants(t *rapid.T) {
	c.t = t
	c.checkExpired()
	assert.Equal(c.t, c.s.Waiting(), len(c.waiting))
	assert.Assert(c.t, c.s.Waiting() <= c.settings.MaxWaiting+c.requeuedCount)
	for _, lane := range testLanes {
		var demand [scheduler.TierCount]scheduler.Demand
		for tier := range demand {
			demand[tier].Requests, demand[tier].Tokens = c.countMatching(func(w *waitingRequest) bool {
				return w.Lane == lane && w.Tier == tier
			})
		}
		assert.Equal(c.t, c.s.Demand(lane), demand)
	}
	if next := c.s.NextDue(); !next.IsZero() {
		assert.Assert(c.t, !next.Before(c.now), "due in the past")
	}
}

// events returns the random events: arrivals and floods of them, dispatches with and
// without free capacity, requests that end or are requeued, cancelled requests, and
// passing time.
func (c *schedulerChecker) events() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"enqueue": func(*rapid.T) { c.enqueue() },
		"flood": func(*rapid.T) {
			for range c.drawInt(5, 30, "flood") {
				c.enqueue()
			}
		},
		"dispatch": func(*rapid.T) { c.dispatch(c.drawInt(2, 10, "share")) },
		"vanished": func(*rapid.T) { c.dispatch(0) },
		"settle":   func(*rapid.T) { c.withRandomInFlight(c.finish) },
		"requeue":  func(*rapid.T) { c.withRandomInFlight(c.requeue) },
		"cancel":   func(*rapid.T) { c.cancel() },
		"pass":     func(*rapid.T) { c.now = c.now.Add(time.Duration(c.drawInt(1, 8000, "ms")) * time.Millisecond) },
		"":         c.checkInvariants,
	}
}

func checkRandomEvents(t *testing.T, compareNaive bool) {
	rapid.Check(t, func(t *rapid.T) {
		settings := scheduler.Settings{Classes: testClasses}
		settings.MaxWaiting = rapid.IntRange(5, 60).Draw(t, "limit")
		settings.MaxWaitingPerWorkspace = rapid.IntRange(3, 40).Draw(t, "perWorkspace")
		if compareNaive {
			settings.DrainRateHalfLife = time.Nanosecond
		}
		c := &schedulerChecker{
			t: t, s: scheduler.New(settings), compareNaive: compareNaive, now: testStart,
			naiveScheduler: &naiveScheduler{
				settings: settings, virtualStarts: map[string]int64{}, virtualTimes: map[string]int64{},
			},
		}
		t.Repeat(c.events())
	})
}

func TestInvariantsHoldUnderRandomEvents(t *testing.T) { checkRandomEvents(t, false) }

func TestDecisionsMatchNaiveScheduler(t *testing.T) { checkRandomEvents(t, true) }

func Example() {
	s := scheduler.New(scheduler.Settings{Classes: map[string]scheduler.Class{
		"chat": {Tier: 0, GuaranteedWait: 5 * time.Second}, "notes": {Tier: 3, GuaranteedWait: time.Minute},
	}})
	now := time.Unix(0, 0)
	s.Enqueue(now, scheduler.Request{ID: 1, Lane: "pool", Tier: 3, Class: "notes", Workspace: "spa", Cost: 900})
	s.Enqueue(now, scheduler.Request{ID: 2, Lane: "pool", Tier: 0, Class: "chat", Workspace: "spa", Cost: 80})
	freeSlots := 1
	placed := s.Dispatch(now, func(scheduler.Request) bool {
		freeSlots--

		return freeSlots >= 0
	})
	fmt.Println(placed[0].Class, s.Waiting(), s.NextDue().Sub(now))
	// Output: chat 1 56.25s
}
