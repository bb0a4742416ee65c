package announcer_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/announcer"
	"github.com/oleanderpick/oleanderpick/internal/lab/keeper"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
	"github.com/oleanderpick/oleanderpick/internal/storer"
)

const instanceKind = "instances-of-ours"

// harness is a stand-in for the platform with announcers on an in-memory network.
type harness struct {
	t        *testing.T
	platform *keeper.Keeper
	client   *http.Client

	mu             sync.Mutex
	foundAddresses map[string][]string // by name of the instance that found them
}

// runWithPlatform runs a test with a new harness in virtual time.
func runWithPlatform(t *testing.T, test func(*harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := piper.New()
		h := &harness{t: t, platform: keeper.New(keeper.Settings{}), client: network.Client(), foundAddresses: map[string][]string{}}
		network.Serve("store", h.platform.Handler())
		test(h)
		h.client.CloseIdleConnections()
		network.Close()
		time.Sleep(time.Minute)
	})
}

// fixedFleet is what an announcer knows of its peers.
type fixedFleet struct {
	addresses []string
	rank      int
}

func (f fixedFleet) Addresses() []string { return f.addresses }

func (f fixedFleet) Rank() int { return f.rank }

// start starts the announcer of an instance without peers and returns a function that stops it.
func (h *harness) start(name, address string) (stop func()) {
	return h.startIn(fixedFleet{}, name, address)
}

// startIn starts the announcer of an instance of a fleet.
func (h *harness) startIn(fleet fixedFleet, name, address string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	settings := announcer.Settings{
		Kind: instanceKind, Name: name, Address: address,
		RetryDelay: announcer.DefaultRetryDelay, FirstListDelay: announcer.DefaultFirstListDelay, ListInterval: announcer.DefaultListInterval,
	}
	a := announcer.New(settings, storer.New("http://store", h.client), fleet, func(addresses []string) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.foundAddresses[name] = addresses
	}, hclog.NewNullLogger())
	go func() { _ = a.Serve(ctx) }()

	return func() {
		cancel()
		<-a.Done()
	}
}

// assertFound checks the addresses that an instance found last.
func (h *harness) assertFound(name string, want ...string) {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.DeepEqual(h.t, h.foundAddresses[name], want)
}

// Instances without seeds find each other through the platform, even if the platform
// is unavailable when the first one starts, and if one restarts at another address.
func TestInstancesDiscoverEachOtherThroughPlatform(t *testing.T) {
	runWithPlatform(t, func(h *harness) {
		h.platform.SetFaults(keeper.Faults{Outage: true})
		stopFirst := h.start("a", "a:1")
		time.Sleep(5 * time.Second)
		h.platform.SetFaults(keeper.Faults{})
		stopSecond := h.start("b", "b:1")
		time.Sleep(time.Minute)
		h.assertFound("a", "b:1")
		h.assertFound("b", "a:1")
		stopSecond()
		stopSecond = h.start("b", "b:2")
		time.Sleep(time.Minute)
		h.assertFound("a", "b:2")
		stopFirst()
		stopSecond()
	})
}

// Guards against instances that start later not finding the others, because the store came
// back from a copy without their entries.
func TestLostRegistrationIsWrittenAgain(t *testing.T) {
	runWithPlatform(t, func(h *harness) {
		stop := h.start("a", "a:1")
		time.Sleep(time.Second)
		assert.NilError(t, h.platform.Delete(instanceKind, "a"))
		time.Sleep(time.Minute)
		entry, found := h.platform.Object(instanceKind, "a")
		assert.Assert(t, found)
		assert.Equal(t, string(entry.Spec), `{"address":"a:1"}`)
		writes := h.platform.Audit()["PUT "+instanceKind]
		time.Sleep(time.Minute)
		assert.Equal(t, h.platform.Audit()["PUT "+instanceKind], writes, "it is written once")
		stop()
	})
}

// Guards against registrations that stay lost because only the first instances list the others.
func TestLostRegistrationOfALaterInstanceIsWrittenAgain(t *testing.T) {
	runWithPlatform(t, func(h *harness) {
		stop := h.startIn(fixedFleet{[]string{"b:1"}, 10}, "a", "a:1")
		time.Sleep(time.Second)
		assert.NilError(t, h.platform.Delete(instanceKind, "a"))
		time.Sleep(4 * time.Minute)
		_, found := h.platform.Object(instanceKind, "a")
		stop()
		assert.Assert(t, found)
	})
}

// Guards against a large fleet in which each instance lists all others: at 195 instances some six
// pages each at the start, and as many every 30 seconds.
func TestFewInstancesListTheOthersWhilePeersLive(t *testing.T) {
	for name, test := range map[string]struct {
		fleet     fixedFleet
		wantLists int
	}{
		"first":       {fixedFleet{[]string{"b:1"}, 1}, 4},
		"next":        {fixedFleet{[]string{"b:1"}, 2}, 2},
		"later":       {fixedFleet{[]string{"b:1"}, 10}, 0},
		"without any": {fixedFleet{nil, 2}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			runWithPlatform(t, func(h *harness) {
				stop := h.startIn(test.fleet, "a", "a:1")
				time.Sleep(100 * time.Second)
				_, found := h.platform.Object(instanceKind, "a")
				stop()
				assert.Assert(t, found)
				assert.Equal(t, h.platform.Audit()["GET "+instanceKind], test.wantLists)
			})
		})
	}
}
