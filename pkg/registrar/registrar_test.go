package registrar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

var (
	start    = time.Unix(1000, 0)
	settings = registrar.Settings{ReregistrationWindow: 2 * time.Second, MinOutage: 1500 * time.Millisecond}
	a        = registrar.Endpoint{ID: "a", Service: "s"}
	b        = registrar.Endpoint{ID: "b", Service: "s"}
)

func ids(r *registrar.Registrar) (found string) {
	for _, e := range r.Endpoints() {
		found += e.ID
		if e.Draining {
			found += "-"
		}
	}

	return found
}

func list(r *registrar.Registrar, after time.Duration, endpoints ...registrar.Endpoint) {
	r.RecordReachable(start.Add(after))
	r.ApplyListing(start.Add(after), endpoints)
}

func TestGoneAtOnceWhileReachable(t *testing.T) {
	r := registrar.New(settings)
	assert.Assert(t, !r.HasListing())
	list(r, 0, a, b)
	list(r, time.Second, a)
	assert.Equal(t, ids(r), "a")
}

func TestLapsedDuringOutageHaveTimeToReturn(t *testing.T) {
	for name, test := range map[string]struct {
		back bool
		want string
	}{
		"back": {true, "ab"},
		"gone": {false, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(settings)
			list(r, 0, a, b)
			list(r, 5*time.Second, a)
			assert.Equal(t, ids(r), "ab", "b lapsed while the registry was away")
			assert.Assert(t, !r.RemoveExpired(start.Add(6*time.Second)))
			if test.back {
				list(r, 6*time.Second, a, b)
			} else {
				list(r, 6*time.Second, a)
			}
			r.RemoveExpired(start.Add(7 * time.Second))
			assert.Equal(t, ids(r), test.want)
		})
	}
}

func TestDrainingIsBelievedAtAnyTime(t *testing.T) {
	r := registrar.New(settings)
	list(r, 0, a, b)
	leaving := b
	leaving.Draining = true
	list(r, 5*time.Second, a, leaving)
	assert.Equal(t, ids(r), "ab-")
}

func TestPublishedSliceIsNotChanged(t *testing.T) {
	r := registrar.New(settings)
	list(r, 0, a, b)
	before := r.Endpoints()
	list(r, time.Second, b)
	assert.Equal(t, len(before), 2)
	assert.Equal(t, ids(r), "b")
}
