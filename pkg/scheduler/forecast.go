package scheduler

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

const (
	// admissionWaitFraction is the fraction of a class's guaranteed wait in which its
	// backlog must be served for one more request to be accepted.
	admissionWaitFraction = 0.8
	// evictionWaitFraction is the fraction of a class's guaranteed wait in which its
	// backlog must be served for none of it to be evicted.
	evictionWaitFraction = 0.9
)

// serviceForecast predicts how the backlog of a class is served within its guaranteed
// wait.
type serviceForecast struct {
	startsAt        time.Duration
	tokensPerSecond float64 // tokens a second that serve the backlog
	backlogTokens   float64 // waiting tokens that are served at this rate
	maxTokens       float64 // tokens that can be served within the guaranteed wait
}

// forecastInTierOrder predicts the service of a class in the order of tiers, at the rate
// that the higher tiers leave of the lane's drain rate.
func (s *Scheduler) forecastInTierOrder(l *lane, c *classQueue, tier int, rate float64) serviceForecast {
	tokensAhead := 0
	for t := range tier {
		rate -= l.tiers[t].offeredLoad.tokensPerSecond(s.now)
		tokensAhead += l.tiers[t].demand.Tokens
	}
	rate = max(rate, 0)

	return serviceForecast{
		startsAt:        s.now,
		tokensPerSecond: rate,
		backlogTokens:   float64(l.tiers[tier].demand.Tokens),
		maxTokens:       max(0, rate*c.guaranteedWait.Seconds()-float64(tokensAhead)),
	}
}

// forecastByGuarantee predicts the service of a class by its share of guaranteed
// throughput alone. That service may begin as late as halfway through the guaranteed
// wait.
func (s *Scheduler) forecastByGuarantee(l *lane, c *classQueue, rate float64) serviceForecast {
	rate *= s.throughputFractionPerClass

	return serviceForecast{
		startsAt:        s.guaranteeDueTime(l, c, 1),
		tokensPerSecond: rate,
		backlogTokens:   float64(c.waitingTokens),
		maxTokens:       rate * c.guaranteedWait.Seconds() / 2,
	}
}

// timeUntilAdmissible returns the time until the class of the arriving request could
// accept it and still serve all its requests within the guaranteed wait; zero if it can
// now. Half of the tokens that the class can accept is open to every workspace, the rest
// only to workspaces that are within an equal share.
func (s *Scheduler) timeUntilAdmissible(a arrival, rate float64) time.Duration {
	if a.request.Tier == 0 || a.classQueue.waiting.count == 0 {
		return 0
	}
	workspaceTokens := float64(a.request.Cost)
	if a.workspaceQueue != nil {
		workspaceTokens += float64(a.workspaceQueue.waitingTokens)
	}
	workspaceCount := float64(len(a.lane.tiers[a.request.Tier].fairOrder.elements) + 1)
	shortestWait := maxPredictedWait
	forecasts := [...]serviceForecast{
		s.forecastByGuarantee(a.lane, a.classQueue, rate),
		s.forecastInTierOrder(a.lane, a.classQueue, a.request.Tier, rate),
	}
	for _, forecast := range forecasts {
		maxTokens := forecast.maxTokens * admissionWaitFraction
		if workspaceTokens > maxTokens/workspaceCount {
			maxTokens /= 2
		}
		excessTokens := forecast.backlogTokens + float64(a.request.Cost) - maxTokens
		if excessTokens <= 0 {
			return 0
		}
		shortestWait = min(
			shortestWait,
			max(0, forecast.startsAt-s.now)+durationAtRate(excessTokens, forecast.tokensPerSecond),
		)
	}

	return shortestWait
}

// evictUnservable evicts requests of the tiers below the given one that can no longer be
// served within their guaranteed wait because of a surge in higher tiers: lowest tier
// first, newest first. Protected requests and the last waiting request of a class stay.
func (s *Scheduler) evictUnservable(l *lane, tier int, refusals []Refusal) []Refusal {
	rate, known := l.drainMeter.tokensPerSecond()
	if !known || !l.drainMeter.blocked {
		return refusals
	}
	for t := TierCount - 1; t > tier; t-- {
		for _, c := range l.tiers[t].classQueues {
			for c.waiting.count > 1 && !c.waiting.tail.protected && s.exceedsForecasts(l, c, t, rate) {
				refusals = append(refusals, s.refuseWaiting(c.waiting.tail, answerer.KindEvicted))
			}
		}
	}

	return refusals
}

// exceedsForecasts reports whether, by both forecasts, a class has more waiting tokens
// than can be served in evictionWaitFraction of its guaranteed wait.
func (s *Scheduler) exceedsForecasts(l *lane, c *classQueue, tier int, rate float64) bool {
	if byGuarantee := s.forecastByGuarantee(l, c, rate); byGuarantee.backlogTokens <=
		byGuarantee.maxTokens*evictionWaitFraction {
		return false
	}
	inTierOrder := s.forecastInTierOrder(l, c, tier, rate)

	return inTierOrder.backlogTokens > inTierOrder.maxTokens*evictionWaitFraction
}
