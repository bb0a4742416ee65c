package dispatcher

import (
	"maps"
	"time"
)

// Availability is what an endpoint's answer says of its taking further requests.
type Availability struct {
	// IsLeaving reports whether the endpoint says that it leaves.
	IsLeaving bool
	// Pause is how long the endpoint wants no requests from this instance; zero if it does
	// not say so.
	Pause time.Duration
}

// RecordAvailability records what an endpoint's answer said of its taking further requests.
func (d *Dispatcher) RecordAvailability(placement Placement, availability Availability) {
	d.withState(func() {
		endpoint := placement.EndpointID
		if availability.IsLeaving && d.registry.RecordLeaving(endpoint) {
			d.logger.Info("Endpoint says that it leaves.", "endpoint", endpoint)
			d.updatePlacer()
		}
		if now := d.clock.Now(); availability.Pause > 0 && d.placer.HasEndpoint(endpoint) {
			end := d.pauser.Record(now, endpoint, availability.Pause)
			d.logger.Info("Endpoint asks for a pause.", "endpoint", endpoint, "asked ms", availability.Pause.Milliseconds(),
				"paused ms", end.Sub(now).Milliseconds())
		}
	})
}

// blockedEndpoints returns the endpoints that a request of a tier may not go to now, because
// they pause or have reached their limits, and until when; nil if there are none. If mayRequest
// is false, endpoints are blocked too if a permit must be requested first.
func (d *Dispatcher) blockedEndpoints(now time.Time, tier int, mayRequest bool) map[string]time.Time {
	blocked, paused := d.throttler.Blocked(now, tier, mayRequest), d.pauser.Ends(now)
	if blocked == nil {
		return paused
	}
	for endpoint, end := range maps.All(paused) {
		if end.After(blocked[endpoint]) {
			blocked[endpoint] = end
		}
	}

	return blocked
}
