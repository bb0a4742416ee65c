package isolator

import "time"

// Settings configures the durations and size limits of an Isolator.
type Settings struct {
	// RecordTTL is how long a record without a cause is kept after its latest event.
	RecordTTL time.Duration
	// CauseTTL is how long the record of a cause is kept after its latest event, such as a
	// refused request. It is longer than LateTrialDelay.
	CauseTTL time.Duration
	// FirstTrialDelay is the time from the latest crash to the first trial of a cause that
	// was in fewer crashes than StrongCrashes, or at one of them in an answer that had begun.
	FirstTrialDelay time.Duration
	// TrialDelay is the time to any other trial. Each trial doubles the delay of the next
	// one.
	TrialDelay time.Duration
	// StrongCrashes is the number of crashes from which on a cause counts as certain.
	StrongCrashes int
	// MaxFailedTrials is the number of trials that end in a crash after which trials are
	// LateTrialDelay apart.
	MaxFailedTrials int
	LateTrialDelay  time.Duration
	// TrialSpread is the range of a random delay, different on each instance, by which a
	// trial is made later, so that other instances hear of it before theirs.
	TrialSpread time.Duration
	// MaxRecords is the maximum number of blocks with a record.
	MaxRecords int
	// MaxCompletedBlocks is the maximum number of blocks whose last completion is kept.
	MaxCompletedBlocks int
	// MaxSharedRecords is the maximum number of records sent to another instance at once.
	MaxSharedRecords int
}

// DefaultSettings returns settings for fleets of up to some hundred instances.
func DefaultSettings() Settings {
	return Settings{
		RecordTTL:          10 * time.Minute,
		CauseTTL:           48 * time.Hour,
		FirstTrialDelay:    5 * time.Second,
		TrialDelay:         10 * time.Minute,
		StrongCrashes:      5,
		MaxFailedTrials:    2,
		LateTrialDelay:     24 * time.Hour,
		TrialSpread:        30 * time.Second,
		MaxRecords:         1024,
		MaxCompletedBlocks: 4096,
		MaxSharedRecords:   32,
	}
}
