package isolator

import "time"

// Settings configures the durations and size limits of an Isolator.
type Settings struct {
	// RecordTTL is how long a record without a cause is kept after its latest event.
	RecordTTL time.Duration
	// CauseTTL is how long the record of a cause is kept after its latest event, such as a
	// refused request. It is longer than LateTrialDelay.
	CauseTTL time.Duration
	// CertainCrashes is the number of crashes from which on a cause counts as certain if no
	// answer to a request with it had begun at any of them.
	CertainCrashes int
	// FirstTrialDelay is the time from the latest crash to the first trial of a cause that is
	// not certain, DoubtfulTrialDelay the same if an answer to a request with it had begun.
	FirstTrialDelay, DoubtfulTrialDelay time.Duration
	// TrialDelay is the time to further trials. Each trial doubles it for the next one.
	TrialDelay time.Duration
	// LateTrialDelay is the time between trials of a certain cause, and of one of which
	// MaxFailedTrials trials have ended in a crash.
	LateTrialDelay  time.Duration
	MaxFailedTrials int
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
		CertainCrashes:     5,
		FirstTrialDelay:    time.Minute,
		DoubtfulTrialDelay: 5 * time.Second,
		TrialDelay:         10 * time.Minute,
		LateTrialDelay:     24 * time.Hour,
		MaxFailedTrials:    2,
		TrialSpread:        30 * time.Second,
		MaxRecords:         1024,
		MaxCompletedBlocks: 4096,
		MaxSharedRecords:   32,
	}
}
