package gossiper_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// reader reads a configuration that is just its number.
type reader struct{}

func (reader) DecodeConfiguration(object storer.Object) (matcher.Configuration, error) {
	number, err := strconv.ParseUint(string(object.Spec), 10, 64)

	return matcher.Configuration{Number: number}, err
}

type instance struct {
	control *dispatcher.Dispatcher
	gossip  *gossiper.Gossiper
	stop    context.CancelFunc
}

const keyLease = 5 * time.Second

// fleet starts instances that know only the first one's address.
func fleet(t *testing.T, count int, test func(*testing.T, *piper.Network, []instance, func() time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		boot := func() time.Duration { return time.Since(begun) + time.Hour }
		network := piper.New()
		instances := make([]instance, 0, count)
		for i := range count {
			name := fmt.Sprintf("i%d", i)
			control := dispatcher.New(dispatcher.Settings{
				Name: name, KeyLeaseDuration: keyLease,
				RepeatLimits: retrier.RepeatLimiterSettings{Window: 10 * time.Second, Burst: 7},
			}, dispatcher.Clock{Now: time.Now, SinceBoot: boot}, hclog.NewNullLogger())
			settings := gossiper.DefaultSettings()
			settings.Name, settings.Address, settings.Incarnation = name, name+":80", 1
			settings.Seeds = []string{"i0:80", "gone:80"}
			gossip := gossiper.New(settings, control, reader{}, network.Client(), meter.New(), hclog.NewNullLogger())
			network.Serve(name, gossip.Handler())
			ctx, cancel := context.WithCancel(context.Background())
			go func() { _ = control.Serve(ctx) }()
			go func() { _ = gossip.Serve(ctx) }()
			instances = append(instances, instance{control, gossip, cancel})
		}
		test(t, network, instances, boot)
		for _, i := range instances {
			i.stop()
			<-i.gossip.Done()
			<-i.control.Done()
		}
		network.Close()
		time.Sleep(time.Minute)
	})
}

func TestInstancesFindEachOther(t *testing.T) {
	fleet(t, 5, func(t *testing.T, _ *piper.Network, instances []instance, _ func() time.Duration) {
		time.Sleep(6 * time.Second)
		for rank, i := range instances {
			assert.Equal(t, i.control.Rank(), rank)
		}
	})
}

func TestRankMovesUpWhenAnInstanceFallsSilent(t *testing.T) {
	fleet(t, 3, func(t *testing.T, network *piper.Network, instances []instance, _ func() time.Duration) {
		time.Sleep(2 * time.Second)
		network.Stop("i0")
		instances[0].stop()
		time.Sleep(2 * time.Second)
		assert.Equal(t, instances[1].control.Rank(), 0)
		assert.Equal(t, instances[2].control.Rank(), 1)
	})
}

func confirm(i instance, sent time.Duration, number uint64) {
	i.control.ApplyConfiguration(sent, matcher.New(matcher.Configuration{Number: number}), dispatcher.StoredConfiguration{
		Spec: []byte(strconv.FormatUint(number, 10)), Version: number,
	})
}

// Instances that the platform turns away learn configuration and endpoints from
// a peer within a second, with the age that they have.
func TestKnowledgeIsPassedOnWithItsAge(t *testing.T) {
	fleet(t, 4, func(t *testing.T, _ *piper.Network, instances []instance, boot func() time.Duration) {
		time.Sleep(time.Second)
		read := boot()
		confirm(instances[3], read, 7)
		instances[3].control.ApplyListing(read, []registrar.Endpoint{{ID: "e", Service: "s", Address: "e:80", Slots: 6, Draining: true, StartedUnixMs: 9}})
		time.Sleep(time.Second)
		for _, i := range instances {
			assert.Assert(t, i.control.Matcher() != nil)
			assert.Equal(t, i.control.Matcher().Number(), uint64(7))
			_, registry := i.control.Snapshot()
			assert.DeepEqual(t, registry.Endpoints, []registrar.Endpoint{{ID: "e", Service: "s", Address: "e:80", Slots: 6, Draining: true, StartedUnixMs: 9}})
			assert.Assert(t, i.control.IsConfigurationFresh())
		}
		// No instance takes it for younger than it is.
		time.Sleep(read + keyLease - boot())
		for _, i := range instances {
			assert.Assert(t, !i.control.IsConfigurationFresh())
		}
	})
}

func TestOlderConfigurationIsNotTakenBack(t *testing.T) {
	fleet(t, 2, func(t *testing.T, _ *piper.Network, instances []instance, boot func() time.Duration) {
		confirm(instances[0], boot(), 9)
		confirm(instances[1], boot(), 7)
		time.Sleep(time.Second)
		assert.Equal(t, instances[0].control.Matcher().Number(), uint64(9))
		assert.Equal(t, instances[1].control.Matcher().Number(), uint64(9))
	})
}

// The bound on repeats is shared: each of seven instances spends a seventh.
func TestRepeatsAreSharedAmongInstances(t *testing.T) {
	fleet(t, 7, func(t *testing.T, _ *piper.Network, instances []instance, _ func() time.Duration) {
		time.Sleep(6 * time.Second)
		repeats := 0
		for _, i := range instances {
			for i.control.TakeRepeat("s", retrier.AttemptHistory{MaxRuns: 1, RemainingTime: time.Second}, true) == retrier.ReasonNone {
				repeats++
			}
		}
		assert.Assert(t, repeats <= 7, "%d repeats", repeats)
	})
}

// A request that crashed two endpoints, seen by one instance, is held back by
// all of them within a second.
func TestPoisonIsToldToAll(t *testing.T) {
	fleet(t, 4, func(t *testing.T, _ *piper.Network, instances []instance, _ func() time.Duration) {
		time.Sleep(time.Second)
		const poison, innocent = 1, 2
		for _, endpoint := range []string{"e1", "e2"} {
			placed := dispatcher.Placement{Choice: placer.Choice{EndpointID: endpoint}}
			instances[1].control.RecordBrokenAnswer(placed, poison)
			instances[1].control.RecordConnectionRefused(placed)
		}
		time.Sleep(time.Second)
		for _, i := range instances {
			assert.Assert(t, i.control.HasSuspects() && i.control.IsQuarantined(poison))
			assert.Assert(t, !i.control.IsQuarantined(innocent))
		}
	})
}

// An answer that is lost at an endpoint that goes on taking connections is no
// crash.
func TestLostAnswersHoldNothingBack(t *testing.T) {
	fleet(t, 1, func(t *testing.T, _ *piper.Network, instances []instance, _ func() time.Duration) {
		control := instances[0].control
		for _, endpoint := range []string{"e1", "e2", "e3"} {
			control.RecordBrokenAnswer(dispatcher.Placement{Choice: placer.Choice{EndpointID: endpoint}}, 1)
			time.Sleep(3 * time.Second)
			control.RecordConnectionRefused(dispatcher.Placement{Choice: placer.Choice{EndpointID: endpoint}})
		}
		assert.Assert(t, !control.IsQuarantined(1))
	})
}

// In a larger fleet brief messages pass knowledge on, and loads still arrive.
func TestLargeFleetTellsLoadsNowAndThen(t *testing.T) {
	fleet(t, 30, func(t *testing.T, _ *piper.Network, instances []instance, boot func() time.Duration) {
		time.Sleep(6 * time.Second)
		endpoints := []registrar.Endpoint{{ID: "a", Service: "s", Address: "a:80", Slots: 6}, {ID: "b", Service: "s", Address: "b:80", Slots: 6}}
		for _, i := range instances {
			confirm(i, boot(), 1)
			i.control.ApplyListing(boot(), endpoints)
		}
		ask := placer.Request{Service: "s"}
		taken, _ := instances[7].control.Place(ask, true)
		for range 20 { // All on one endpoint of two, whichever it is.
			other := ask
			for _, e := range endpoints {
				if e.ID != taken.EndpointID {
					other.AvoidEndpoints = append(other.AvoidEndpoints, e.ID)
				}
			}
			instances[7].control.Place(other, true)
		}
		time.Sleep(5 * time.Second)
		heard := 0
		for _, i := range instances {
			if placed, ok := i.control.Place(ask, true); ok && placed.EndpointID != taken.EndpointID {
				heard++
			}
		}
		assert.Assert(t, heard >= 25, "%d of 30 know of the load", heard)
	})
}

// An instance that starts again after its machine's time of day went back is
// believed once its earlier start has fallen silent.
func TestRestartAfterTheClockWentBack(t *testing.T) {
	fleet(t, 2, func(t *testing.T, network *piper.Network, instances []instance, boot func() time.Duration) {
		time.Sleep(2 * time.Second)
		network.Stop("i1")
		instances[1].stop()
		time.Sleep(500 * time.Millisecond)
		control := dispatcher.New(dispatcher.Settings{Name: "i1", KeyLeaseDuration: keyLease}, dispatcher.Clock{Now: time.Now, SinceBoot: boot}, hclog.NewNullLogger())
		settings := gossiper.DefaultSettings()
		settings.Name, settings.Address, settings.Incarnation, settings.Seeds = "i1", "i1:80", 0, []string{"i0:80"}
		again := gossiper.New(settings, control, reader{}, network.Client(), meter.New(), hclog.NewNullLogger())
		network.Serve("i1", again.Handler())
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = control.Serve(ctx) }()
		go func() { _ = again.Serve(ctx) }()
		control.ApplyListing(boot(), []registrar.Endpoint{{ID: "e", Service: "s", Address: "e:80", Slots: 6}})
		time.Sleep(3 * time.Second)
		_, registry := instances[0].control.Snapshot()
		assert.Equal(t, len(registry.Endpoints), 1)
		cancel()
		<-again.Done()
		<-control.Done()
	})
}
