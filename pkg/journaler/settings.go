package journaler

import "time"

// Settings are the limits of a Journaler. ShardNamePrefix, ShardsPerEpoch,
// EpochDuration, KeyTTL and MaxClockSkew determine in which shard the record of a
// key is stored. They must be the same on all instances, and may change only when
// every key in use has expired.
type Settings struct {
	// ShardNamePrefix is the beginning of the name of each shard.
	ShardNamePrefix string
	// ShardsPerEpoch is the number of shards over which the calls of one epoch are
	// spread.
	ShardsPerEpoch int
	// EpochDuration is the length of an epoch. Calls whose first attempts were
	// made in the same epoch can share a shard.
	EpochDuration time.Duration
	// KeyTTL is the time after its first attempt for which a key is accepted.
	KeyTTL time.Duration
	// MaxClockSkew is how far the time of a first attempt may lie in the future by
	// the clock of the instance.
	MaxClockSkew time.Duration
	// ForwardTimeout is the maximum time from the arrival of a call until it is
	// forwarded to its endpoint.
	ForwardTimeout time.Duration
	// DuplicateWaitTimeout is the maximum time for which a duplicate waits for the
	// outcome of the attempt in progress.
	DuplicateWaitTimeout time.Duration
	// ExpectedRunTime is the longest time that a call usually runs. After this
	// time an attempt without an outcome counts as in doubt, and its duplicates
	// are refused without a time to retry.
	ExpectedRunTime time.Duration
	// PollInterval is the time between two reads that look for the outcome of an
	// attempt at another instance. It is also the maximum backoff.
	PollInterval time.Duration
	// TargetWritesPerCall is the ratio of writes to calls that batching aims at.
	TargetWritesPerCall float64
	// MaxUnbatchedRate is the rate, in calls per second, up to which calls are
	// written at once instead of in batches.
	MaxUnbatchedRate float64
	// MaxBatchDelay is the maximum delay of a write so that further calls can
	// share it.
	MaxBatchDelay time.Duration
	// OutcomeWriteDelay is how long an outcome waits for an intent with which it
	// can share a write. After that it is written alone.
	OutcomeWriteDelay time.Duration
	// MissingIntentTimeout is how long an outcome is kept whose intent is not
	// found in the store.
	MissingIntentTimeout time.Duration
	// InitialBackoff is the delay after the first failure of a store operation. It
	// doubles with each further failure, up to PollInterval.
	InitialBackoff time.Duration
	// MaxAnswerBytes is the maximum size of a recorded answer body.
	MaxAnswerBytes int
	// MaxShardBytes is the maximum size of a stored shard.
	MaxShardBytes int
	// MaxCalls is the maximum number of calls in memory, and of outcomes of one
	// shard that are not stored yet.
	MaxCalls int
	// MaxCachedShards is the number of shards in memory above which idle ones are
	// evicted.
	MaxCachedShards int
}

// DefaultSettings returns the settings for a small fleet of instances.
func DefaultSettings() Settings {
	return Settings{
		ShardNamePrefix:      "journal",
		ShardsPerEpoch:       1,
		EpochDuration:        time.Second,
		KeyTTL:               time.Hour,
		MaxClockSkew:         30 * time.Second,
		ForwardTimeout:       2 * time.Second,
		DuplicateWaitTimeout: 2 * time.Second,
		ExpectedRunTime:      30 * time.Second,
		PollInterval:         200 * time.Millisecond,
		TargetWritesPerCall:  0.16,
		MaxUnbatchedRate:     10,
		MaxBatchDelay:        150 * time.Millisecond,
		OutcomeWriteDelay:    500 * time.Millisecond,
		MissingIntentTimeout: 10 * time.Second,
		InitialBackoff:       50 * time.Millisecond,
		MaxAnswerBytes:       1 << 10,
		MaxShardBytes:        512 << 10,
		MaxCalls:             4096,
		MaxCachedShards:      32,
	}
}

// withMinimums returns the settings with values that are too small to work raised
// to the least that works.
func (s Settings) withMinimums() Settings {
	s.ShardsPerEpoch = max(s.ShardsPerEpoch, 1)
	s.EpochDuration = max(s.EpochDuration, time.Millisecond)
	s.KeyTTL = max(s.KeyTTL, s.EpochDuration)
	s.MaxClockSkew = max(s.MaxClockSkew, 0)
	s.MaxCachedShards = max(s.MaxCachedShards, 1)
	s.MaxCalls = max(s.MaxCalls, 1)
	s.OutcomeWriteDelay = max(s.OutcomeWriteDelay, time.Millisecond)
	s.InitialBackoff = max(s.InitialBackoff, time.Millisecond)
	s.PollInterval = max(s.PollInterval, time.Millisecond)

	return s
}

// ringSize returns the number of epochs after which the names of shards repeat. It
// spans all accepted times of a first attempt, so that two of them never have the
// same shard name in different epochs.
func (s Settings) ringSize() int64 {
	acceptedSpan := s.KeyTTL + s.MaxClockSkew
	return int64((acceptedSpan+s.EpochDuration-1)/s.EpochDuration) + 2
}
