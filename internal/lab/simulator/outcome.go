package simulator

import "fmt"

// Outcome counts the results of the requests that arrived after the warm-up.
type Outcome struct {
	// FinishedShort and FinishedLong count answered prompts, LateShort and LateLong
	// those of them that missed a latency target.
	FinishedShort, LateShort int
	FinishedLong, LateLong   int
	// Refused counts requests that no engine took, Lost those that were aborted
	// by a crash or timed out at an engine.
	Refused, Lost int
	// AvoidableRefusals counts how often an engine with a full queue refused a
	// request while another engine had a free slot.
	AvoidableRefusals int
	// PrefilledTokens counts the prompt tokens that engines prefilled;
	// RepeatedPrefixTokens those of shared prefixes that some engine had prefilled
	// before.
	PrefilledTokens, RepeatedPrefixTokens int
	// StartedIn counts the streams that began in each data centre.
	StartedIn [maxDataCentres]int
}

// maxDataCentres is the number of data centres that are counted apart.
const maxDataCentres = 8

// recordFinished counts a finished sequence and whether it met its targets. Pauses
// within the stream count for short prompts only.
func (o *Outcome) recordFinished(s *sequence) {
	if s.isLong {
		o.FinishedLong++
		if s.timeToFirstToken > longFirstTokenTarget {
			o.LateLong++
		}

		return
	}
	o.FinishedShort++
	if s.timeToFirstToken > shortFirstTokenTarget || s.longestPause > maxStreamPause {
		o.LateShort++
	}
}

// Plus returns the sum of two outcomes.
func (o Outcome) Plus(other Outcome) Outcome {
	o.FinishedShort += other.FinishedShort
	o.LateShort += other.LateShort
	o.FinishedLong += other.FinishedLong
	o.LateLong += other.LateLong
	o.Refused += other.Refused
	o.Lost += other.Lost
	o.AvoidableRefusals += other.AvoidableRefusals
	o.PrefilledTokens += other.PrefilledTokens
	o.RepeatedPrefixTokens += other.RepeatedPrefixTokens
	for i, count := range other.StartedIn {
		o.StartedIn[i] += count
	}

	return o
}

// Missed returns how many requests were answered late or not at all.
func (o Outcome) Missed() int {
	return o.LateShort + o.LateLong + o.Refused + o.Lost
}

// String returns the counts as one line.
func (o Outcome) String() string {
	return fmt.Sprintf("%d of %d short late, %d of %d long late, %d refused, %d refusals beside a free slot, %d lost, %d tokens read, %d of shared parts again",
		o.LateShort, o.FinishedShort, o.LateLong, o.FinishedLong, o.Refused, o.AvoidableRefusals, o.Lost, o.PrefilledTokens, o.RepeatedPrefixTokens)
}
