package freshener

import "time"

// ReadPolicy decides when an instance reads from the platform itself. Instances pass
// on what they read, so only a few need to: those with the lowest ranks keep the data
// recent, and the others read when it gets old. No instance is appointed as a reader:
// one whose peers stop passing data on sees its data age, and reads.
type ReadPolicy struct {
	// MinReadAge is the age of the data at which the instance with rank 0 reads.
	MinReadAge time.Duration
	// MaxReadAge is the age of the data at which every instance reads.
	MaxReadAge time.Duration
	// ReaderRetryDelay and NonReaderRetryDelay are the times after which readers and
	// other instances repeat a failed read. They double with each further failure, up
	// to MaxReadAge.
	ReaderRetryDelay, NonReaderRetryDelay time.Duration
	// ReaderCount is the number of lowest ranks whose instances are readers: they
	// keep the data recent. Readers other than rank 0 read at an age halfway between
	// MinReadAge and MaxReadAge.
	ReaderCount int
}

// WithAgesScaled returns the policy with ages multiplied by a factor.
func (p ReadPolicy) WithAgesScaled(factor float64) ReadPolicy {
	p.MinReadAge = time.Duration(float64(p.MinReadAge) * factor)
	p.MaxReadAge = time.Duration(float64(p.MaxReadAge) * factor)

	return p
}

// ReadState is the state that a ReadPolicy decides by.
type ReadState struct {
	// Rank is the number of live instances that come before this one.
	Rank int
	// Age is the age of the data. HasData is false if there is none.
	Age     time.Duration
	HasData bool
	// SinceLastRead is the time since the last read was sent. ConsecutiveFailures is
	// the number of reads that failed since the last successful one.
	SinceLastRead       time.Duration
	ConsecutiveFailures int
}

// IsReadDue reports whether the instance should read now.
func (p ReadPolicy) IsReadDue(s ReadState) bool {
	if s.ConsecutiveFailures > 0 {
		return s.SinceLastRead >= p.retryDelay(s) && (!s.HasData || s.Age >= p.MinReadAge)
	}
	switch {
	case !s.HasData:
		return true
	case s.Rank == 0:
		return s.Age >= p.MinReadAge
	case s.Rank < p.ReaderCount:
		return s.Age >= (p.MinReadAge+p.MaxReadAge)/2
	}

	return s.Age >= p.MaxReadAge
}

// retryDelay returns the time between a failed read and the next one. An instance
// without data retries as often as a reader.
func (p ReadPolicy) retryDelay(s ReadState) time.Duration {
	delay := p.NonReaderRetryDelay
	if s.Rank < p.ReaderCount || !s.HasData {
		delay = p.ReaderRetryDelay
	}
	for i := 1; i < s.ConsecutiveFailures && delay < p.MaxReadAge; i++ {
		delay *= 2
	}

	return min(delay, p.MaxReadAge)
}
