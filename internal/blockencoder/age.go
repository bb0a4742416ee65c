package blockencoder

import (
	"math"
	"time"
)

// EncodeAge returns the age of a time in milliseconds, at least 1; 0 for the zero time.
func EncodeAge(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}

	return max(1, toMilliseconds(now.Sub(at)))
}

// maxTransitTime is longer than a message is usually on its way.
const maxTransitTime = 300 * time.Millisecond

// DecodeAge returns the time of an age that a peer sent in a message received at now. The
// result is no later than what the peer meant, so that a time which is passed on again and
// again does not become later each time.
func DecodeAge(now time.Time, ageMs uint32) time.Time {
	if ageMs == 0 {
		return time.Time{}
	}

	return now.Add(-time.Duration(ageMs)*time.Millisecond - maxTransitTime)
}

// toMilliseconds returns a duration in milliseconds, at least 0.
func toMilliseconds(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), math.MaxUint32))
}
