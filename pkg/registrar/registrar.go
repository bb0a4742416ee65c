// Package registrar decides which registered endpoints exist, given a registry that
// is listed in full from time to time and is sometimes unreachable.
//
// While the registry is unreachable, entries may expire in it although their
// endpoints still run. So an entry that is missing from a listing is removed at once
// unless the registry was unreachable before. After an outage, a missing entry
// is kept for Settings.ReregistrationWindow, and removed if it has not come back by
// then. An entry that marks its endpoint as draining takes effect at any time.
//
// Time between two answers counts as an outage only if a read failed in it, or if it was so long
// that entries may have expired.
//
// A registry may also come back from an older copy. Its entries are then those of some
// time ago, until the endpoints have renewed them. For Settings.ReregistrationWindow,
// what is known of an incarnation goes before the copy: missing entries are kept, a
// draining incarnation stays so, and one that had been removed or replaced is not added
// again.
//
// An endpoint may also say itself that it leaves. That counts as draining for as long as
// the incarnation exists, whatever its entry says.
//
// An endpoint that restarts keeps its ID; its incarnations differ in the
// time at which they started. A Registrar is not safe for concurrent use.
package registrar

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Endpoint is one incarnation of a registered endpoint.
type Endpoint struct {
	// ID is the name that the endpoint itself uses.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that the endpoint runs at once.
	Slots    int
	Draining bool
	// Version is the version of the software that this incarnation runs; empty if its entry
	// does not state it.
	Version string
	// StartedUnixMs is the time at which this incarnation started, in milliseconds
	// since the Unix epoch.
	StartedUnixMs int64
	// Spot is true if the platform may reclaim the endpoint at short notice.
	Spot bool
	// LeavesIn is how long after the listing the endpoint leaves, as its entry states; 0 if unknown.
	LeavesIn time.Duration
}

// IsLeaving reports whether the endpoint is known to leave.
func (e Endpoint) IsLeaving() bool {
	return e.Draining || e.LeavesIn > 0
}

// Settings are the time limits of a registrar.
type Settings struct {
	// ReregistrationWindow is how long after an outage of the registry a missing
	// entry may still come back.
	ReregistrationWindow time.Duration
	// MinOutage is the shortest silence of the registry that counts as an outage if a read
	// failed in it.
	MinOutage time.Duration
}

// entryLifetime is the silence of the registry, with or without a failed read, in which entries
// that were not renewed have expired.
const entryLifetime = 3500 * time.Millisecond

// Registrar holds the registered endpoints.
type Registrar struct {
	settings         Settings
	entries          map[string]Endpoint // by ID
	missing          map[string]bool     // IDs of entries kept after an outage
	lastReadAt       time.Time           // when the last read that was answered was sent
	failedReadAt     time.Time           // when the last read that failed was sent
	keepMissingUntil time.Time           // end of the reregistration window
	isRestored       bool                // the window follows a return from an older copy
	heldBack         map[string]Endpoint // entries of the copy that are not used in the window, by ID
	removed          []removedEntry      // oldest first
	leaving          map[string]int64    // start times of the incarnations that said that they leave, by ID
	hasListing       bool
	sortedEndpoints  []Endpoint // the entries by ID; replaced, never changed
}

// removedEntry is an incarnation that the registry no longer listed.
type removedEntry struct {
	endpoint  Endpoint
	removedAt time.Time
}

const (
	// maxRemovedEntries and removedEntryTTL limit the removed incarnations that are
	// remembered. A copy is some seconds old.
	maxRemovedEntries = 1024
	removedEntryTTL   = time.Minute
)

// New returns a registrar without endpoints.
func New(settings Settings) *Registrar {
	return &Registrar{settings: settings, entries: map[string]Endpoint{}, missing: map[string]bool{}, heldBack: map[string]Endpoint{}, leaving: map[string]int64{}}
}

// Configure replaces the settings.
func (r *Registrar) Configure(settings Settings) {
	r.settings = settings
}

// RecordFailedRead records that a read of the registry failed that was sent at a time.
func (r *Registrar) RecordFailedRead(readAt time.Time) {
	r.failedReadAt = readAt
}

// RecordReachable records that the registry answered a read that was sent at a time. If that ends
// an outage, missing entries are kept from now on for ReregistrationWindow. It returns the time
// between the sending of this read and of the one that was answered before, and whether that counts
// as an outage. A read that was sent before that one changes nothing.
func (r *Registrar) RecordReachable(now, readAt time.Time) (silence time.Duration, isOutage bool) {
	if r.hasListing && !readAt.After(r.lastReadAt) {
		return 0, false
	}
	if r.hasListing {
		silence = readAt.Sub(r.lastReadAt)
	}
	isOutage = silence > entryLifetime || (silence > r.settings.MinOutage && r.failedReadAt.After(r.lastReadAt))
	if isOutage {
		r.keepMissingUntil = now.Add(r.settings.ReregistrationWindow)
	}
	r.lastReadAt = readAt

	return silence, isOutage
}

// RecordRestored records that the registry came back from an older copy. It begins a
// reregistration window, whether or not the registry was silent.
func (r *Registrar) RecordRestored(now time.Time) {
	if !r.hasListing {
		return
	}
	r.keepMissingUntil = now.Add(r.settings.ReregistrationWindow)
	r.isRestored = true
}

// Changes are what a listing changed, as IDs of endpoints.
type Changes struct {
	// Draining are the endpoints that drain since this listing, and Removed those that it lacks.
	Draining, Removed []string
	// Kept are those that it lacks, unlike the one before, and that are kept in the reregistration
	// window.
	Kept []string
}

// ApplyListing replaces the entries by a complete listing of the registry, and returns what
// changed for the endpoints that were known. Call RecordReachable first.
func (r *Registrar) ApplyListing(now time.Time, endpoints []Endpoint) (changes Changes) {
	listed := map[string]bool{}
	clear(r.heldBack)
	for _, endpoint := range endpoints {
		listed[endpoint.ID] = true
		if r.isRestored && now.Before(r.keepMissingUntil) && r.isOutdated(endpoint) {
			r.heldBack[endpoint.ID] = endpoint

			continue
		}
		known, isKnown := r.entries[endpoint.ID]
		if isKnown && known.StartedUnixMs != endpoint.StartedUnixMs {
			r.rememberRemoved(now, known)
		}
		if isKnown && !known.Draining && endpoint.Draining {
			changes.Draining = append(changes.Draining, endpoint.ID)
		}
		r.setEntry(endpoint)
	}
	for id := range r.entries {
		if !listed[id] {
			r.recordMissing(now, id, &changes)
		}
	}
	r.hasListing = true
	r.updateSortedEndpoints()

	return changes
}

// ApplyDepartures applies of a complete listing only what it says of the incarnations that are
// known: those that drain and those that are gone. It adds none, for listings whose new endpoints
// may not be used yet. Call RecordReachable first.
func (r *Registrar) ApplyDepartures(now time.Time, endpoints []Endpoint) (changes Changes) {
	listed := make(map[string]Endpoint, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.ID] = endpoint
	}
	for id, known := range r.entries {
		endpoint, isListed := listed[id]
		switch {
		case isListed && r.isRestored && now.Before(r.keepMissingUntil) && r.isOutdated(endpoint):
		case !isListed:
			r.recordMissing(now, id, &changes)
		case endpoint.StartedUnixMs != known.StartedUnixMs:
			r.remove(now, id)
			changes.Removed = append(changes.Removed, id)
		case endpoint.Draining && !known.Draining:
			changes.Draining = append(changes.Draining, id)
			r.setEntry(endpoint)
		}
	}
	if len(changes.Draining)+len(changes.Removed) > 0 {
		r.updateSortedEndpoints()
	}

	return changes
}

// recordMissing handles an entry that a listing does not contain, and adds to the changes what is
// new of it.
func (r *Registrar) recordMissing(now time.Time, id string, changes *Changes) {
	wasMissing := r.missing[id]
	switch isKept := r.removeOrKeep(now, id); {
	case !isKept:
		changes.Removed = append(changes.Removed, id)
	case !wasMissing:
		changes.Kept = append(changes.Kept, id)
	}
}

// isOutdated reports whether more is known of a listed incarnation than its entry says: it
// was draining, had been removed or had been followed by a later one.
func (r *Registrar) isOutdated(listed Endpoint) bool {
	if known, ok := r.entries[listed.ID]; ok {
		return known.StartedUnixMs > listed.StartedUnixMs || (known.StartedUnixMs == listed.StartedUnixMs && known.Draining && !listed.Draining)
	}

	return slices.ContainsFunc(r.removed, func(e removedEntry) bool {
		return e.endpoint.ID == listed.ID && e.endpoint.StartedUnixMs >= listed.StartedUnixMs
	})
}

// rememberRemoved remembers that the registry no longer lists an incarnation.
func (r *Registrar) rememberRemoved(now time.Time, endpoint Endpoint) {
	r.removed = append(r.removed, removedEntry{endpoint, now})
	expired := 0
	for expired < len(r.removed) && (len(r.removed)-expired > maxRemovedEntries || now.Sub(r.removed[expired].removedAt) > removedEntryTTL) {
		delete(r.leaving, r.removed[expired].endpoint.ID)
		expired++
	}
	r.removed = r.removed[expired:]
}

// RecordLeaving records that a registered endpoint said itself that it leaves, and reports
// whether that was not known.
func (r *Registrar) RecordLeaving(id string) bool {
	endpoint, ok := r.entries[id]
	if !ok || endpoint.Draining {
		return false
	}
	r.leaving[id] = endpoint.StartedUnixMs
	r.setEntry(endpoint)
	r.updateSortedEndpoints()

	return true
}

// setEntry sets the entry of an endpoint, as draining if its incarnation said that it leaves.
func (r *Registrar) setEntry(endpoint Endpoint) {
	if startedUnixMs, ok := r.leaving[endpoint.ID]; ok {
		if startedUnixMs == endpoint.StartedUnixMs {
			endpoint.Draining = true
		} else {
			delete(r.leaving, endpoint.ID)
		}
	}
	r.entries[endpoint.ID] = endpoint
	delete(r.missing, endpoint.ID)
}

// removeOrKeep handles an entry that a listing does not contain: it keeps the entry
// as missing during the reregistration window, and removes it otherwise. It reports whether
// the entry is kept.
func (r *Registrar) removeOrKeep(now time.Time, id string) bool {
	if now.Before(r.keepMissingUntil) {
		r.missing[id] = true

		return true
	}
	r.remove(now, id)

	return false
}

// remove removes an entry.
func (r *Registrar) remove(now time.Time, id string) {
	r.rememberRemoved(now, r.entries[id])
	delete(r.entries, id)
	delete(r.missing, id)
}

// RemoveExpired ends the reregistration window when it is over: it removes missing
// entries and uses those of a copy that were held back. It reports whether there were
// any.
func (r *Registrar) RemoveExpired(now time.Time) bool {
	if now.Before(r.keepMissingUntil) {
		return false
	}
	r.isRestored = false
	if len(r.missing)+len(r.heldBack) == 0 {
		return false
	}
	for id := range r.missing {
		r.rememberRemoved(now, r.entries[id])
		delete(r.entries, id)
	}
	clear(r.missing)
	for _, endpoint := range r.heldBack {
		r.setEntry(endpoint)
	}
	clear(r.heldBack)
	r.updateSortedEndpoints()

	return true
}

// OnlyVersion returns the version of a service's software if it is the only one of which
// endpoints are registered, or were within removedEntryTTL. It returns false if there are
// several, or if an endpoint's is unknown.
func (r *Registrar) OnlyVersion(now time.Time, service string) (string, bool) {
	versions := map[string]bool{}
	for _, endpoints := range []map[string]Endpoint{r.entries, r.heldBack} {
		for _, endpoint := range endpoints {
			if endpoint.Service == service {
				versions[endpoint.Version] = true
			}
		}
	}
	for _, removed := range r.removed {
		if removed.endpoint.Service == service && now.Sub(removed.removedAt) <= removedEntryTTL {
			versions[removed.endpoint.Version] = true
		}
	}
	if len(versions) != 1 || versions[""] {
		return "", false
	}
	for version := range versions {
		return version, true
	}

	return "", false
}

// TakesRequests reports whether an incarnation of an endpoint is registered and not leaving.
func (r *Registrar) TakesRequests(id string, startedUnixMs int64) bool {
	endpoint, ok := r.entries[id]

	return ok && endpoint.StartedUnixMs == startedUnixMs && !endpoint.Draining
}

// HasListing reports whether the registry has been listed at least once.
func (r *Registrar) HasListing() bool {
	return r.hasListing
}

// Endpoints returns the registered endpoints sorted by ID. The returned slice does
// not change later.
func (r *Registrar) Endpoints() []Endpoint {
	return r.sortedEndpoints
}

func (r *Registrar) updateSortedEndpoints() {
	r.sortedEndpoints = slices.SortedFunc(maps.Values(r.entries), func(a, b Endpoint) int {
		return strings.Compare(a.ID, b.ID)
	})
}
