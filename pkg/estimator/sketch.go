package estimator

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave is the number of buckets between a length and twice the
	// length.
	bucketsPerOctave = 4
	// octaveCount is the number of octaves: lengths above 2^octaveCount tokens
	// are counted in the last bucket.
	octaveCount = 18
	bucketCount = bucketsPerOctave*octaveCount + 1
	// maxDoublings is the number of doublings of the weight of a new answer after
	// which all weights are scaled down, so that they stay in range.
	maxDoublings = 30
)

// upperBounds holds the upper bound of each bucket in tokens, inclusive.
var upperBounds = func() [bucketCount]float64 {
	var upper [bucketCount]float64
	for b := range upper {
		upper[b] = math.Exp2(float64(b) / bucketsPerOctave)
	}

	return upper
}()

// bucketOf returns the index of the bucket for a length in tokens.
func bucketOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	b := int(math.Ceil(math.Log2(float64(tokens))*bucketsPerOctave - 1e-9))

	return min(b, bucketCount-1)
}

// lowerBound returns the lower bound of a bucket in tokens, exclusive.
func lowerBound(b int) float64 {
	if b == 0 {
		return 0
	}

	return upperBounds[b-1]
}

// sketch is a histogram of lengths in which older answers count less. Instead of
// reducing the weights of older answers, it gives newer ones a larger weight, which
// doubles with each half-life and grows with each answer.
type sketch struct {
	// origin is the time from which the doublings are counted.
	origin time.Time
	// answerDoublings is the number of doublings since origin that follow from the
	// number of answers, without those that follow from the time.
	answerDoublings float64
	totalWeight     float64
	bucketWeights   [bucketCount]float32
}

// observe adds the length of an answer in tokens. The weight of a new answer
// doubles doublingsPerAnswer times with each answer and once with each halfLife.
func (s *sketch) observe(now time.Time, halfLife time.Duration, doublingsPerAnswer float64, tokens int) {
	if s.totalWeight == 0 {
		s.origin = now
	}
	s.answerDoublings += doublingsPerAnswer
	doublings := s.weightDoublings(now, halfLife)
	if doublings > maxDoublings {
		s.rebase(now, doublings)
		doublings = 0
	}
	weight := math.Exp2(max(doublings, -maxDoublings))
	s.bucketWeights[bucketOf(tokens)] += float32(weight)
	s.totalWeight += weight
}

// weightDoublings returns how often the weight of a new answer has doubled since origin.
func (s *sketch) weightDoublings(now time.Time, halfLife time.Duration) float64 {
	return s.answerDoublings + float64(now.Sub(s.origin))/float64(halfLife)
}

// rebase scales all weights so that an answer of the time now weighs one, and makes
// now the origin.
func (s *sketch) rebase(now time.Time, doublings float64) {
	scale := math.Exp2(-doublings)
	for b := range s.bucketWeights {
		s.bucketWeights[b] *= float32(scale)
	}
	s.totalWeight *= scale
	s.origin = now
	s.answerDoublings = 0
}

// effectiveAnswers returns the sum of the weights, in which an answer of the time
// now would count 1.
func (s *sketch) effectiveAnswers(now time.Time, halfLife time.Duration) float64 {
	return s.totalWeight * math.Exp2(-s.weightDoublings(now, halfLife))
}
