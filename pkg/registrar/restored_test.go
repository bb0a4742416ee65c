package registrar_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

const window = 2 * time.Second

func incarnation(id string, startedUnixMs int64, draining bool) registrar.Endpoint {
	return registrar.Endpoint{ID: id, Service: "s", StartedUnixMs: startedUnixMs, Draining: draining}
}

// Guards against instances dropping live endpoints, sending to draining ones or taking up
// those that have left, because the registry came back from an older copy without an
// outage that they noticed.
func TestCopyDoesNotReplaceWhatIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registrar.New(registrar.Settings{ReregistrationWindow: window, MinOutage: 1500 * time.Millisecond})
	apply := func(endpoints ...registrar.Endpoint) {
		r.RecordReachable(now, now)
		r.ApplyListing(now, endpoints)
	}
	apply(incarnation("left", 1, false), incarnation("drains", 1, false), incarnation("restarted", 1, false))
	now = now.Add(time.Second)
	apply(incarnation("new", 1, false), incarnation("drains", 1, true), incarnation("restarted", 2, false))

	now = now.Add(time.Second)
	r.RecordRestored(now)
	theCopy := []registrar.Endpoint{incarnation("left", 1, false), incarnation("drains", 1, false), incarnation("restarted", 1, false)}
	apply(theCopy...)
	assert.DeepEqual(t, r.Endpoints(), []registrar.Endpoint{incarnation("drains", 1, true), incarnation("new", 1, false), incarnation("restarted", 2, false)})

	now = now.Add(window)
	assert.Assert(t, r.RemoveExpired(now))
	// After the window the registry is believed.
	assert.DeepEqual(t, r.Endpoints(), []registrar.Endpoint{incarnation("drains", 1, false), incarnation("left", 1, false), incarnation("restarted", 1, false)})
	assert.Assert(t, !r.RemoveExpired(now))
}

// Guards against entries of a copy being forgotten that are held back, and against newer incarnations
// being dropped for them, because departures are applied before each listing.
func TestDeparturesLeaveWhatIsHeldBack(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registrar.New(registrar.Settings{ReregistrationWindow: window, MinOutage: 1500 * time.Millisecond})
	list := func(endpoints ...registrar.Endpoint) registrar.Changes {
		r.RecordReachable(now, now)
		changes := r.ApplyDepartures(now, endpoints)
		now = now.Add(100 * time.Millisecond)

		return changes
	}
	r.RecordReachable(now, now)
	r.ApplyListing(now, []registrar.Endpoint{incarnation("drains", 1, false), incarnation("left", 1, false), incarnation("restarted", 1, false)})
	changes := list(incarnation("drains", 1, true), incarnation("restarted", 2, false))
	slices.Sort(changes.Removed)
	assert.DeepEqual(t, changes, registrar.Changes{Draining: []string{"drains"}, Removed: []string{"left", "restarted"}})
	r.ApplyListing(now, []registrar.Endpoint{incarnation("drains", 1, true), incarnation("restarted", 2, false)})

	r.RecordRestored(now)
	theCopy := []registrar.Endpoint{incarnation("drains", 1, false), incarnation("left", 1, false), incarnation("restarted", 1, false)}
	r.ApplyListing(now, theCopy)
	assert.DeepEqual(t, list(theCopy...), registrar.Changes{})
	assert.DeepEqual(t, r.Endpoints(), []registrar.Endpoint{incarnation("drains", 1, true), incarnation("restarted", 2, false)})
	now = now.Add(window)
	assert.Assert(t, r.RemoveExpired(now))
	assert.DeepEqual(t, r.Endpoints(), theCopy) // After the window the registry is believed.
}

// Guards against any interleaving of registrations, drains, removals, listings and
// restorations, several in a row, breaking what must hold in the window after one.
func TestKnowledgeSurvivesRestorations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		r := registrar.New(registrar.Settings{ReregistrationWindow: window, MinOutage: 1500 * time.Millisecond})
		store, saved := map[string]registrar.Endpoint{}, map[string]registrar.Endpoint{}
		var restoredAt time.Time
		removed := map[string]int64{} // latest incarnation that a listing lacked, by ID
		list := func() {
			before := r.Endpoints()
			listed := make([]registrar.Endpoint, 0, len(store))
			for _, e := range store {
				listed = append(listed, e)
			}
			r.RemoveExpired(now)
			r.RecordReachable(now, now)
			r.ApplyDepartures(now, listed)
			r.ApplyListing(now, listed)
			after := map[string]registrar.Endpoint{}
			for _, e := range r.Endpoints() {
				after[e.ID] = e
			}
			inWindow := !restoredAt.IsZero() && now.Before(restoredAt.Add(window))
			for _, known := range before {
				current, found := after[known.ID]
				if !inWindow {
					if !found {
						removed[known.ID] = known.StartedUnixMs
					}

					continue
				}
				assert.Assert(t, found, "%s was dropped", known.ID)
				assert.Assert(t, current.StartedUnixMs >= known.StartedUnixMs, "%s went back", known.ID)
				assert.Assert(t, current.StartedUnixMs > known.StartedUnixMs || current.Draining || !known.Draining, "%s is sent work again", known.ID)
			}
			if inWindow {
				for id, startedUnixMs := range removed {
					current, found := after[id]
					assert.Assert(t, !found || current.StartedUnixMs > startedUnixMs, "%s was taken up again", id)
				}
			} else {
				for id := range after {
					delete(removed, id)
				}
			}
		}
		list()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "endpoint"))
			switch rapid.SampledFrom([]string{"start", "drain", "leave", "list", "wait", "save", "restore"}).Draw(t, "step") {
			case "start":
				store[id] = incarnation(id, now.UnixMilli(), false)
			case "drain":
				if e, ok := store[id]; ok {
					e.Draining = true
					store[id] = e
				}
			case "leave":
				delete(store, id)
			case "list":
				list()
			case "wait":
				now = now.Add(time.Duration(rapid.IntRange(1, 1400).Draw(t, "ms")) * time.Millisecond)
			case "save":
				saved = cloneEntries(store)
			case "restore":
				list() // What the registrar has not seen cannot survive.
				store, restoredAt = cloneEntries(saved), now
				r.RecordRestored(now)
			}
		}
		list()
	})
}

func cloneEntries(entries map[string]registrar.Endpoint) map[string]registrar.Endpoint {
	cloned := map[string]registrar.Endpoint{}
	for id, e := range entries {
		cloned[id] = e
	}

	return cloned
}
