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

// Instances that know no seed find each other, also when the platform is away at
// their start and when one starts again at another address.
func TestInstancesFindEachOtherByThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := keeper.New(keeper.Settings{})
		network := piper.New()
		network.Serve("store", platform.Handler())
		client := network.Client()
		var mu sync.Mutex
		met := map[string][]string{}
		assertMet := func(name string, want ...string) {
			mu.Lock()
			defer mu.Unlock()
			assert.DeepEqual(t, met[name], want)
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
				met[name] = addresses
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
		assertMet("a", "b:1")
		assertMet("b", "a:1")
		stopSecond()
		stopSecond = start("b", "b:2")
		time.Sleep(time.Minute)
		assertMet("a", "b:2")
		stopFirst()
		stopSecond()
		client.CloseIdleConnections()
		network.Close()
		time.Sleep(time.Minute)
	})
}
