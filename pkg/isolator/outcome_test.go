package isolator_test

import (
	"math"
	"slices"
	"time"
)

// outcome is what a simulation shows.
type outcome struct {
	crashes, afterFifth int
	sound, refused      int
}

// outcomeOf returns the number of crashes by poison blocks, the most arrivals of one block
// later than the stable time after its fifth crash, and the number of sound requests and
// how many were refused.
func (f *fleet) outcomeOf() outcome {
	var o outcome
	for p, crashes := range f.crashes {
		o.crashes += len(crashes)
		o.afterFifth = max(o.afterFifth, f.arrivalsAfterFifthCrash(p))
	}
	for _, sound := range f.sounds {
		o.sound++
		if sound.wasRefused {
			o.refused++
		}
	}

	return o
}

// arrivalsAfterFifthCrash returns the number of requests with a poison block that reached
// endpoints, sent by instances in touch later than the stable time after its fifth crash.
func (f *fleet) arrivalsAfterFifthCrash(p int) int {
	if len(f.crashes[p]) < 5 {
		return 0
	}
	count := 0
	for _, at := range f.arrivals[p] {
		if at.After(f.crashes[p][4].Add(f.scenario.stable())) {
			count++
		}
	}

	return count
}

// leastBegun returns the least share of sound requests with one first block or key that
// began at the first attempt, from twice the stable time after the fifth crash of a poison
// block (the last, if there were fewer), in proportion to the share before any crash.
// Blocks with fewer than 20 requests before or after are left out.
func (f *fleet) leastBegun() (least float64, block uint64) {
	least = math.Inf(1)
	for p, crashes := range f.crashes {
		if len(crashes) == 0 {
			continue
		}
		from := crashes[min(4, len(crashes)-1)].Add(2 * f.scenario.stable())
		lastSent := f.sent[p][len(f.sent[p])-1]
		for candidate := range uint64(110) {
			before := f.shareBegun(candidate, start, start.Add(warmUp))
			after := f.shareBegun(candidate, from, lastSent)
			if ratio := after / before; !math.IsNaN(ratio) && ratio < least {
				least, block = ratio, candidate
			}
		}
	}

	return least, block
}

// shareBegun returns the share of the sound requests with a block that began at the first
// attempt; not a number if there were fewer than 20.
func (f *fleet) shareBegun(block uint64, from, to time.Time) float64 {
	count, begun := 0, 0
	for _, sound := range f.sounds {
		if sound.at.Before(from) || sound.at.After(to) || !sound.byUntouched || !slices.Contains(sound.blocks, block) {
			continue
		}
		count++
		if sound.hasBegun {
			begun++
		}
	}
	if count < 20 {
		return math.NaN()
	}

	return float64(begun) / float64(count)
}
