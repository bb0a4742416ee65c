package sharer

import (
	"math"
	"time"
)

// laneID identifies the requests that compete: those of a service and a tier.
type laneID struct {
	service string
	tier    int
}

// lane is the state of a service and a tier.
type lane struct {
	id            laneID
	fullness      float64 // queue at the best endpoints as a fraction of the target, smoothed
	fullnessAt    time.Time
	shortAt       time.Time // last sign of a shortage
	shortSince    time.Time // first sign of it
	refusedAt     time.Time
	sent, refused rate // all workspaces' work at this instance
	errors        estimateError
	accounts      map[string]*account // by workspace
	sweptAt       time.Time
	// lastCapacity is what all tiers of the service together could use when claims were last heard.
	lastCapacity float64
	cached       totals
	cachedAt     time.Time
}

// account is what a workspace wanted and got at this instance.
type account struct {
	wanted, served rate
	// debt is the work, in tokens, that exceeds the workspace's share at this instance and is paid off
	// by it over time. Work that was told to come back is a part of it.
	debt   float64
	paidAt time.Time
	usedAt time.Time
	// promised is the work that was told to come back and has not done so here, forgotten over time. Callers
	// may return at any instance, so on average as much comes from other instances' promises.
	promised   float64
	promisedAt time.Time
}

// lane returns a lane, which it creates if there is none.
func (s *Sharer) lane(service string, tier int) *lane {
	id := laneID{service, tier}
	l := s.lanes[id]
	if l == nil {
		l = &lane{id: id, accounts: map[string]*account{}}
		s.lanes[id] = l
	}

	return l
}

// account returns a workspace's account and removes those that are no longer used.
func (l *lane) account(now time.Time, workspace string) *account {
	if now.Sub(l.sweptAt) > idleTime {
		l.sweptAt = now
		for name, a := range l.accounts {
			if now.Sub(a.usedAt) > idleTime {
				delete(l.accounts, name)
			}
		}
	}
	a := l.accounts[workspace]
	if a == nil {
		a = &account{paidAt: now}
		l.accounts[workspace] = a
	}
	a.usedAt = now

	return a
}

// observe records how full the endpoints are.
func (l *lane) observe(now time.Time, fullness float64) {
	elapsed := now.Sub(l.fullnessAt).Seconds()
	// Half the weight of what is a burst old, and a tenth at least.
	weight := max(0.1, 1-math.Exp2(-elapsed/burst.Seconds()))
	l.fullness += weight * (min(fullness, 2) - l.fullness)
	l.fullnessAt = now
	if fullness > shortFraction {
		l.markShort(now)
	}
}

// markShort records a sign of a shortage.
func (l *lane) markShort(now time.Time) {
	if now.Sub(l.shortAt) > shortageMemory {
		l.shortSince = now
	}
	l.shortAt = now
}

// gain returns the factor from the rate of service to the rate that the shares aim at.
func (l *lane) gain() float64 {
	return min(max(minGain, 1+aimedFraction-l.fullness), maxGain)
}

// debtAt returns the debt at a time, given the rate at which it is paid off. Without a limit there is none.
func (a *account) debtAt(now time.Time, rate float64) float64 {
	if math.IsInf(rate, 1) {
		a.debt = 0
	} else {
		a.debt = max(-burst.Seconds()*rate, a.debt-rate*max(0, now.Sub(a.paidAt).Seconds()))
	}
	a.paidAt = now

	return a.debt
}

// charge adds work to the debt.
func (a *account) charge(now time.Time, rate, tokens float64) {
	a.debtAt(now, rate)
	if !math.IsInf(rate, 1) {
		a.debt += tokens
	}
}

// chargeSent adds work that was sent to the debt, up to some limit. More was sent while capacity was not short,
// and does not count later.
func (a *account) chargeSent(now time.Time, rate, tokens float64) {
	before := a.debtAt(now, rate)
	a.charge(now, rate, tokens)
	a.debt = min(a.debt, max(before, burst.Seconds()*rate, tokens))
}

// promise adds work to what was told to come back. Negative work has come back.
func (a *account) promise(now time.Time, tokens float64) {
	a.promised = a.promisedNow(now) + tokens
	a.promisedAt = now
}

// promisedNow returns the work that may still come back.
func (a *account) promisedNow(now time.Time) float64 {
	return a.promised * math.Exp(-max(0, now.Sub(a.promisedAt).Seconds())/promiseTimeConstant.Seconds())
}
