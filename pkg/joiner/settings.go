package joiner

import "time"

// Settings are the limits of a Joiner.
type Settings struct {
	// FirstChunkProbeDelay is the silence allowed before the first chunk.
	FirstChunkProbeDelay time.Duration
	// Floor is the least silence after which a connection is probed.
	Floor time.Duration
	// Ceiling is the greatest.
	Ceiling time.Duration
	// Gaps is the number of usual gaps that make a silence.
	Gaps int
	// ProbeTimeout is the time allowed for the answer to a probe, and for a
	// resumption to be answered.
	ProbeTimeout time.Duration
	// Tries is the number of probes without an answer, or of resumptions
	// without a new chunk, after which the stream fails.
	Tries int
	// Ahead is the largest number of early chunks kept.
	Ahead int
}

// DefaultSettings returns settings for token streams.
func DefaultSettings() Settings {
	return Settings{
		FirstChunkProbeDelay: 10 * time.Second,
		Floor:                500 * time.Millisecond,
		Ceiling:              10 * time.Second,
		Gaps:                 8,
		ProbeTimeout:         time.Second,
		Tries:                5,
		Ahead:                256,
	}
}
