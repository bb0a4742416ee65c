package controller

import "time"

// Clock runs a controller in simulated time.
type Clock struct {
	// Now returns the simulated time.
	Now func() time.Time
	// Ticks delivers the simulated time of each tick. It replaces the ticker that fires
	// every TickInterval.
	Ticks <-chan time.Time
}

func (c *Clock) now() time.Time {
	if c == nil {
		return time.Now()
	}

	return c.Now()
}

func (c *Clock) ticks() (ticks <-chan time.Time, stop func()) {
	if c == nil {
		ticker := time.NewTicker(TickInterval)

		return ticker.C, ticker.Stop
	}

	return c.Ticks, func() {}
}
