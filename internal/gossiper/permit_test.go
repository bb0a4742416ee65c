package gossiper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
	"github.com/oleanderpick/oleanderpick/pkg/throttler"
)

// placeInTurn lets the instances place a request each 20 ms in turn, and returns the times
// of those that an endpoint may get.
func placeInTurn(t *testing.T, instances []testInstance, duration time.Duration) []time.Time {
	t.Helper()
	var placed []time.Time
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		d := instances[i%len(instances)].dispatcher
		if placement, ok := d.Place(t.Context(), placer.Request{Service: "s"}, true); ok {
			placed = append(placed, time.Now())
			d.RecordResult(placement, placer.Finished, nil)
		}
		time.Sleep(20 * time.Millisecond)
	}

	return placed
}

// Guards against instances that exceed an endpoint's limit together, because only one has
// received it from the endpoint, or because the endpoint's home leaves.
func TestFleetKeepsALimitThatOneInstanceReceived(t *testing.T) {
	const (
		rate       = 1.0
		window     = 4 * time.Second
		maxArrived = 11 // one and a half times the limit in a window, and five
	)
	for name, count := range map[string]int{"undivided": 7, "divided": 20} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, count, func(t *testing.T, _ *piper.Network, instances []testInstance, sinceBoot func() time.Duration) {
				for _, i := range instances {
					i.dispatcher.ApplyListing(sinceBoot(), 0, []registrar.Endpoint{{ID: "e", Service: "s", Address: "e:80", Slots: 6}})
				}
				time.Sleep(10 * time.Second)
				instances[0].dispatcher.RecordLimit(dispatcher.Placement{Choice: placer.Choice{EndpointID: "e"}}, time.Now(), throttler.Limit{IsStated: true, Rate: rate})
				time.Sleep(3 * time.Second)
				for i := range instances {
					assert.Assert(t, instances[i].dispatcher.HasLimits(), "instance %d", i)
				}
				placed := placeInTurn(t, instances, 12*time.Second)
				assert.Assert(t, len(placed) >= 9, "%d requests", len(placed))

				home := homeIndex("e", count)
				instances[home].gossiper.AnnounceLeaving()
				placed = append(placed, placeInTurn(t, instances, 20*time.Second)...)
				assert.Assert(t, len(placed) >= 20, "%d requests", len(placed))
				for first, at := range placed {
					last := first
					for last < len(placed) && placed[last].Sub(at) <= window {
						last++
					}
					assert.Assert(t, last-first <= maxArrived, "%d requests in %v", last-first, window)
				}
			})
		})
	}
}

// homeIndex returns the index of an endpoint's home among so many instances.
func homeIndex(endpoint string, count int) int {
	names := make([]string, count)
	for i := range names {
		names[i] = instanceName(i)
	}
	home := granter.HomeOf(endpoint, names)
	for i, name := range names {
		if name == home {
			return i
		}
	}

	return -1
}
