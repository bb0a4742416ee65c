// Package registrar decides which registered endpoints exist, from a registry
// that is read in full, watched, and out of reach at times.
//
// While the registry is out of reach, entries lapse in it although their
// endpoints live. So an entry that is missing is believed gone at once only
// when the registry was reachable all the while. After an outage a missing
// entry is kept for Settings.Return; what is not back by then is gone. An entry
// that says its endpoint drains is believed at any time.
//
// Each life of an endpoint is known by its name and the time it was born. A
// Registrar is not safe for concurrent use.
package registrar

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Endpoint is one registered life of an endpoint.
type Endpoint struct {
	// ID is the name that the endpoint itself answers to.
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	// StartedUnixMs is the start of this life in milliseconds since the epoch.
	StartedUnixMs int64
}

// Settings are a registrar's limits.
type Settings struct {
	// ReregistrationWindow is how long after an outage entries may still come back.
	ReregistrationWindow time.Duration
	// MinOutage is the silence of the registry from which on entries may have
	// lapsed in it.
	MinOutage time.Duration
}

// Registrar holds the registered endpoints.
type Registrar struct {
	settings  Settings
	entries   map[string]Endpoint
	missing   map[string]bool
	reached   time.Time
	doubtful  time.Time // until when a missing entry is not believed gone
	listed    bool
	published []Endpoint
}

// New returns a registrar without endpoints.
func New(settings Settings) *Registrar {
	return &Registrar{settings: settings, entries: map[string]Endpoint{}, missing: map[string]bool{}}
}

// Configure takes new limits.
func (r *Registrar) Configure(settings Settings) {
	r.settings = settings
}

// RecordReachable takes in that the registry answered.
func (r *Registrar) RecordReachable(now time.Time) {
	if r.listed && now.Sub(r.reached) > r.settings.MinOutage {
		r.doubtful = now.Add(r.settings.ReregistrationWindow)
	}
	r.reached = now
}

// ApplyListing takes in the whole registry. Call Reached first.
func (r *Registrar) ApplyListing(now time.Time, endpoints []Endpoint) {
	found := map[string]bool{}
	for _, endpoint := range endpoints {
		found[endpoint.ID] = true
		r.set(endpoint)
	}
	for id := range r.entries {
		if !found[id] {
			r.lose(now, id)
		}
	}
	r.listed = true
	r.publish()
}

func (r *Registrar) set(endpoint Endpoint) {
	r.entries[endpoint.ID] = endpoint
	delete(r.missing, endpoint.ID)
}

func (r *Registrar) lose(now time.Time, id string) {
	if now.Before(r.doubtful) {
		r.missing[id] = true

		return
	}
	delete(r.entries, id)
	delete(r.missing, id)
}

// RemoveExpired forgets entries that did not come back in time, and reports whether
// there were any.
func (r *Registrar) RemoveExpired(now time.Time) bool {
	if len(r.missing) == 0 || now.Before(r.doubtful) {
		return false
	}
	for id := range r.missing {
		delete(r.entries, id)
	}
	clear(r.missing)
	r.publish()

	return true
}

// HasListing reports whether the registry was ever read.
func (r *Registrar) HasListing() bool {
	return r.listed
}

// Endpoints returns the endpoints by name. The slice is not changed later.
func (r *Registrar) Endpoints() []Endpoint {
	return r.published
}

func (r *Registrar) publish() {
	r.published = slices.SortedFunc(maps.Values(r.entries), func(a, b Endpoint) int {
		return strings.Compare(a.ID, b.ID)
	})
}
