package freshener

import "time"

// ReadPolicy decides when an instance reads from the platform itself. Instances pass
// on what they read, so that few need to read: those of the lowest ranks keep
// knowledge young, the others step in when it ages. No instance is appointed;
// one whose peers fall silent sees its knowledge age and reads.
type ReadPolicy struct {
	// MinReadAge is the age at which a reader reads.
	MinReadAge time.Duration
	// MaxReadAge is the age at which anyone reads.
	MaxReadAge time.Duration
	// ReaderRetryDelay and RetryOthers are the times after which readers and others
	// repeat a failed read. They double with each failure up to Old.
	ReaderRetryDelay, OtherRetryDelay time.Duration
	// ReaderCount is the number of ranks that keep knowledge young.
	ReaderCount int
}

// ReadState is what a decision takes in.
type ReadState struct {
	// Rank is the number of live instances that come before this one.
	Rank int
	// Age is that of the knowledge; Known is false when there is none.
	Age     time.Duration
	HasData bool
	// SinceLastRead is the time since the last read was sent, Failures the reads
	// in a row that failed.
	SinceLastRead       time.Duration
	ConsecutiveFailures int
}

// IsReadDue reports whether to read now.
func (p ReadPolicy) IsReadDue(s ReadState) bool {
	if s.ConsecutiveFailures > 0 {
		return s.SinceLastRead >= p.retry(s) && (!s.HasData || s.Age >= p.MinReadAge)
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

func (p ReadPolicy) retry(s ReadState) time.Duration {
	wait := p.OtherRetryDelay
	if s.Rank < p.ReaderCount || !s.HasData {
		wait = p.ReaderRetryDelay
	}
	for i := 1; i < s.ConsecutiveFailures && wait < p.MaxReadAge; i++ {
		wait *= 2
	}

	return min(wait, p.MaxReadAge)
}
