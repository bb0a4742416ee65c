package profiler

import (
	"sync/atomic"
	"time"
)

// simulatedClock is the clock of a simulation. It moves only when advance is called, and
// may be read from any goroutine.
type simulatedClock struct {
	elapsed atomic.Int64
}

// Now returns the simulated time.
func (c *simulatedClock) Now() time.Time {
	return simulationStart.Add(time.Duration(c.elapsed.Load()))
}

// advance moves the clock forward by a step.
func (c *simulatedClock) advance(step time.Duration) {
	c.elapsed.Add(int64(step))
}

// intervalTimer determines when a periodic step of the simulation is due. The zero value of
// nextDue makes the first step due at once.
type intervalTimer struct {
	interval time.Duration
	nextDue  time.Time
}

// fireIfDue reports whether the step is due. If so, it also sets the time of the next
// one.
func (t *intervalTimer) fireIfDue(now time.Time) bool {
	if now.Before(t.nextDue) {
		return false
	}
	t.nextDue = now.Add(t.interval)

	return true
}
