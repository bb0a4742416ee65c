package quarantiner

import "time"

// Settings are the limits of a Quarantiner.
type Settings struct {
	// SuspicionTTL is how long a crash is held against a fingerprint that does
	// not run through.
	SuspicionTTL time.Duration
	// Trial is how long a suspect that may run alone holds back its copies.
	Trial time.Duration
	// Doubt is how long a fingerprint is quarantined when another one may
	// have caused its latest crash as well.
	Doubt time.Duration
	// Quarantine is how long a fingerprint is quarantined that alone can
	// have caused its latest crash. It starts again with each request for it.
	Quarantine time.Duration
	// Longest bounds a quarantine, however often it is asked for.
	Longest time.Duration
	// Entries is the largest number of fingerprints kept.
	Entries int
	// Shared is the largest number of entries passed to another instance.
	Shared int
}

// DefaultSettings returns the settings for a small fleet.
func DefaultSettings() Settings {
	return Settings{
		SuspicionTTL: 10 * time.Minute,
		Trial:        30 * time.Second,
		Doubt:        time.Minute,
		Quarantine:   10 * time.Minute,
		Longest:      time.Hour,
		Entries:      4096,
		Shared:       256,
	}
}
