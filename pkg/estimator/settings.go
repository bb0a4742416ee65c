package estimator

import (
	"math"
	"time"
)

const (
	defaultQuantile            = 0.75
	defaultHalfLife            = 10 * time.Minute
	defaultMaxEffectiveAnswers = 64
	defaultMaxGroups           = 8192
	defaultPriorTokens         = 256
)

// Settings configures an Estimator. A field that is zero or out of range takes its
// default.
type Settings struct {
	// Quantile is the fraction of answers whose length should not exceed
	// Estimate.TokensToReserve, between 0 and 1. Default 0.75.
	Quantile float64
	// HalfLife is the time after which the weight of an answer has halved.
	// Default 10m.
	HalfLife time.Duration
	// MaxEffectiveAnswers bounds the sum of the weights of a group's answers, in
	// which the newest counts 1: each new answer multiplies the weight of older
	// ones by 1 - 1/MaxEffectiveAnswers. Default 64.
	MaxEffectiveAnswers int
	// MaxGroups is the largest number of groups for which a sketch is kept, wider
	// groups included. It is at least 4. Default 8192.
	MaxGroups int
	// PriorTokens is the length assumed for answers before any was observed, in
	// tokens. Default 256.
	PriorTokens int
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
	if s.MaxEffectiveAnswers <= 1 {
		s.MaxEffectiveAnswers = defaultMaxEffectiveAnswers
	}
	if s.MaxGroups <= 0 {
		s.MaxGroups = defaultMaxGroups
	}
	if s.PriorTokens <= 0 {
		s.PriorTokens = defaultPriorTokens
	}
	s.MaxGroups = max(s.MaxGroups, groupLevels)

	return s
}

// doublingsPerAnswer returns the base-2 logarithm of the factor by which an answer of a
// group weighs more than the previous one, apart from the effect of HalfLife.
func (s Settings) doublingsPerAnswer() float64 {
	return -math.Log2(1 - 1/float64(s.MaxEffectiveAnswers))
}
