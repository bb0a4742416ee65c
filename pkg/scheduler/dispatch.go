package scheduler

import "time"

const (
	// urgentWindowDivisor sets the length of the urgent window: in the last 1/16 of the
	// guaranteed wait, the oldest request of the class is served first, regardless of the
	// pace of the class.
	urgentWindowDivisor = 16
	// earlyExpiryWindowDivisor sets the window for a class whose requests expire before
	// its guaranteed wait ends: it is served in the last 1/4 of that wait.
	earlyExpiryWindowDivisor = 4
	// minUrgentCompletions is the number of completions of running requests that the
	// urgent window must leave time for, since each completion frees capacity.
	minUrgentCompletions = 8
)

// Dispatch calls tryPlace in service order and returns the requests that were placed.
// tryPlace returns false when no endpoint has capacity for the request. A request that
// cannot be placed blocks its lane, so that no request behind it takes the capacity that
// it waits for.
func (s *Scheduler) Dispatch(now time.Time, tryPlace func(Request) bool) []Request {
	s.advanceClock(now)
	s.collectExpired()
	var placed []Request
	for index := 0; index < len(s.activeLanes); {
		l := s.activeLanes[index]
		placed = s.dispatchFrom(l, tryPlace, placed)
		if l.activeIndex == index {
			index++
		}
	}

	return placed
}

// DispatchLane is like Dispatch but only for the named lane. It suffices when nothing has
// changed in other lanes.
func (s *Scheduler) DispatchLane(now time.Time, lane string, tryPlace func(Request) bool) []Request {
	s.advanceClock(now)
	s.collectExpired()
	l, ok := s.lanes[lane]
	if !ok {
		return nil
	}

	return s.dispatchFrom(l, tryPlace, nil)
}

// dispatchFrom places the requests of a lane until one of its highest waiting tier finds
// no capacity. Classes whose guaranteed wait is due go first, each until one of its
// requests finds no capacity.
func (s *Scheduler) dispatchFrom(l *lane, tryPlace func(Request) bool, placed []Request) []Request {
	s.dispatchPass++
	l.drainMeter.setBlocked(s.now, false)
	for l.waitingCount > 0 && s.inFlightCount < s.settings.MaxInFlight {
		highest := l.nextByTier()
		r, c := s.nextGuaranteedRequest(l)
		if c == nil {
			r = highest
		}
		switch {
		case tryPlace(r.request):
			if c != nil {
				c.pacedUntil = s.now + s.guaranteedServiceTime(l, r.request.Cost, c)
			}
			s.markDispatched(r)
			placed = append(placed, r.request)
		case r.request.Tier == highest.request.Tier:
			l.drainMeter.blocked = true

			return placed
		default:
			c.blockedInPass = s.dispatchPass
		}
	}

	return placed
}

// markDispatched moves a request from waiting to in flight and charges its workspace.
func (s *Scheduler) markDispatched(r *trackedRequest) {
	l := r.lane
	l.drainMeter.advanceTo(s.now)
	t := &l.tiers[r.request.Tier]
	if first, ok := t.fairOrder.first(); ok && first == r.workspaceQueue {
		t.virtualTime = max(t.virtualTime, r.workspaceQueue.virtualStart)
	}
	t.chargeTokens(r.workspaceQueue, r.request.Cost)
	s.dispatchCount++
	r.classQueue.lastServedDispatch = s.dispatchCount
	r.classQueue.unservedSince = s.now
	s.removeWaiting(r)
	if r.classQueue.waiting.count == 0 {
		r.classQueue.unservedSince = never
	}
	s.protectTiersAbove(l, r.request.Tier)
	l.inFlightCount++
	s.inFlightCount++
	r.inFlight = true
}

// nextGuaranteedRequest returns the request to dispatch next for a guaranteed wait that
// is due in the lane, and its class; nil if none is due. The class that was served
// longest ago goes first, so that no other class can take all capacity from it.
func (s *Scheduler) nextGuaranteedRequest(l *lane) (*trackedRequest, *classQueue) {
	l.drainMeter.advanceTo(s.now)
	var dueClass *classQueue
	higherWaiting, tier := 0, 0
	for t := range l.tiers {
		for _, c := range l.tiers[t].classQueues {
			if c.waiting.count == 0 || c.blockedInPass == s.dispatchPass || s.now < s.guaranteeDueTime(l, c, higherWaiting) {
				continue
			}
			if dueClass == nil || c.lastServedDispatch < dueClass.lastServedDispatch {
				dueClass, tier = c, t
			}
		}
		higherWaiting += l.tiers[t].demand.Requests
	}
	if dueClass == nil {
		return nil, nil
	}
	if first, ok := l.tiers[tier].fairOrder.first(); ok && s.now < l.urgentTime(dueClass) {
		if next := first.waiting.head; next.classQueue == dueClass {
			return next, dueClass
		}
	}

	return dueClass.waiting.head, dueClass
}

// urgentWindow is the length of the last part of the guaranteed wait, in which the class
// is urgent.
func (l *lane) urgentWindow(c *classQueue) time.Duration {
	return min(
		max(c.guaranteedWait/urgentWindowDivisor, minUrgentCompletions*l.drainMeter.meanCompletionInterval()),
		c.guaranteedWait/2,
	)
}

// urgentTime is the time from which the class must be served next. It is shortly before
// its oldest request has waited for the guaranteed wait or, if that is earlier, shortly
// before the class has been unserved for that long, even if its requests expire earlier.
func (l *lane) urgentTime(c *classQueue) time.Duration {
	oldest := c.waiting.head

	return min(oldest.guaranteeEnd-l.urgentWindow(c), l.starvationTime(c, oldest.expiry < oldest.guaranteeEnd))
}

// starvationTime is the time from which the class counts as unserved for too long. A
// class whose requests expire before the guaranteed wait may have none waiting when it
// ends, so that such a class is served earlier.
func (l *lane) starvationTime(c *classQueue, expiresEarly bool) time.Duration {
	window := l.urgentWindow(c)
	if expiresEarly {
		window = max(window, c.guaranteedWait/earlyExpiryWindowDivisor)
	}

	return c.unservedSince + c.guaranteedWait - window
}

// guaranteeDueTime is the time from which the class is dispatched ahead of higher tiers.
// While requests of the highest tier wait, it is the latest time from which all waiting
// requests of the class can still be served at the pace of its guaranteed throughput.
// Otherwise the lead is twice as long, so that the highest tier is seldom overtaken. If
// no higher tier waits, the time only prevents the fair order of the tier from delaying
// the class beyond its guaranteed wait.
func (s *Scheduler) guaranteeDueTime(l *lane, c *classQueue, higherWaiting int) time.Duration {
	latest := l.urgentTime(c)
	if higherWaiting == 0 {
		return latest
	}
	leadTime := s.guaranteedServiceTime(l, c.waitingTokens-c.waiting.head.request.Cost, c)
	if l.tiers[0].demand.Requests == 0 {
		leadTime *= 2
	}

	return min(max(latest-leadTime, c.pacedUntil), latest)
}

// guaranteedServiceTime is the time that the guaranteed throughput of the class alone
// needs to serve the tokens.
func (s *Scheduler) guaranteedServiceTime(l *lane, tokens int, c *classQueue) time.Duration {
	rate, known := l.drainMeter.tokensPerSecond()
	if !known {
		return c.guaranteedWait / 4 * time.Duration(tokens) / time.Duration(c.waitingTokens)
	}

	return durationAtRate(float64(tokens), rate*s.throughputFractionPerClass)
}

// nextGuaranteeDueTime is the next time at which a guaranteed wait of the lane falls due.
func (s *Scheduler) nextGuaranteeDueTime(l *lane) time.Duration {
	nextDue := never
	higherWaiting := 0
	for t := range l.tiers {
		for _, c := range l.tiers[t].classQueues {
			if c.waiting.count == 0 {
				continue
			}
			for _, dueTime := range [...]time.Duration{s.guaranteeDueTime(l, c, higherWaiting), l.urgentTime(c)} {
				if dueTime > s.now {
					nextDue = min(nextDue, dueTime)
				}
			}
		}
		higherWaiting += l.tiers[t].demand.Requests
	}

	return nextDue
}
