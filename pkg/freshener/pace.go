package freshener

import "time"

// Pace decides when an instance reads from the platform itself. Instances pass
// on what they read, so that few need to read: those of the lowest ranks keep
// knowledge young, the others step in when it ages. No instance is appointed;
// one whose peers fall silent sees its knowledge age and reads.
type Pace struct {
	// Young is the age at which a reader reads.
	Young time.Duration
	// Old is the age at which anyone reads.
	Old time.Duration
	// Retry and RetryOthers are the times after which readers and others
	// repeat a failed read. They double with each failure up to Old.
	Retry, RetryOthers time.Duration
	// Readers is the number of ranks that keep knowledge young.
	Readers int
}

// Standing is what a decision takes in.
type Standing struct {
	// Rank is the number of live instances that come before this one.
	Rank int
	// Age is that of the knowledge; Known is false when there is none.
	Age   time.Duration
	Known bool
	// SinceTry is the time since the last read was sent, Failures the reads
	// in a row that failed.
	SinceTry time.Duration
	Failures int
}

// Due reports whether to read now.
func (p Pace) Due(s Standing) bool {
	if s.Failures > 0 {
		return s.SinceTry >= p.retry(s) && (!s.Known || s.Age >= p.Young)
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

func (p Pace) retry(s Standing) time.Duration {
	wait := p.RetryOthers
	if s.Rank < p.Readers || !s.Known {
		wait = p.Retry
	}
	for i := 1; i < s.Failures && wait < p.Old; i++ {
		wait *= 2
	}

	return min(wait, p.Old)
}
