package keeper

import "time"

// tokenBucket is a token bucket that limits a rate of calls. It holds at most the
// tokens of one second.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take refills the bucket at the given rate per second, then removes one token.
// It returns false if there is none.
func (b *tokenBucket) take(rate float64, now time.Time) bool {
	if b.refilledAt.IsZero() {
		b.tokens = rate
	} else {
		b.tokens = min(rate, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}
