package estimator

import (
	"math"
	"time"
)

const (
	defaultQuantile = 0.75
	defaultHalfLife = 10 * time.Minute
	defaultMemory   = 64
	defaultKeys     = 8192
	defaultPrior    = 256
)

// Settings tune an Estimator; a zero field takes its default.
type Settings struct {
	// Quantile is the share of answers that fit in what is reserved.
	Quantile float64
	// HalfLife is the time after which an answer counts half.
	HalfLife time.Duration
	// Memory is the number of answers of a group that count, roughly: each
	// new one makes the older fade by one part of it.
	Memory int
	// Keys is the most groups that are remembered, wider ones included.
	Keys int
	// Prior is the number of tokens assumed before any answer was seen.
	Prior int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{}.withDefaults()
}

func (s Settings) withDefaults() Settings {
	if s.Quantile <= 0 || s.Quantile >= 1 {
		s.Quantile = defaultQuantile
	}
	if s.HalfLife <= 0 {
		s.HalfLife = defaultHalfLife
	}
	if s.Memory <= 1 {
		s.Memory = defaultMemory
	}
	if s.Keys <= 0 {
		s.Keys = defaultKeys
	}
	if s.Prior <= 0 {
		s.Prior = defaultPrior
	}
	s.Keys = max(s.Keys, levels)

	return s
}

// perAnswer is the doublings of weight with each answer.
func (s Settings) perAnswer() float64 {
	return -math.Log2(1 - 1/float64(s.Memory))
}
