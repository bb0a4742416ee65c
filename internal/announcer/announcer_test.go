package announcer_test

import (
	"context"
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

// Instances without seeds find each other through the platform, even if the platform
// is unavailable when the first one starts, and if one restarts at another address.
func TestInstancesDiscoverEachOtherThroughPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := keeper.New(keeper.Settings{})
		network := piper.New()
		network.Serve("store", platform.Handler())
		client := network.Client()
		var mu sync.Mutex
		foundAddresses := map[string][]string{}
		assertFound := func(name string, want ...string) {
			mu.Lock()
			defer mu.Unlock()
			assert.DeepEqual(t, foundAddresses[name], want)
		}
		start := func(name, address string) (stop func()) {
			ctx, cancel := context.WithCancel(context.Background())
			settings := announcer.Settings{
				Kind: "instances-of-ours", Name: name, Address: address,
				RetryDelay: announcer.DefaultRetryDelay, ListInterval: announcer.DefaultListInterval,
			}
			a := announcer.New(settings, storer.New("http://store", client), func(addresses []string) {
				mu.Lock()
				defer mu.Unlock()
				foundAddresses[name] = addresses
			}, hclog.NewNullLogger())
			go func() { _ = a.Serve(ctx) }()

			return func() {
				cancel()
				<-a.Done()
			}
		}
		platform.SetFaults(keeper.Faults{Outage: true})
		stopFirst := start("a", "a:1")
		time.Sleep(5 * time.Second)
		platform.SetFaults(keeper.Faults{})
		stopSecond := start("b", "b:1")
		time.Sleep(time.Minute)
		assertFound("a", "b:1")
		assertFound("b", "a:1")
		stopSecond()
		stopSecond = start("b", "b:2")
		time.Sleep(time.Minute)
		assertFound("a", "b:2")
		stopFirst()
		stopSecond()
		client.CloseIdleConnections()
		network.Close()
		time.Sleep(time.Minute)
	})
}
