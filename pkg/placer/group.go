package placer

import (
	"math"
	"time"
)

// group is the endpoints of one service.
type group struct {
	endpoints []*endpoint // by rank
	rate      float64     // prompt tokens read in a millisecond
	long      int         // prompt tokens from which on a prompt is long
	demand    demand
}

const (
	// rateMemory is the weight of one more first token in the observed rate.
	rateMemory = 0.05
	// rateTokens is the fewest tokens a rate is learned from.
	rateTokens = 2048
)

func newGroup(settings Settings) *group {
	return &group{rate: settings.PrefillRate, long: settings.LongPrompt}
}

// observe learns the rate from the time to a first token. Waiting makes it look
// slower than it is, so that a faster observation counts more.
func (g *group) observe(tokens int, took time.Duration) {
	if tokens < rateTokens || took <= 0 {
		return
	}
	seen := float64(tokens) / (float64(took) / float64(time.Millisecond))
	weight := rateMemory
	if seen < g.rate {
		weight /= 4
	}
	g.rate += weight * (min(seen, 4*g.rate) - g.rate)
}

// reading is the time in which an engine reads the tokens.
func (g *group) reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / g.rate * float64(time.Millisecond))
}

// border returns how many of n engines, by rank, are for short prompts.
func (g *group) border(now time.Time, n int) int {
	short, long := g.demand.engines(now, g.rate)
	switch {
	case n < 2 || long == 0:
		return n
	case short == 0:
		return 0
	}

	return min(n-1, max(1, int(math.Round(float64(n)*short/(short+long)))))
}

// demand is what arrives for a service, with exponential forgetting.
type demand struct {
	at                    time.Time
	shortTokens           float64 // prompt tokens a second
	longTokens            float64
	shortStreams          float64 // stream seconds a second
	shortWeight           float64
	streamTime, streamSum float64
}

func (d *demand) decay(now time.Time) {
	if d.at.IsZero() {
		d.at = now
	}
	age := now.Sub(d.at)
	if age <= 0 {
		return
	}
	factor := math.Exp(-age.Seconds() / demandMemory.Seconds())
	d.at = now
	d.shortTokens *= factor
	d.longTokens *= factor
	d.shortStreams *= factor
}

func (d *demand) arrive(now time.Time, choice Choice) {
	d.decay(now)
	if choice.Long {
		d.longTokens += float64(choice.Fresh)
	} else {
		d.shortTokens += float64(choice.Fresh)
	}
}

// leave takes in how long a stream ran.
func (d *demand) leave(now time.Time, long, begun bool, took time.Duration) {
	d.decay(now)
	if !long && begun {
		d.shortStreams += took.Seconds()
	}
}

// engines returns how many engines' work the short and the long prompts of this
// instance are. Only their proportion matters.
func (d *demand) engines(now time.Time, rate float64) (short, long float64) {
	d.decay(now)
	seconds := demandMemory.Seconds()
	reading := rate * float64(time.Second/time.Millisecond) * busyTarget
	short = d.shortTokens/seconds/reading + d.shortStreams/seconds/batchTarget
	long = d.longTokens / seconds / reading

	return short, long
}
