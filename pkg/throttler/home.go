package throttler

import (
	"math"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// Reply is a home's reply to a request for a permit.
type Reply struct {
	// Permits is the number of requests that may be sent; 0 if none is lent.
	Permits int
	// Wait is the time after which a permit for the same tier may be requested again.
	Wait time.Duration
	// Reason is why none is lent; empty if Permits is positive.
	Reason Reason
}

// Reason is why a home lends no permit.
type Reason string

// The reasons for lending no permit.
const (
	// UsedUp means that the limit is reached.
	UsedUp Reason = "used-up"
	// HigherTiers means that the permits left are kept for higher tiers.
	HigherTiers Reason = "higher-tiers"
	// NotHome means that the instance is not the endpoint's home.
	NotHome Reason = "not-home"
	// NewHome means that the instance has just become the endpoint's home.
	NewHome Reason = "new-home"
	// Unregistered means that the instance has not read the endpoint's registration.
	Unregistered Reason = "unregistered"
)

const (
	// takeoverDelay is how long an instance that has become a home lends nothing, in
	// which the others notice and the permits of the previous home expire.
	takeoverDelay = 2 * time.Second
	// burstTime sets the permits that a home saves up for requests at the same time:
	// those of this time, but at least Settings.MinBurst.
	burstTime = 250 * time.Millisecond
	// demandTimeConstant is the time constant with which demand is forgotten.
	demandTimeConstant = time.Second
	// highDemandRatio is the demand, as a multiple of the limit, above which denied
	// instances wait longer, so that their messages do not grow with the fleet.
	highDemandRatio = 4
	// maxPermits is the largest number of permits lent at once.
	maxPermits = 16
	// lowestWait and longestWait bound the wait of a denied instance.
	lowestWait  = 20 * time.Millisecond
	longestWait = 2 * time.Second
)

// canLend reports whether this instance is the home and has a permit left.
func (t *Throttler) canLend(now time.Time, r *record) bool {
	if r.home != t.instanceName || now.Sub(r.homeSince) < takeoverDelay {
		return false
	}
	r.refill(now)

	return r.tokens >= 1
}

// Lend lends permits for requests of a tier to an endpoint, as far as the limit allows.
// statement is what the borrower knows of the limit. It counts only if no limit is in force
// here, because its age is not exact.
func (t *Throttler) Lend(now time.Time, statement Statement, tier int) Reply {
	r := t.records[statement.Endpoint]
	if r == nil || !r.limit.IsStated {
		t.ReceiveStatements(now, []Statement{statement})
		r = t.records[statement.Endpoint]
	}
	switch {
	case r == nil || !r.limit.IsStated: // The limit has ended.
		return Reply{Permits: 1}
	case r.home != t.instanceName:
		return Reply{Wait: unansweredWait, Reason: NotHome}
	case now.Sub(r.homeSince) < takeoverDelay:
		return Reply{Wait: takeoverDelay - now.Sub(r.homeSince), Reason: NewHome}
	}
	r.refill(now)
	tier = clampTier(tier)
	r.demand[tier]++
	// Lower tiers leave the saved permits to higher ones, as far as these demand them.
	needed := min(r.burst(), 1+(r.burst()-1)*r.demandRatio(tier))
	if r.tokens < needed {
		reason := UsedUp
		if r.tokens >= 1 {
			reason = HigherTiers
		}
		wait := (needed - r.tokens) / r.rate() * max(1, r.demandRatio(placer.TierCount)/highDemandRatio)

		return Reply{Wait: time.Duration(min(max(wait, lowestWait.Seconds()), longestWait.Seconds()) * float64(time.Second)), Reason: reason}
	}
	permits := 1 + min(maxPermits-1, int((r.tokens-needed)/float64(2*len(t.members))))
	r.tokens -= float64(permits)

	return Reply{Permits: permits}
}

// rate returns the permits that a home lends in a second.
func (r *record) rate() float64 {
	return max(r.limit.Rate, lowestRate)
}

// demandRatio returns the demand of all tiers above the given one, as a multiple of the
// limit.
func (r *record) demandRatio(tier int) float64 {
	demand := 0.0
	for i := range tier {
		demand += r.demand[i]
	}

	return demand / (r.rate() * demandTimeConstant.Seconds())
}

// burst returns the most permits that a home saves up.
func (r *record) burst() float64 {
	return max(r.minBurst, r.rate()*burstTime.Seconds())
}

// refill adds the permits for the time since the last refill and decays the demand.
func (r *record) refill(now time.Time) {
	elapsed := now.Sub(r.refilledAt)
	if elapsed <= 0 {
		return
	}
	r.refilledAt = now
	r.tokens = min(r.burst(), r.tokens+r.rate()*elapsed.Seconds())
	factor := math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	for i := range placer.TierCount {
		r.demand[i] *= factor
	}
}
