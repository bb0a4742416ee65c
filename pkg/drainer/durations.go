package drainer

import (
	"slices"
	"time"
)

const (
	// maxDurations is the number of a route's requests that count.
	maxDurations = 64
	// maxRoutes limits the routes that are kept.
	maxRoutes = 1024
)

// Durations keeps how long the last requests of each route took. It is not safe for concurrent use.
type Durations struct {
	byRoute map[string][]time.Duration // oldest first
}

// NewDurations returns a Durations that knows none.
func NewDurations() *Durations {
	return &Durations{byRoute: map[string][]time.Duration{}}
}

// Record adds a request that was answered. If there are too many routes, another one is forgotten.
func (d *Durations) Record(route string, duration time.Duration) {
	durations, known := d.byRoute[route]
	for other := range d.byRoute {
		if known || len(d.byRoute) < maxRoutes {
			break
		}
		delete(d.byRoute, other)
	}
	if len(durations) == maxDurations {
		durations = slices.Delete(durations, 0, 1)
	}
	d.byRoute[route] = append(durations, duration)
}

// RecordUnfinished adds a request that ended without its answer after a time. It would have taken longer, so it
// counts if none of its route's last requests took that long. A route of which nothing is known stays unknown.
func (d *Durations) RecordUnfinished(route string, duration time.Duration) {
	if longest := d.Longest(route); longest > 0 && duration > longest {
		d.Record(route, duration)
	}
}

// Longest returns how long the longest of a route's last requests took; zero if there is none.
func (d *Durations) Longest(route string) time.Duration {
	if len(d.byRoute[route]) == 0 {
		return 0
	}

	return slices.Max(d.byRoute[route])
}
