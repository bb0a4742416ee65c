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

// estimateError tracks by what factor the time to the first token exceeds the predicted one.
type estimateError struct {
	mean, deviation float64 // of the factor less 1
	at              time.Time
}

// record learns from one request. Short times tell nothing of how long a queue takes, unless the request was late.
func (e *estimateError) record(now time.Time, predicted, actual, target time.Duration) {
	least := time.Duration(minErrorFraction * float64(target))
	if target <= 0 || (predicted < least && actual <= target) {
		return
	}
	excess := min(float64(actual)/float64(max(predicted, least)), maxCorrection) - 1
	left := e.left(now)
	mean, deviation := left*e.mean, left*e.deviation
	e.deviation = deviation + errorSmoothingFactor*(math.Abs(excess-mean)-deviation)
	e.mean = mean + errorSmoothingFactor*(excess-mean)
	e.at = now
}

// left returns the part of what was learned that is not forgotten.
func (e *estimateError) left(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(e.at).Seconds()) / errorTimeConstant.Seconds())
}

// correction returns the factor by which to lengthen the predicted time, so that most requests are
// not later than that.
func (e *estimateError) correction(now time.Time) float64 {
	return min(max(1, 1+e.left(now)*(e.mean+e.deviation)), maxCorrection)
}
