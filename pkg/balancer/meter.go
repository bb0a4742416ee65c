package balancer

import (
	"math"
	"time"
)

const (
	// meterTimeConstant is the time constant of the exponential decay of observations.
	meterTimeConstant = 500 * time.Millisecond
	// minObservedSeconds is the minimum decayed stream time before an endpoint's speed
	// is judged.
	minObservedSeconds = 0.25
	// minObservedTokens is the minimum decayed token count before an endpoint's speed is
	// judged.
	minObservedTokens = 2
	// priorTokens is the weight, in tokens, of the group's median speed when it is
	// combined with an endpoint's own observations.
	priorTokens = 5
)

// speedMeter measures the time between tokens of an endpoint by sums over all its
// streams that decay exponentially.
type speedMeter struct {
	streamSeconds   float64 // time that streams spent between tokens, summed over streams
	unloadedSeconds float64 // stream time divided by the slowdown expected at the endpoint's load
	tokens          float64 // tokens received in that time
	lateTokens      float64 // tokens of updates that were slower than the target interval
	updatedAt       time.Time
}

// decay scales all sums down by the time elapsed since the last update.
func (m *speedMeter) decay(now time.Time) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 {
		remaining := math.Exp(-elapsed.Seconds() / meterTimeConstant.Seconds())
		m.streamSeconds *= remaining
		m.unloadedSeconds *= remaining
		m.tokens *= remaining
		m.lateTokens *= remaining
		m.updatedAt = now
	}
}

// add records that a stream received tokens after the elapsed time, at an endpoint whose
// load is expected to slow it down by the factor loadSlowdown.
func (m *speedMeter) add(now time.Time, elapsed time.Duration, tokens int, loadSlowdown float64, targetInterval time.Duration) {
	m.decay(now)
	m.streamSeconds += elapsed.Seconds()
	m.unloadedSeconds += elapsed.Seconds() / loadSlowdown
	m.tokens += float64(tokens)
	if elapsed > targetInterval*time.Duration(tokens) {
		m.lateTokens += float64(tokens)
	}
}

func (m *speedMeter) reset() { *m = speedMeter{updatedAt: m.updatedAt} }

// hasEvidence reports whether enough was observed to judge the speed.
func (m *speedMeter) hasEvidence() bool {
	return m.streamSeconds >= minObservedSeconds && m.tokens >= minObservedTokens
}

// tokenInterval returns the mean seconds between tokens of a stream at the present load.
func (m *speedMeter) tokenInterval() float64 { return m.streamSeconds / m.tokens }

// unloadedInterval estimates the seconds between tokens that the endpoint would have
// without load. With little evidence the estimate is close to groupInterval, the
// group's.
func (m *speedMeter) unloadedInterval(groupInterval float64) float64 {
	return (m.unloadedSeconds + priorTokens*groupInterval) / (m.tokens + priorTokens)
}
