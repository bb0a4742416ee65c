package estimator

import "math"

// distribution is the fraction of answers in each bucket of lengths.
type distribution [bucketCount]float64

// mixIn adds the lengths of a sketch, which together count as the given fraction.
func (d *distribution) mixIn(s *sketch, fraction float64) {
	scale := fraction / s.totalWeight
	for b, bucketWeight := range s.bucketWeights {
		d[b] += float64(bucketWeight) * scale
	}
}

// longerThan returns the distribution without the answers of at most the generated
// tokens. Within a bucket, lengths are taken as evenly spread.
func (d *distribution) longerThan(generated int) distribution {
	rest := *d
	first := bucketOf(generated)
	for b := range first {
		rest[b] = 0
	}
	low, high := lowerBound(first), upperBounds[first]
	rest[first] *= max(0, (high-float64(generated))/(high-low))

	return rest
}

// totalFraction returns the sum over all buckets. It may be below 1 after longerThan.
func (d *distribution) totalFraction() float64 {
	total := 0.0
	for _, bucketFraction := range d {
		total += bucketFraction
	}

	return total
}

// quantile returns the length, in tokens, that the given fraction of the answers
// does not exceed. All of them must be longer than the generated tokens.
func (d *distribution) quantile(fraction float64, generated int) float64 {
	remaining := fraction * d.totalFraction()
	for b, bucketFraction := range d {
		if bucketFraction > 0 && remaining <= bucketFraction {
			low := max(lowerBound(b), float64(generated))

			return low + (upperBounds[b]-low)*remaining/bucketFraction
		}
		remaining -= bucketFraction
	}

	return upperBounds[bucketCount-1]
}

// mean returns the mean length in tokens. All answers must be longer than the
// generated tokens.
func (d *distribution) mean(generated int) float64 {
	sum := 0.0
	for b, bucketFraction := range d {
		sum += bucketFraction * (max(lowerBound(b), float64(generated)) + upperBounds[b]) / 2
	}

	return sum / d.totalFraction()
}

// roundUp returns the length rounded up to whole tokens. A rounding error of 1e-9
// does not add a token.
func roundUp(tokens float64) int {
	return int(math.Ceil(tokens - 1e-9))
}
