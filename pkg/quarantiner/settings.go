package quarantiner

import "time"

// Settings configures the durations and size limits of a Quarantiner.
type Settings struct {
	// SuspicionTTL is how long a fingerprint that crashed an endpoint stays a suspect
	// unless it runs to completion.
	SuspicionTTL time.Duration
	// TrialTimeout is how long copies of a suspect are held back while it may run
	// alone, if its end isn't reported.
	TrialTimeout time.Duration
	// AmbiguousQuarantineDuration is how long a fingerprint is quarantined if another
	// fingerprint may have caused its latest crash instead.
	AmbiguousQuarantineDuration time.Duration
	// QuarantineDuration is how long a fingerprint is quarantined if no other one can
	// have caused its latest crash. It starts again with each refused request.
	QuarantineDuration time.Duration
	// MaxQuarantineDuration limits a quarantine, counted from the latest crash, however
	// often the fingerprint is requested.
	MaxQuarantineDuration time.Duration
	// MaxEntries is the maximum number of fingerprints stored.
	MaxEntries int
	// MaxSharedEntries is the maximum number of entries sent to another instance at once.
	MaxSharedEntries int
}

// DefaultSettings returns settings for a small number of endpoints and instances.
func DefaultSettings() Settings {
	return Settings{
		SuspicionTTL:                10 * time.Minute,
		TrialTimeout:                30 * time.Second,
		AmbiguousQuarantineDuration: time.Minute,
		QuarantineDuration:          10 * time.Minute,
		MaxQuarantineDuration:       time.Hour,
		MaxEntries:                  4096,
		MaxSharedEntries:            256,
	}
}
