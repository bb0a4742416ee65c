package gossiper_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
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

// decimalDecoder decodes a configuration whose spec is its number in decimal.
type decimalDecoder struct{}

func (decimalDecoder) DecodeConfiguration(object storer.Object) (matcher.Configuration, error) {
	number, err := strconv.ParseUint(string(object.Spec), 10, 64)

	return matcher.Configuration{Number: number}, err
}

// testInstance is a running instance: its dispatcher and gossiper, and the function
// that stops both.
type testInstance struct {
	dispatcher *dispatcher.Dispatcher
	gossiper   *gossiper.Gossiper
	datagrams  *datagramNetwork // of the whole fleet
	stop       context.CancelFunc
}

const keyLease = 5 * time.Second

// dataCentre returns the data centre of an instance, one of two.
func dataCentre(index int) string {
	return fmt.Sprintf("dc%d", index%2)
}

func instanceName(index int) string {
	return fmt.Sprintf("i%d", index)
}

// runFleet runs a test in virtual time with instances i0, i1 and so on, connected by
// an in-process network. Their seeds are i0 and an address at which nobody answers.
// The test gets a clock that also counts suspended time.
func runFleet(t *testing.T, count int, test func(*testing.T, *piper.Network, []testInstance, func() time.Duration)) {
	t.Helper()
	runFleetWithTransit(t, count, 0, test)
}

// delay returns a handler that takes some time before and after another handler.
func delay(handler http.Handler, transit time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(transit)
		handler.ServeHTTP(w, r)
		time.Sleep(transit)
	})
}

// runFleetWithTransit is runFleet with messages that take some time.
func runFleetWithTransit(t *testing.T, count int, transit time.Duration, test func(*testing.T, *piper.Network, []testInstance, func() time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		sinceBoot := func() time.Duration { return time.Since(startedAt) + time.Hour }
		network, datagrams := piper.New(), newDatagramNetwork(transit)
		instances := make([]testInstance, 0, count)
		for i := range count {
			name := instanceName(i)
			d := dispatcher.New(dispatcher.Settings{
				Name: name, KeyLeaseDuration: keyLease, ReregistrationWindow: 2 * time.Second,
				RepeatLimits: retrier.RepeatLimiterSettings{Window: 10 * time.Second, Burst: 7},
			}, dispatcher.Clock{Now: time.Now, SinceBoot: sinceBoot}, hclog.NewNullLogger())
			settings := gossiper.DefaultSettings()
			settings.Name, settings.Address, settings.Incarnation = name, name+":80", 1
			settings.DataCentre = dataCentre(i)
			settings.Seeds = []string{"i0:80", "gone:80"}
			g := gossiper.New(settings, d, decimalDecoder{}, network.Client(), meter.New(), hclog.NewNullLogger())
			d.SetPermitSource(g)
			datagrams.add(name+":80", g)
			network.Serve(name, delay(g.Handler(), transit))
			ctx, cancel := context.WithCancel(context.Background())
			go func() { _ = d.Serve(ctx) }()
			go func() { _ = g.Serve(ctx) }()
			instances = append(instances, testInstance{d, g, datagrams, cancel})
		}
		defer func() {
			for _, i := range instances {
				i.stop()
				<-i.gossiper.Done()
				<-i.dispatcher.Done()
			}
			network.Close()
			time.Sleep(time.Minute)
		}()
		test(t, network, instances, sinceBoot)
	})
}

func TestInstancesDiscoverEachOtherFromOneSeed(t *testing.T) {
	runFleet(t, 5, func(t *testing.T, _ *piper.Network, instances []testInstance, _ func() time.Duration) {
		time.Sleep(6 * time.Second)
		for rank, i := range instances {
			assert.Equal(t, i.dispatcher.Rank(), rank)
		}
	})
}

func TestRanksDecreaseWhenFirstInstanceStops(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, network *piper.Network, instances []testInstance, _ func() time.Duration) {
		time.Sleep(2 * time.Second)
		network.Stop("i0")
		instances[0].stop()
		time.Sleep(2 * time.Second)
		assert.Equal(t, instances[1].dispatcher.Rank(), 0)
		assert.Equal(t, instances[2].dispatcher.Rank(), 1)
	})
}

// applyConfiguration passes a configuration with a number to an instance, as if a
// read sent at the given time had confirmed it.
// Guards against an instance dropping endpoints, or going back to an older listing, because
// a peer saw before it that the store came back from an older copy.
func TestEpochOfListingSpreadsWithIt(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, _ *piper.Network, instances []testInstance, sinceBoot func() time.Duration) {
		endpoint := func(id string) registrar.Endpoint {
			return registrar.Endpoint{ID: id, Service: "s", Address: id + ":80", Slots: 6}
		}
		has := func(id string) bool {
			request := placer.Request{Service: "s"}
			if id == "a" {
				request.AvoidEndpoints = []string{"b"}
			} else {
				request.AvoidEndpoints = []string{"a"}
			}
			placement, ok := instances[1].dispatcher.Place(t.Context(), request, true)

			return ok && placement.EndpointID == id
		}
		for _, i := range instances {
			applyConfiguration(i, sinceBoot(), 1)
			i.dispatcher.ApplyListing(sinceBoot(), 1, []registrar.Endpoint{endpoint("a"), endpoint("b")})
		}
		time.Sleep(time.Second)
		instances[0].dispatcher.ApplyListing(sinceBoot(), 2, []registrar.Endpoint{endpoint("a")})
		time.Sleep(time.Second)
		assert.Assert(t, has("a") && has("b"), "endpoints that the copy lacks are kept")
		instances[1].dispatcher.ApplyListing(sinceBoot(), 1, []registrar.Endpoint{endpoint("b")})
		time.Sleep(3 * time.Second)
		assert.Assert(t, has("a") && !has("b"), "a listing of an earlier epoch is ignored")
	})
}

// Guards against several instances of a large fleet taking themselves for the first, which
// reads from the platform for all: a pair's messages come less often there.
func TestRanksOfLargeFleetDoNotChange(t *testing.T) {
	runFleet(t, 60, func(t *testing.T, _ *piper.Network, instances []testInstance, _ func() time.Duration) {
		time.Sleep(8 * time.Second)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			first := 0
			for _, i := range instances {
				if i.dispatcher.Rank() == 0 {
					first++
				}
			}
			assert.Equal(t, first, 1)
		}
	})
}

func applyConfiguration(i testInstance, sentAt time.Duration, number uint64) {
	i.dispatcher.ApplyConfiguration(sentAt, matcher.New(matcher.Configuration{Number: number}), dispatcher.StoredConfiguration{
		Spec: []byte(strconv.FormatUint(number, 10)), Version: number,
	})
}

// Instances that cannot read from the platform receive the configuration and the
// endpoints from a peer within a second, together with their age.
func TestConfigurationAndEndpointsSpreadWithTheirAge(t *testing.T) {
	runFleet(t, 4, func(t *testing.T, _ *piper.Network, instances []testInstance, sinceBoot func() time.Duration) {
		time.Sleep(time.Second)
		readAt := sinceBoot()
		applyConfiguration(instances[3], readAt, 7)
		instances[3].dispatcher.ApplyListing(readAt, 0, []registrar.Endpoint{{ID: "e", Service: "s", Address: "e:80", Slots: 6, Draining: true, StartedUnixMs: 9, Spot: true, LeavesIn: 2300 * time.Millisecond}})
		time.Sleep(time.Second)
		for _, i := range instances {
			assert.Assert(t, i.dispatcher.Matcher() != nil)
			assert.Equal(t, i.dispatcher.Matcher().Number(), uint64(7))
			_, registry := i.dispatcher.Snapshot()
			assert.DeepEqual(t, registry.Endpoints, []registrar.Endpoint{{ID: "e", Service: "s", Address: "e:80", Slots: 6, Draining: true, StartedUnixMs: 9, Spot: true, LeavesIn: 2300 * time.Millisecond}})
			assert.Assert(t, i.dispatcher.IsConfigurationFresh())
		}
		// The lease ends at the same time on all instances, since none of them
		// assumes a lower age than the real one.
		time.Sleep(readAt + keyLease - sinceBoot())
		for _, i := range instances {
			assert.Assert(t, !i.dispatcher.IsConfigurationFresh())
		}
	})
}

func TestOlderConfigurationFromPeerIsIgnored(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, _ *piper.Network, instances []testInstance, sinceBoot func() time.Duration) {
		applyConfiguration(instances[0], sinceBoot(), 9)
		applyConfiguration(instances[1], sinceBoot(), 7)
		time.Sleep(time.Second)
		assert.Equal(t, instances[0].dispatcher.Matcher().Number(), uint64(9))
		assert.Equal(t, instances[1].dispatcher.Matcher().Number(), uint64(9))
	})
}

// The limit on repeated requests applies to the whole fleet: each of seven
// instances may use a seventh of it.
func TestRepeatLimitIsDividedAmongInstances(t *testing.T) {
	runFleet(t, 7, func(t *testing.T, _ *piper.Network, instances []testInstance, _ func() time.Duration) {
		time.Sleep(6 * time.Second)
		repeats := 0
		for _, i := range instances {
			for i.dispatcher.TakeRepeat("s", retrier.AttemptHistory{MaxRuns: 1, RemainingTime: time.Second}, true) == retrier.ReasonNone {
				repeats++
			}
		}
		assert.Assert(t, repeats <= 7, "%d repeats", repeats)
	})
}

// A request that crashed two endpoints according to one instance is quarantined by
// all instances within a second.
func TestPoisonRequestIsQuarantinedByAllInstances(t *testing.T) {
	runFleet(t, 4, func(t *testing.T, _ *piper.Network, instances []testInstance, _ func() time.Duration) {
		time.Sleep(time.Second)
		const poisonFingerprint, otherFingerprint = 1, 2
		for _, endpoint := range []string{"e1", "e2"} {
			placement := dispatcher.Placement{Choice: placer.Choice{EndpointID: endpoint}}
			instances[1].dispatcher.RecordBrokenAnswer(placement, dispatcher.BrokenAnswer{Fingerprint: poisonFingerprint})
			instances[1].dispatcher.RecordEndpointDown(placement)
		}
		time.Sleep(time.Second)
		for _, i := range instances {
			assert.Assert(t, i.dispatcher.HasSuspects() && i.dispatcher.IsQuarantined(poisonFingerprint))
			assert.Assert(t, !i.dispatcher.IsQuarantined(otherFingerprint))
		}
	})
}

// Guards against suspects that are passed around for ever, because the time of their
// completion becomes later with each message.
func TestClearedSuspectsExpireInAFleet(t *testing.T) {
	runFleetWithTransit(t, 2, 20*time.Millisecond, func(t *testing.T, _ *piper.Network, instances []testInstance, _ func() time.Duration) {
		time.Sleep(time.Second)
		placement := dispatcher.Placement{Choice: placer.Choice{EndpointID: "e1"}}
		instances[1].dispatcher.RecordBrokenAnswer(placement, dispatcher.BrokenAnswer{Fingerprint: 1})
		instances[1].dispatcher.RecordEndpointDown(placement)
		time.Sleep(time.Second)
		instances[0].dispatcher.RecordCompletion(1)
		time.Sleep(time.Second)
		for n, i := range instances {
			assert.Assert(t, i.dispatcher.HasSuspects(), "instance %d", n)
		}
		time.Sleep(11 * time.Minute)
		for n, i := range instances {
			assert.Assert(t, !i.dispatcher.HasSuspects(), "instance %d", n)
		}
	})
}

// A broken answer counts as a crash only if the endpoint refuses a connection soon
// afterwards; here it does so only three seconds later.
func TestBrokenAnswersWithoutCrashQuarantineNothing(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, _ *piper.Network, instances []testInstance, _ func() time.Duration) {
		d := instances[0].dispatcher
		for _, endpoint := range []string{"e1", "e2", "e3"} {
			d.RecordBrokenAnswer(dispatcher.Placement{Choice: placer.Choice{EndpointID: endpoint}}, dispatcher.BrokenAnswer{Fingerprint: 1})
			time.Sleep(3 * time.Second)
			d.RecordEndpointDown(dispatcher.Placement{Choice: placer.Choice{EndpointID: endpoint}})
		}
		assert.Assert(t, !d.IsQuarantined(1))
	})
}

// In a larger fleet only some messages carry loads. A load at one instance still
// reaches at least 25 of 30 within five seconds: their next request goes to the other
// endpoint.
func TestLoadsReachMostInstancesOfLargeFleet(t *testing.T) {
	runFleet(t, 30, func(t *testing.T, _ *piper.Network, instances []testInstance, sinceBoot func() time.Duration) {
		time.Sleep(6 * time.Second)
		endpoints := []registrar.Endpoint{{ID: "a", Service: "s", Address: "a:80", Slots: 6}, {ID: "b", Service: "s", Address: "b:80", Slots: 6}}
		for _, i := range instances {
			applyConfiguration(i, sinceBoot(), 1)
			i.dispatcher.ApplyListing(sinceBoot(), 0, endpoints)
		}
		request := placer.Request{Service: "s"}
		firstPlacement, _ := instances[7].dispatcher.Place(t.Context(), request, true)
		for range 20 { // All on the endpoint of the first placement.
			repeated := request
			for _, e := range endpoints {
				if e.ID != firstPlacement.EndpointID {
					repeated.AvoidEndpoints = append(repeated.AvoidEndpoints, e.ID)
				}
			}
			instances[7].dispatcher.Place(t.Context(), repeated, true)
		}
		time.Sleep(5 * time.Second)
		informedCount := 0
		for _, i := range instances {
			if placement, ok := i.dispatcher.Place(t.Context(), request, true); ok && placement.EndpointID != firstPlacement.EndpointID {
				informedCount++
			}
		}
		assert.Assert(t, informedCount >= 25, "%d of 30 know of the load", informedCount)
	})
}

// Guards against instances of a large fleet not knowing the loads of those beside which
// they place requests, and against updates whose cost grows with the fleet: in a small
// fleet all live peers get load updates, in a large one those of the data centre do.
func TestLoadUpdatesGoToDataCentreOfLargeFleet(t *testing.T) {
	for _, size := range []int{5, 30} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, func(t *testing.T, _ *piper.Network, instances []testInstance, _ func() time.Duration) {
				time.Sleep(6 * time.Second)
				for i, instance := range instances {
					var want []string
					for j := range instances {
						if j != i && (size == 5 || dataCentre(j) == dataCentre(i)) {
							want = append(want, fmt.Sprintf("i%d:80", j))
						}
					}
					got := instance.gossiper.UpdateAddresses()
					slices.Sort(want)
					slices.Sort(got)
					assert.DeepEqual(t, got, want)
				}
			})
		})
	}
}

// The incarnation of an instance is lower after a restart if its machine's time of
// day went back meanwhile. Peers accept its messages once its earlier incarnation
// has sent none for a while.
func TestRestartWithLowerIncarnationIsAcceptedAfterSilence(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, network *piper.Network, instances []testInstance, sinceBoot func() time.Duration) {
		time.Sleep(2 * time.Second)
		network.Stop("i1")
		instances[1].stop()
		time.Sleep(500 * time.Millisecond)
		d := dispatcher.New(dispatcher.Settings{Name: "i1", KeyLeaseDuration: keyLease}, dispatcher.Clock{Now: time.Now, SinceBoot: sinceBoot}, hclog.NewNullLogger())
		settings := gossiper.DefaultSettings()
		settings.Name, settings.Address, settings.Incarnation, settings.Seeds = "i1", "i1:80", 0, []string{"i0:80"}
		restarted := gossiper.New(settings, d, decimalDecoder{}, network.Client(), meter.New(), hclog.NewNullLogger())
		network.Serve("i1", restarted.Handler())
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = d.Serve(ctx) }()
		go func() { _ = restarted.Serve(ctx) }()
		d.ApplyListing(sinceBoot(), 0, []registrar.Endpoint{{ID: "e", Service: "s", Address: "e:80", Slots: 6}})
		time.Sleep(3 * time.Second)
		_, registry := instances[0].dispatcher.Snapshot()
		assert.Equal(t, len(registry.Endpoints), 1)
		cancel()
		<-restarted.Done()
		<-d.Done()
	})
}

// Guards against a holder that orders endpoints by another demand than a data centre's.
func TestDemandArrivesAsItWasSent(t *testing.T) {
	demand := placer.Demand{ShortPromptEngines: 1, LongPromptEngines: 2, Split: 3, EngineCount: 4, TotalShort: 5, TotalLong: 6}
	received := gossiper.ReceivedLoads(dispatcher.Message{Demands: map[string]placer.Demand{"s": demand}})
	assert.Equal(t, received.Demands["s"], demand)
}
