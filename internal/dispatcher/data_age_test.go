package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Guards against an endpoint being chosen, or sent to, by a registry in which it may have left
// without this instance knowing, and against callers that wait while the platform is lost.
func TestNothingIsSentByAnOldRegistry(t *testing.T) {
	endpoints := []registrar.Endpoint{{ID: "e", Service: "s", Address: "e:1", Slots: 4}}
	for name, test := range map[string]struct {
		age       time.Duration // of the registry when the request comes
		readFails bool          // a read has failed since
		isRead    bool          // a read ends 100 ms after the request comes
		isPlaced  bool
		waits     time.Duration
	}{
		"young":                     {age: time.Second, isPlaced: true},
		"old, platform lost":        {age: 9 * time.Second, readFails: true, isPlaced: true},
		"old, a read is on its way": {age: 2 * time.Second, isRead: true, isPlaced: true, waits: 100 * time.Millisecond},
		"old, nothing comes":        {age: 2 * time.Second, waits: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				sinceBoot := func() time.Duration { return time.Since(start) + time.Hour }
				d := dispatcher.New(dispatcher.Settings{MaxEndpointsAge: 1750 * time.Millisecond, ReregistrationWindow: 2 * time.Second}, dispatcher.Clock{Now: time.Now, SinceBoot: sinceBoot}, hclog.NewNullLogger())
				d.ApplyListing(sinceBoot(), 0, endpoints)
				time.Sleep(test.age)
				if test.readFails {
					d.RecordFailedListing(sinceBoot() - time.Second)
				}
				if test.isRead {
					time.AfterFunc(100*time.Millisecond, func() { d.ApplyListing(sinceBoot(), 0, endpoints) })
				}
				began := time.Now()
				placement, ok := d.Place(t.Context(), placer.Request{Service: "s"}, true)
				assert.Equal(t, ok, test.isPlaced)
				assert.Equal(t, placement.IsRegistryOld, !test.isPlaced)
				assert.Equal(t, time.Since(began), test.waits)
				if !ok {
					return
				}
				isRegistered, isCurrent := d.MaySend(placement)
				assert.Assert(t, isRegistered && isCurrent)
				d.ApplyDepartures(sinceBoot(), 0, nil)
				isRegistered, _ = d.MaySend(placement)
				assert.Equal(t, isRegistered, test.readFails && test.age > 3*time.Second, "it is kept after an outage")
				time.Sleep(10 * time.Second)
				d.RecordFailedListing(sinceBoot() - 9*time.Second)
				_, isCurrent = d.MaySend(placement)
				assert.Assert(t, isCurrent, "the platform is lost")
			})
		})
	}
}

// Guards against requests that wait although it is known which endpoints leave, because the new endpoints
// of the same listing wait for the record of versions.
func TestRegistryIsAsYoungAsItsDepartures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		sinceBoot := func() time.Duration { return time.Since(start) + time.Hour }
		endpoints := []registrar.Endpoint{{ID: "e", Service: "s", Address: "e:1", Slots: 4}}
		d := dispatcher.New(dispatcher.Settings{MaxEndpointsAge: 1750 * time.Millisecond}, dispatcher.Clock{Now: time.Now, SinceBoot: sinceBoot}, hclog.NewNullLogger())
		d.ApplyListing(sinceBoot(), 0, endpoints)
		time.Sleep(1500 * time.Millisecond)
		d.ApplyDepartures(sinceBoot(), 0, endpoints)
		time.Sleep(500 * time.Millisecond)
		placement, ok := d.Place(t.Context(), placer.Request{Service: "s"}, true)
		assert.Assert(t, ok)
		assert.Equal(t, placement.RegistryAge, 500*time.Millisecond)
		assert.Equal(t, time.Since(start), 2*time.Second)
	})
}

// Guards against requests that are handled by a configuration that has been replaced for longer than a
// change may take, and against a 404 by it, also while the platform is lost.
func TestNothingIsDecidedByAnOldConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		sinceBoot := func() time.Duration { return time.Since(start) + time.Hour }
		d := dispatcher.New(dispatcher.Settings{MaxConfigurationAge: 2750 * time.Millisecond, KeyLeaseDuration: 5 * time.Second}, dispatcher.Clock{Now: time.Now, SinceBoot: sinceBoot}, hclog.NewNullLogger())
		apply := func() {
			d.ApplyConfiguration(sinceBoot(), matcher.New(matcher.Configuration{Number: 3}), dispatcher.StoredConfiguration{})
		}
		assert.Assert(t, d.AwaitConfiguration(t.Context()), "there is none to wait for")
		apply()
		time.Sleep(2700 * time.Millisecond)
		assert.Assert(t, d.AwaitConfiguration(t.Context()) && d.IsConfigurationYoung())
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, !d.IsConfigurationYoung())
		began := time.Now()
		assert.Assert(t, !d.AwaitConfiguration(t.Context()))
		assert.Equal(t, time.Since(began), 500*time.Millisecond)
		time.AfterFunc(100*time.Millisecond, func() { d.RecordFailedConfiguration(sinceBoot() - time.Second) })
		assert.Assert(t, d.AwaitConfiguration(t.Context()), "the platform is lost")
		assert.Assert(t, !d.IsConfigurationYoung())
		apply()
		assert.Assert(t, d.AwaitConfiguration(t.Context()) && d.IsConfigurationYoung())
	})
}
