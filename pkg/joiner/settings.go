package joiner

import "time"

// Settings holds the delays and limits of a Joiner.
type Settings struct {
	// FirstChunkProbeDelay is the time without a first chunk after which the stream is
	// probed.
	FirstChunkProbeDelay time.Duration
	// MinProbeDelay is the shortest time without a new chunk, once the first
	// has arrived, after which the stream is probed.
	MinProbeDelay time.Duration
	// MaxProbeDelay is the longest time without a new chunk, once the first has
	// arrived, after which the stream is probed.
	MaxProbeDelay time.Duration
	// GapMultiplier is the number of mean gaps between chunks, four times their
	// deviation added, after which the stream is probed.
	GapMultiplier int
	// ReplyTimeout is the time in which a probe or a resumption must be
	// answered.
	ReplyTimeout time.Duration
	// MaxAttempts is the number of probes without an answer, or of resumptions
	// without a new chunk, after which the stream fails.
	MaxAttempts int
	// MaxEarlyChunks is the largest number of chunks stored out of order.
	MaxEarlyChunks int
}

// DefaultSettings returns settings for streams of tokens.
func DefaultSettings() Settings {
	return Settings{
		FirstChunkProbeDelay: 10 * time.Second,
		MinProbeDelay:        500 * time.Millisecond,
		MaxProbeDelay:        10 * time.Second,
		GapMultiplier:        8,
		ReplyTimeout:         time.Second,
		MaxAttempts:          5,
		MaxEarlyChunks:       256,
	}
}
