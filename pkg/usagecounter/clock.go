package usagecounter

import (
	"slices"
	"time"
)

const (
	// statementLifetime is how long a peer's statement of its time of day is used.
	statementLifetime = 10 * time.Second
)

// Clock tells true time: the offset between the time of day and the clock since boot is the median
// of what this instance and its peers state, so that a jump of a few machines' clocks has no effect.
type Clock struct {
	statements map[string]statement // by peer
	offset     time.Duration
	updatedAt  time.Duration
	hasOffset  bool
}

// statement is the offset by a peer's statement.
type statement struct {
	offset time.Duration
	at     time.Duration // since boot
}

// NewClock returns a clock of which only this instance's time of day is known.
func NewClock() *Clock {
	return &Clock{statements: map[string]statement{}}
}

// Receive records the time of day that a peer stated in a message that has just arrived.
func (c *Clock) Receive(sinceBoot time.Duration, peer string, timeOfDay time.Duration) {
	c.statements[peer] = statement{offset: timeOfDay - sinceBoot, at: sinceBoot}
}

// TrueTime returns the true time. timeOfDay is this machine's.
func (c *Clock) TrueTime(sinceBoot, timeOfDay time.Duration) time.Duration {
	if c.hasOffset && sinceBoot-c.updatedAt < time.Second {
		return sinceBoot + c.offset
	}
	offsets := make([]time.Duration, 0, len(c.statements)+1)
	offsets = append(offsets, timeOfDay-sinceBoot)
	for peer, s := range c.statements {
		if sinceBoot-s.at > statementLifetime {
			delete(c.statements, peer)

			continue
		}
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	c.offset, c.updatedAt, c.hasOffset = offsets[len(offsets)/2], sinceBoot, true

	return sinceBoot + c.offset
}
