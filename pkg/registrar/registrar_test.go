package registrar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

var (
	start     = time.Unix(1000, 0)
	settings  = registrar.Settings{ReregistrationWindow: 2 * time.Second, MinOutage: 1500 * time.Millisecond}
	endpointA = registrar.Endpoint{ID: "a", Service: "s"}
	endpointB = registrar.Endpoint{ID: "b", Service: "s"}
)

// endpointIDs returns the IDs of the registered endpoints in one string, with a minus
// sign after each that drains.
func endpointIDs(r *registrar.Registrar) (ids string) {
	for _, e := range r.Endpoints() {
		ids += e.ID
		if e.Draining {
			ids += "-"
		}
	}

	return ids
}

// applyListing applies a listing that the registry answered at a time after start.
func applyListing(r *registrar.Registrar, sinceStart time.Duration, endpoints ...registrar.Endpoint) {
	r.RecordReachable(start.Add(sinceStart), start.Add(sinceStart))
	r.ApplyListing(start.Add(sinceStart), endpoints)
}

func TestMissingEntryIsRemovedAtOnceWithoutOutage(t *testing.T) {
	r := registrar.New(settings)
	assert.Assert(t, !r.HasListing())
	applyListing(r, 0, endpointA, endpointB)
	applyListing(r, time.Second, endpointA)
	assert.Equal(t, endpointIDs(r), "a")
}

func TestEntryMissingAfterOutageIsKeptForReregistrationWindow(t *testing.T) {
	for name, test := range map[string]struct {
		registersAgain bool
		want           string
	}{
		"registers again": {true, "ab"},
		"stays missing":   {false, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(settings)
			applyListing(r, 0, endpointA, endpointB)
			applyListing(r, 5*time.Second, endpointA)
			assert.Equal(t, endpointIDs(r), "ab", "b expired while the registry was unreachable")
			assert.Assert(t, !r.RemoveExpired(start.Add(6*time.Second)))
			if test.registersAgain {
				applyListing(r, 6*time.Second, endpointA, endpointB)
			} else {
				applyListing(r, 6*time.Second, endpointA)
			}
			r.RemoveExpired(start.Add(7 * time.Second))
			assert.Equal(t, endpointIDs(r), test.want)
		})
	}
}

// Guards against an endpoint that is gone staying in use, because the platform was not asked for a
// while or answered slowly, which is no outage in which its entry may have expired.
func TestSilenceIsAnOutageOnlyIfAReadFailed(t *testing.T) {
	for name, test := range map[string]struct {
		silence time.Duration
		fails   bool
		want    string
	}{
		"nobody asked":           {2900 * time.Millisecond, false, "a"},
		"a read failed":          {1600 * time.Millisecond, true, "ab"},
		"a read failed, shortly": {1400 * time.Millisecond, true, "a"},
		"the instance stood":     {4 * time.Second, false, "ab"},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(settings)
			r.RecordFailedRead(start.Add(-time.Millisecond))
			applyListing(r, 0, endpointA, endpointB)
			if test.fails {
				r.RecordFailedRead(start.Add(time.Second))
			}
			applyListing(r, test.silence, endpointA)
			assert.Equal(t, endpointIDs(r), test.want)
		})
	}
}

func TestDrainingTakesEffectAfterOutage(t *testing.T) {
	r := registrar.New(settings)
	applyListing(r, 0, endpointA, endpointB)
	draining := endpointB
	draining.Draining = true
	applyListing(r, 5*time.Second, endpointA, draining)
	assert.Equal(t, endpointIDs(r), "ab-")
}

func TestReturnedSliceDoesNotChangeWithLaterListing(t *testing.T) {
	r := registrar.New(settings)
	applyListing(r, 0, endpointA, endpointB)
	before := r.Endpoints()
	applyListing(r, time.Second, endpointB)
	assert.Equal(t, len(before), 2)
	assert.Equal(t, endpointIDs(r), "b")
}

// What an endpoint says of itself lasts as long as its incarnation, whatever the registry
// says.
func TestEndpointThatSaysItLeavesDrains(t *testing.T) {
	restarted := endpointA
	restarted.StartedUnixMs = 7
	r := registrar.New(settings)
	assert.Assert(t, !r.RecordLeaving("a"), "it is not registered")
	applyListing(r, 0, endpointA, endpointB)
	assert.Assert(t, r.RecordLeaving("a"))
	assert.Equal(t, endpointIDs(r), "a-b")
	assert.Assert(t, !r.RecordLeaving("a"), "it is known")
	applyListing(r, time.Second, endpointA, endpointB)
	assert.Equal(t, endpointIDs(r), "a-b", "listed as ready")
	applyListing(r, 2*time.Second, endpointB)
	assert.Equal(t, endpointIDs(r), "b")
	r.RecordRestored(start.Add(3 * time.Second))
	applyListing(r, 4*time.Second, endpointA, endpointB)
	r.RemoveExpired(start.Add(6 * time.Second))
	assert.Equal(t, endpointIDs(r), "a-b", "in an older copy that lasts")
	applyListing(r, 7*time.Second, restarted, endpointB)
	assert.Equal(t, endpointIDs(r), "ab", "it has started again")
}

func TestOnlyVersionCountsEndpointsThatLeftShortlyBefore(t *testing.T) {
	r := registrar.New(registrar.Settings{})
	list := func(now time.Time, endpoints ...registrar.Endpoint) {
		r.RecordReachable(now, now)
		r.ApplyListing(now, endpoints)
	}
	endpoint := func(id, version string, startedUnixMs int64) registrar.Endpoint {
		return registrar.Endpoint{ID: id, Service: "s", Version: version, StartedUnixMs: startedUnixMs}
	}
	now := time.Unix(1e9, 0)
	list(now, endpoint("a", "v1", 1), registrar.Endpoint{ID: "p", Service: "other", Version: "v7"})
	version, ok := r.OnlyVersion(now, "s")
	assert.Assert(t, ok && version == "v1")
	list(now.Add(time.Second), endpoint("a", "v2", 2))
	_, ok = r.OnlyVersion(now.Add(time.Second), "s")
	assert.Assert(t, !ok, "the earlier start had v1")
	version, ok = r.OnlyVersion(now.Add(70*time.Second), "s")
	assert.Assert(t, ok && version == "v2")
	list(now.Add(71*time.Second), endpoint("b", "", 3))
	_, ok = r.OnlyVersion(now.Add(3*time.Minute), "s")
	assert.Assert(t, !ok, "an unknown version")
}
