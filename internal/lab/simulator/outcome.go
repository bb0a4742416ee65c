package simulator

import "fmt"

// Outcome counts what became of the requests, warm-up apart.
type Outcome struct {
	Short, LateShort int
	Long, LateLong   int
	// Refused requests were told to come back, Lost ones broke off.
	Refused, Lost int
	// Read is the prompt tokens that engines read, Again those of shared parts
	// that an engine had read before.
	Read, Again int
}

func (o *Outcome) count(s *sequence) {
	if s.long {
		o.Long++
		if s.first > longTarget {
			o.LateLong++
		}

		return
	}
	o.Short++
	if s.first > shortTarget || s.pause > pauseLimit {
		o.LateShort++
	}
}

// Plus returns the sum of two outcomes.
func (o Outcome) Plus(other Outcome) Outcome {
	o.Short += other.Short
	o.LateShort += other.LateShort
	o.Long += other.Long
	o.LateLong += other.LateLong
	o.Refused += other.Refused
	o.Lost += other.Lost
	o.Read += other.Read
	o.Again += other.Again

	return o
}

// Missed is the requests that were not answered in time.
func (o Outcome) Missed() int {
	return o.LateShort + o.LateLong + o.Refused + o.Lost
}

// String returns the counts as one line.
func (o Outcome) String() string {
	return fmt.Sprintf("%d of %d short late, %d of %d long late, %d refused, %d lost, %d tokens read, %d of shared parts again",
		o.LateShort, o.Short, o.LateLong, o.Long, o.Refused, o.Lost, o.Read, o.Again)
}
