package sharer

import (
	"math"
	"time"
)

// rate is an exponentially decaying average of work, in tokens per second.
type rate struct {
	value float64
	at    time.Time
}

// add counts work at a time. It may be negative, to take back work that was counted.
func (r *rate) add(now time.Time, tokens float64) {
	r.value, r.at = max(0, r.get(now)+tokens/rateTimeConstant.Seconds()), now
}

// get returns the average at a time.
func (r *rate) get(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}

	return r.value * math.Exp(-max(0, now.Sub(r.at).Seconds())/rateTimeConstant.Seconds())
}

// estimateError tracks by what factor the time to the first token exceeds the expected one.
type estimateError struct {
	mean, deviation float64
}

// record learns from one request.
func (e *estimateError) record(expected, actual time.Duration) {
	if expected < minErrorSample {
		return
	}
	ratio := min(max(float64(actual)/float64(expected), 1/maxCorrection), maxCorrection)
	if e.mean == 0 {
		e.mean = 1
	}
	e.deviation += errorSmoothingFactor * (math.Abs(ratio-e.mean) - e.deviation)
	e.mean += errorSmoothingFactor * (ratio - e.mean)
}

// correction returns the factor by which to lengthen the expected time, so that most requests are
// not later than that.
func (e *estimateError) correction() float64 {
	return min(max(1, e.mean+e.deviation), maxCorrection)
}
