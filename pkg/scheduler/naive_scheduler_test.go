package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

// naiveScheduler makes the same decisions as the scheduler by scanning one list of all
// waiting requests. It does not measure drain rates: it is compared with a scheduler
// whose half-life is too short to measure any.
type naiveScheduler struct {
	settings      scheduler.Settings
	arrivalCount  int
	waiting       []*waitingRequest
	inFlight      []*waitingRequest
	virtualStarts map[string]int64 // virtual start by lane, tier and workspace
	virtualTimes  map[string]int64 // virtual time by lane and tier
	classQueues   []*naiveClassQueue
	dispatchCount int
}

// naiveClassQueue is the state of a class's guaranteed wait in a lane.
type naiveClassQueue struct {
	lane, name                string
	tier, lastServedDispatch  int
	guaranteedWait            time.Duration
	unservedSince, pacedUntil time.Time
	hasDemand, blocked        bool
}

func tierKey(r scheduler.Request) string { return fmt.Sprint(r.Lane, "|", r.Tier) }

func workspaceKey(r scheduler.Request) string { return tierKey(r) + "|" + r.Workspace }

func (n *naiveScheduler) countMatching(match func(w *waitingRequest) bool) (count, tokens int) {
	for _, w := range n.waiting {
		if match(w) {
			count++
			tokens += w.Cost
		}
	}

	return count, tokens
}

// firstMatching returns the matching request that sorts before all others.
func (n *naiveScheduler) firstMatching(
	match func(w *waitingRequest) bool, before func(a, b *waitingRequest) bool,
) *waitingRequest {
	var first *waitingRequest
	for _, w := range n.waiting {
		if match(w) && (first == nil || before(w, first)) {
			first = w
		}
	}

	return first
}

func arrivedBefore(a, b *waitingRequest) bool { return a.arrivalOrder < b.arrivalOrder }

func (n *naiveScheduler) servedBefore(a, b *waitingRequest) bool {
	quantum, otherQuantum := n.virtualStarts[workspaceKey(a.Request)]>>10, n.virtualStarts[workspaceKey(b.Request)]>>10

	return a.Tier < b.Tier ||
		a.Tier == b.Tier && (quantum < otherQuantum || quantum == otherQuantum && arrivedBefore(a, b))
}

func (n *naiveScheduler) getOrCreateClassQueue(r scheduler.Request) *naiveClassQueue {
	for _, c := range n.classQueues {
		if c.lane == r.Lane && c.name == r.Class {
			return c
		}
	}
	c := &naiveClassQueue{lane: r.Lane, name: r.Class, tier: r.Tier, guaranteedWait: testGuaranteedWait(r.Class)}
	n.classQueues = append(n.classQueues, c)
	slices.SortStableFunc(n.classQueues, func(a, b *naiveClassQueue) int { return a.tier - b.tier })

	return c
}

func (n *naiveScheduler) recordDemand(now time.Time, r scheduler.Request) {
	if c := n.getOrCreateClassQueue(r); !c.hasDemand {
		c.hasDemand, c.unservedSince = true, now
	}
}

func (n *naiveScheduler) insertWaiting(w *waitingRequest) {
	if waitingCount, _ := n.countMatching(
		func(o *waitingRequest) bool { return workspaceKey(o.Request) == workspaceKey(w.Request) },
	); waitingCount == 0 {
		n.virtualStarts[workspaceKey(w.Request)] = max(
			n.virtualStarts[workspaceKey(w.Request)], n.virtualTimes[tierKey(w.Request)])
	}
	n.waiting = append(n.waiting, w)
}

func (n *naiveScheduler) removeWaiting(w *waitingRequest) {
	n.waiting = slices.DeleteFunc(n.waiting, func(o *waitingRequest) bool { return o == w })
}

func (n *naiveScheduler) enqueue(now time.Time, r scheduler.Request) []scheduler.Refusal {
	n.recordDemand(now, r)
	workspaceWaitingCount := func(r scheduler.Request) int {
		waitingCount, _ := n.countMatching(
			func(o *waitingRequest) bool { return o.Tier == r.Tier && o.Workspace == r.Workspace },
		)

		return waitingCount
	}
	if workspaceWaitingCount(r) >= n.settings.MaxWaitingPerWorkspace {
		return []scheduler.Refusal{{ID: r.ID, Kind: answerer.KindLimited}}
	}
	var refusals []scheduler.Refusal
	for n.isFull(r.Tier) {
		victim := n.firstMatching(func(w *waitingRequest) bool { return !w.overtaken }, func(a, b *waitingRequest) bool {
			if a.Tier != b.Tier {
				return a.Tier > b.Tier
			}
			count, otherCount := workspaceWaitingCount(a.Request), workspaceWaitingCount(b.Request)

			return count > otherCount || count == otherCount && arrivedBefore(b, a)
		})
		if victim == nil || victim.Tier < r.Tier ||
			victim.Tier == r.Tier && workspaceWaitingCount(victim.Request) <= workspaceWaitingCount(r)+1 {
			return append(refusals, scheduler.Refusal{ID: r.ID, Kind: answerer.KindQueueFull})
		}
		n.removeWaiting(victim)
		refusals = append(refusals, scheduler.Refusal{ID: victim.ID, Kind: answerer.KindEvicted})
	}
	n.arrivalCount++
	n.insertWaiting(&waitingRequest{Request: r, arrivedAt: now, arrivalOrder: n.arrivalCount})

	return refusals
}

// isFull reports whether one more request of the tier would exceed a limit of waiting
// requests.
func (n *naiveScheduler) isFull(tier int) bool {
	for t := 0; t <= tier; t++ {
		waitingCount, _ := n.countMatching(func(w *waitingRequest) bool { return w.Tier >= t })
		if waitingCount >= n.settings.MaxWaiting-n.settings.MaxWaiting*t/10 {
			return true
		}
	}

	return false
}

// nextGuaranteedRequest returns the class whose guaranteed wait is due and the request to
// dispatch for it.
func (n *naiveScheduler) nextGuaranteedRequest(now time.Time, lane string) (*naiveClassQueue, *waitingRequest) {
	var dueClass *naiveClassQueue
	var next *waitingRequest
	for _, c := range n.classQueues {
		isMember := func(w *waitingRequest) bool { return w.Lane == lane && w.Class == c.name }
		oldest := n.firstMatching(isMember, arrivedBefore)
		if c.lane != lane || oldest == nil || c.blocked ||
			dueClass != nil && dueClass.lastServedDispatch <= c.lastServedDispatch {
			continue
		}
		urgentTime, starvationTime := oldest.arrivedAt.Add(c.guaranteedWait-c.guaranteedWait/16),
			c.unservedSince.Add(c.guaranteedWait-c.guaranteedWait/16)
		if oldest.expiry().Before(oldest.arrivedAt.Add(c.guaranteedWait)) {
			starvationTime = c.unservedSince.Add(c.guaranteedWait - c.guaranteedWait/4)
		}
		if starvationTime.Before(urgentTime) {
			urgentTime = starvationTime
		}
		dueTime := urgentTime
		higherWaiting, _ := n.countMatching(func(w *waitingRequest) bool { return w.Lane == lane && w.Tier < c.tier })
		if higherWaiting > 0 {
			topWaiting, _ := n.countMatching(func(w *waitingRequest) bool { return w.Lane == lane && w.Tier == 0 })
			_, waitingTokens := n.countMatching(isMember)
			leadTime := c.guaranteedWait / 4 * time.Duration(waitingTokens-oldest.Cost) / time.Duration(waitingTokens)
			if topWaiting == 0 {
				leadTime *= 2
			}
			dueTime = urgentTime.Add(-leadTime)
			if dueTime.Before(c.pacedUntil) {
				dueTime = c.pacedUntil
			}
		}
		if now.Before(dueTime) && now.Before(urgentTime) {
			continue
		}
		dueClass, next = c, oldest
		nextByTier := n.firstMatching(
			func(w *waitingRequest) bool { return w.Lane == lane && w.Tier == c.tier }, n.servedBefore,
		)
		if now.Before(urgentTime) && nextByTier.Class == c.name {
			next = nextByTier
		}
	}

	return dueClass, next
}

func (n *naiveScheduler) dispatch(now time.Time, lane string, tryPlace func(scheduler.Request) bool) {
	for _, c := range n.classQueues {
		c.blocked = false
	}
	for {
		highest := n.firstMatching(func(w *waitingRequest) bool { return w.Lane == lane }, n.servedBefore)
		if highest == nil {
			return
		}
		dueClass, w := n.nextGuaranteedRequest(now, lane)
		if dueClass == nil {
			w = highest
		}
		switch {
		case tryPlace(w.Request):
			n.markDispatched(now, dueClass, w)
		case w.Tier == highest.Tier:
			return
		default:
			dueClass.blocked = true
		}
	}
}

func (n *naiveScheduler) markDispatched(now time.Time, dueClass *naiveClassQueue, w *waitingRequest) {
	c := n.getOrCreateClassQueue(w.Request)
	if dueClass != nil {
		_, waitingTokens := n.countMatching(func(o *waitingRequest) bool { return o.Lane == w.Lane && o.Class == w.Class })
		c.pacedUntil = now.Add(c.guaranteedWait / 4 * time.Duration(w.Cost) / time.Duration(waitingTokens))
	}
	first := n.firstMatching(
		func(o *waitingRequest) bool { return tierKey(o.Request) == tierKey(w.Request) }, n.servedBefore,
	)
	if first.Workspace == w.Workspace {
		n.virtualTimes[tierKey(w.Request)] = max(
			n.virtualTimes[tierKey(w.Request)], n.virtualStarts[workspaceKey(w.Request)])
	}
	n.virtualStarts[workspaceKey(w.Request)] += int64(w.Cost)
	n.removeWaiting(w)
	n.dispatchCount++
	c.lastServedDispatch, c.unservedSince = n.dispatchCount, now
	c.hasDemand = n.firstMatching(
		func(o *waitingRequest) bool { return o.Lane == w.Lane && o.Class == w.Class }, arrivedBefore,
	) != nil
	n.inFlight = append(n.inFlight, w)
	for _, o := range slices.Concat(n.waiting, n.inFlight) {
		o.overtaken = o.overtaken || o.Lane == w.Lane && o.Tier < w.Tier
	}
}

// finish removes a request from those in flight and corrects the tokens charged to its
// workspace.
func (n *naiveScheduler) finish(w *waitingRequest, correction int) {
	n.inFlight = slices.DeleteFunc(n.inFlight, func(o *waitingRequest) bool { return o == w })
	key := workspaceKey(w.Request)
	if waitingCount, _ := n.countMatching(
		func(o *waitingRequest) bool { return workspaceKey(o.Request) == key },
	); waitingCount == 0 {
		n.virtualStarts[key] = max(n.virtualStarts[key], n.virtualTimes[tierKey(w.Request)])
	}
	n.virtualStarts[key] += int64(correction)
}
