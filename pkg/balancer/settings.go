package balancer

import "time"

// Settings tune a Balancer. A field that is zero or negative takes its default.
type Settings struct {
	DataCentre          string        // data centre of this instance
	TargetTokenInterval time.Duration // target time between two tokens of an answer
	MaxCandidates       int           // prefix holders, and as many random samples, compared per pick
	// MaxSamples is the maximum number of random endpoints that a pick examines in this data
	// centre, and again in the others.
	MaxSamples         int
	MaxPrefixes        int     // prompt prefixes kept in the index
	MaxEjectedFraction float64 // share of a group that may be ejected at once, 0 to 1
	// EjectionSlowdown is the ratio to the group's median token interval above which an
	// endpoint is ejected.
	EjectionSlowdown     float64
	BaseEjectionDuration time.Duration // first ejection; doubles with each consecutive one
}

// The defaults of Settings.
const (
	defaultTargetTokenInterval  = 44 * time.Millisecond
	defaultMaxCandidates        = 2
	defaultMaxSamples           = 16
	defaultMaxPrefixes          = 1 << 16
	defaultMaxEjectedFraction   = 0.3
	defaultEjectionSlowdown     = 3
	defaultBaseEjectionDuration = time.Second
)

func (s Settings) withDefaults() Settings {
	s.TargetTokenInterval = positiveOr(s.TargetTokenInterval, defaultTargetTokenInterval)
	s.MaxCandidates = positiveOr(s.MaxCandidates, defaultMaxCandidates)
	s.MaxSamples = positiveOr(s.MaxSamples, defaultMaxSamples)
	s.MaxPrefixes = positiveOr(s.MaxPrefixes, defaultMaxPrefixes)
	s.MaxEjectedFraction = positiveOr(s.MaxEjectedFraction, defaultMaxEjectedFraction)
	s.EjectionSlowdown = positiveOr(s.EjectionSlowdown, defaultEjectionSlowdown)
	s.BaseEjectionDuration = positiveOr(s.BaseEjectionDuration, defaultBaseEjectionDuration)
	return s
}

// positiveOr returns the value if it is positive, else the fallback.
func positiveOr[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
