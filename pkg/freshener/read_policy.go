package freshener

import "time"

// ReadPolicy decides when an instance reads from the platform itself. Instances pass
// on what they read, so only a few need to: those with the lowest ranks keep the data
// recent, and the others read when it gets old. No instance is appointed as a reader:
// one whose peers stop passing data on sees its data age, and reads.
type Pace struct {
	// MinReadAge is the age of the data at which the instance with rank 0 reads.
	Young time.Duration
	// MaxReadAge is the age of the data at which every instance reads.
	Old time.Duration
	// ReaderRetryDelay and OtherRetryDelay are the times after which readers and
	// other instances repeat a failed read. They double with each further failure, up
	// to MaxReadAge.
	Retry, RetryOthers time.Duration
	// ReaderCount is the number of lowest ranks whose instances are readers: they
	// keep the data recent.
	Readers int
}

// ReadState is the state that a ReadPolicy decides by.
type Standing struct {
	// Rank is the number of live instances that come before this one.
	Rank int
	// Age is the age of the data. HasData is false if there is none.
	Age   time.Duration
	Known bool
	// SinceLastRead is the time since the last read was sent. ConsecutiveFailures is
	// the number of reads that failed since the last successful one.
	SinceTry time.Duration
	Failures int
}

// IsReadDue reports whether the instance should read now.
func (p Pace) Due(s Standing) bool {
	if s.Failures > 0 {
		return s.SinceTry >= p.retryDelay(s) && (!s.Known || s.Age >= p.Young)
	}
	switch {
	case !s.Known:
		return true
	case s.Rank == 0:
		return s.Age >= p.Young
	case s.Rank < p.Readers:
		return s.Age >= (p.Young+p.Old)/2
	}

	return s.Age >= p.Old
}

// retryDelay returns the time between a failed read and the next one. An instance
// without data retries as often as a reader.
func (p Pace) retryDelay(s Standing) time.Duration {
	delay := p.RetryOthers
	if s.Rank < p.Readers || !s.Known {
		delay = p.Retry
	}
	for i := 1; i < s.Failures && delay < p.Old; i++ {
		delay *= 2
	}

	return min(delay, p.Old)
}
