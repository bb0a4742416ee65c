package balancer

import (
	"slices"
	"time"
)

const (
	// comparisonInterval is the time between comparisons of an endpoint's speed with its
	// group's.
	comparisonInterval = 200 * time.Millisecond
	// stallTimeout is the time without any token on all running streams of an endpoint
	// after which it counts as slow.
	stallTimeout = time.Second
	// minFailuresToEject is the number of consecutive failures that ejects an endpoint.
	minFailuresToEject = 3
	// postFailureWindow is how long after a failure tokens may still arrive that were
	// sent before it. They don't count as proof of health.
	postFailureWindow = 300 * time.Millisecond
	// recoverySlowdownFraction is the share of Settings.EjectionSlowdown below which a
	// slow endpoint is healthy again.
	recoverySlowdownFraction = 0.6
	// maxEjectionDuration is the longest duration of one ejection.
	maxEjectionDuration = 30 * time.Second
	// slowEjectionMultiplier is how many times longer a slow endpoint is ejected than a
	// failing one: each probe of a slow endpoint costs a caller a slow answer.
	slowEjectionMultiplier = 4
	// ejectionCountResetDelay is the healthy time after which the next ejection counts
	// as the first again.
	ejectionCountResetDelay = time.Minute
	// highestProbeTier is the highest priority tier whose requests may probe an endpoint
	// as soon as it is due. Tier 0 is the highest priority.
	highestProbeTier = 2
	// lowTierProbeTimeout is how long a due probe is reserved for low-priority requests;
	// after it, a request of any tier may probe.
	lowTierProbeTimeout = time.Second
)

// circuitBreaker is an endpoint's circuit breaker: healthy (closed), suspect (half-open)
// or ejected (open).
type circuitBreaker struct {
	status               Status
	isSlow               bool // why it is suspect or ejected: too slow, else failing
	consecutiveFailures  int
	lastFailureAt        time.Time
	consecutiveEjections int
	probeDueAt           time.Time // when the next probe may be sent
	restoredAt           time.Time // when it last became healthy again
	probeRequestID       uint64    // valid while probeInFlight
	probeInFlight        bool
}

// runPeriodicChecks compares the speeds of the endpoints in each group, and makes
// ejected endpoints suspect when their probes are due. It does so once per
// comparisonInterval; calls in between do nothing.
func (b *Balancer) runPeriodicChecks(now time.Time) {
	if now.Before(b.nextComparison) {
		return
	}
	b.nextComparison = now.Add(comparisonInterval)
	for _, g := range b.groups {
		g.observeIntervals(now)
		for _, e := range g.endpoints {
			b.checkSpeed(now, e)
			e.increaseIdleConcurrencyLimit(now)
		}
	}
	for _, e := range slices.Clone(b.ejectedEndpoints) {
		if !now.Before(e.breaker.probeDueAt) {
			b.markSuspect(e, e.breaker.probeDueAt)
		}
	}
}

// checkSpeed ejects a slow endpoint, and restores one that is no longer slow.
func (b *Balancer) checkSpeed(now time.Time, e *trackedEndpoint) {
	interval, hasEvidence := e.observedInterval(now)
	if !hasEvidence {
		return
	}
	median, hasEvidence := e.group.medianOfOthers(interval)
	if !hasEvidence {
		return
	}
	switch {
	case interval > median*b.settings.EjectionSlowdown:
		if e.breaker.status != Ejected {
			b.eject(now, e, true)
		}
	case interval < median*b.settings.EjectionSlowdown*recoverySlowdownFraction:
		if e.breaker.status != Healthy && e.breaker.isSlow {
			b.restore(now, e)
		}
	}
}

// eject stops traffic to the endpoint for a while, unless the maximum share of its group
// is ejected already.
func (b *Balancer) eject(now time.Time, e *trackedEndpoint, isSlow bool) {
	breaker := &e.breaker
	if breaker.status != Ejected && e.group.ejectedCount >= b.maxEjected(e.group) {
		b.handleEjectionCapReached(now, e, isSlow)
		return
	}
	breaker.isSlow = isSlow
	if now.Sub(breaker.restoredAt) > ejectionCountResetDelay && breaker.status == Healthy {
		breaker.consecutiveEjections = 0
	}
	duration := b.settings.BaseEjectionDuration
	if isSlow {
		duration *= slowEjectionMultiplier
	}
	duration = min(maxEjectionDuration, duration<<min(breaker.consecutiveEjections, 10))
	breaker.consecutiveEjections++
	breaker.probeDueAt = now.Add(duration)
	b.setStatus(e, Ejected)
}

// releaseEjectionsOverCap makes ejected endpoints suspect at once when their group, and
// with it the maximum number of ejections, has become smaller.
func (b *Balancer) releaseEjectionsOverCap(now time.Time) {
	for _, e := range slices.Clone(b.ejectedEndpoints) {
		if e.group.ejectedCount > b.maxEjected(e.group) {
			b.markSuspect(e, now)
		}
	}
}

// handleEjectionCapReached is called instead of an ejection that would exceed the cap. A
// slow endpoint continues to receive what its concurrency limit allows; a failing one
// becomes suspect and receives one request at a time. If it is suspect already, its next
// probe is delayed.
func (b *Balancer) handleEjectionCapReached(now time.Time, e *trackedEndpoint, isSlow bool) {
	breaker := &e.breaker
	if breaker.status == Suspect {
		breaker.probeDueAt = now.Add(b.settings.BaseEjectionDuration)
		return
	}
	if !isSlow {
		breaker.isSlow = false
		b.markSuspect(e, now)
	}
}

// maxEjected returns how many endpoints of the group may be ejected at once: none of a
// single endpoint, else at least one.
func (b *Balancer) maxEjected(g *group) int {
	if len(g.endpoints) < 2 {
		return 0
	}
	return max(1, int(b.settings.MaxEjectedFraction*float64(len(g.endpoints))))
}

// markSuspect makes the endpoint suspect: from probeDueAt on it receives one request at
// a time.
func (b *Balancer) markSuspect(e *trackedEndpoint, probeDueAt time.Time) {
	e.breaker.probeDueAt = probeDueAt
	e.breaker.probeInFlight = false
	if e.breaker.isSlow {
		e.meter.reset()
	}
	b.setStatus(e, Suspect)
}

// restore makes the endpoint healthy and lifts its concurrency limit to all its slots.
func (b *Balancer) restore(now time.Time, e *trackedEndpoint) {
	e.breaker.consecutiveFailures = 0
	e.breaker.probeInFlight = false
	e.breaker.restoredAt = now
	e.concurrencyLimit = e.slots
	b.setStatus(e, Healthy)
}

// setStatus changes the endpoint's status and updates the lists and counts by status.
func (b *Balancer) setStatus(e *trackedEndpoint, status Status) {
	isSame := func(other *trackedEndpoint) bool { return other == e }
	switch e.breaker.status {
	case Ejected:
		e.group.ejectedCount--
		b.ejectedEndpoints = slices.DeleteFunc(b.ejectedEndpoints, isSame)
	case Suspect:
		b.suspectEndpoints = slices.DeleteFunc(b.suspectEndpoints, isSame)
	default:
	}
	e.breaker.status = status
	switch status {
	case Ejected:
		e.group.ejectedCount++
		b.ejectedEndpoints = append(b.ejectedEndpoints, e)
	case Suspect:
		b.suspectEndpoints = append(b.suspectEndpoints, e)
	default:
	}
}

// recordFailure records that the endpoint crashed or cut an answer off. Its cache is
// considered lost.
func (b *Balancer) recordFailure(now time.Time, e *trackedEndpoint, isProbe bool) {
	breaker := &e.breaker
	breaker.consecutiveFailures++
	breaker.lastFailureAt = now
	e.cacheEpoch++
	if breaker.status == Ejected {
		return
	}
	if breaker.consecutiveFailures >= minFailuresToEject || isProbe {
		b.eject(now, e, false)
		return
	}
	if breaker.status == Healthy {
		breaker.isSlow = false
		b.markSuspect(e, now)
	}
}

// recordSuccess records that the endpoint generated tokens or finished a request. Tokens
// that arrive soon after a failure are ignored unless they belong to the probe.
func (b *Balancer) recordSuccess(now time.Time, e *trackedEndpoint, isProbe bool) {
	breaker := &e.breaker
	if !isProbe && now.Sub(breaker.lastFailureAt) < postFailureWindow {
		return
	}
	breaker.consecutiveFailures = 0
	if breaker.status != Healthy && !breaker.isSlow {
		b.restore(now, e)
	}
}

// canProbe reports whether the request may probe the suspect endpoint. Requests that
// failed before are not used, and low-priority requests are preferred.
func (e *trackedEndpoint) canProbe(now time.Time, request *Request) bool {
	breaker := &e.breaker
	if breaker.probeInFlight || request.Isolated || len(request.TriedEndpoints) > 0 || now.Before(breaker.probeDueAt) {
		return false
	}
	return request.Tier >= highestProbeTier || now.Sub(breaker.probeDueAt) >= lowTierProbeTimeout
}
