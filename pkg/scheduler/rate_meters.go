package scheduler

import (
	"math"
	"time"
)

const (
	// minBlockedSeconds and minCompletions are the time without free capacity and the
	// number of completions in it from which a measured drain rate is used.
	minBlockedSeconds = 1.0
	minCompletions    = 4.0
	// minDecayInterval is the least time between two decays of a measurement.
	minDecayInterval = 100 * time.Millisecond
	// offeredLoadHalfLife is the half-life of the measured load of a tier.
	offeredLoadHalfLife = 5 * time.Second
)

// drainMeter measures the rate at which the requests of a lane complete, in tokens a
// second. It measures only while the lane is blocked for want of capacity; otherwise it
// would measure demand and not capacity. After a time without waiting requests it starts
// at the first completion, since the requests running until then have only just begun.
type drainMeter struct {
	halfLife        time.Duration
	blocked         bool
	measuring       bool
	lastUpdate      time.Duration
	completedTokens float64
	completions     float64
	blockedSeconds  float64
	undecayedTime   time.Duration // blocked time since the last decay
}

// advanceTo adds the time since the last update if the meter is measuring, and decays the
// measurement.
func (m *drainMeter) advanceTo(now time.Duration) {
	elapsed := now - m.lastUpdate
	if elapsed <= 0 {
		return
	}
	m.lastUpdate = now
	if !m.blocked || !m.measuring {
		return
	}
	m.blockedSeconds += elapsed.Seconds()
	m.undecayedTime += elapsed
	if m.undecayedTime < minDecayInterval {
		return
	}
	remainingFraction := math.Exp2(-float64(m.undecayedTime) / float64(m.halfLife))
	m.completedTokens *= remainingFraction
	m.completions *= remainingFraction
	m.blockedSeconds *= remainingFraction
	m.undecayedTime = 0
}

func (m *drainMeter) setBlocked(now time.Duration, blocked bool) {
	m.advanceTo(now)
	m.blocked = blocked
}

func (m *drainMeter) recordCompletion(now time.Duration, tokens int) {
	m.advanceTo(now)
	if !m.blocked {
		return
	}
	if m.measuring {
		m.completedTokens += float64(tokens)
		m.completions++
	}
	m.measuring = true
}

// pause stops measuring because no request waits in the lane.
func (m *drainMeter) pause(now time.Duration) {
	m.setBlocked(now, false)
	m.measuring = false
}

// hasEvidence reports whether enough was measured to use the drain rate.
func (m *drainMeter) hasEvidence() bool {
	return m.blockedSeconds >= minBlockedSeconds && m.completions >= minCompletions
}

// tokensPerSecond is the measured drain rate; false when too little was measured.
func (m *drainMeter) tokensPerSecond() (float64, bool) {
	if !m.hasEvidence() {
		return 0, false
	}

	return max(1, m.completedTokens/m.blockedSeconds), true
}

// meanCompletionInterval is the mean time between completions; zero when too little was
// measured.
func (m *drainMeter) meanCompletionInterval() time.Duration {
	if !m.hasEvidence() {
		return 0
	}

	return durationAtRate(m.blockedSeconds, m.completions)
}

// offeredLoadMeter measures the load of the requests that a tier accepts, in tokens a
// second, as an exponentially decayed sum.
type offeredLoadMeter struct {
	lastDecay     time.Duration
	decayedTokens float64
}

func (m *offeredLoadMeter) add(now time.Duration, tokens int) {
	m.decayTo(now)
	m.decayedTokens += float64(tokens)
}

func (m *offeredLoadMeter) decayTo(now time.Duration) {
	if elapsed := now - m.lastDecay; elapsed >= minDecayInterval {
		m.decayedTokens *= math.Exp2(-float64(elapsed) / float64(offeredLoadHalfLife))
		m.lastDecay = now
	}
}

func (m *offeredLoadMeter) tokensPerSecond(now time.Duration) float64 {
	m.decayTo(now)

	return m.decayedTokens * math.Ln2 / offeredLoadHalfLife.Seconds()
}

// durationAtRate returns the time that an amount takes at a rate per second, at most
// maxPredictedWait.
func durationAtRate(amount, perSecond float64) time.Duration {
	seconds := min(amount/perSecond, maxPredictedWait.Seconds())

	return time.Duration(seconds * float64(time.Second))
}
