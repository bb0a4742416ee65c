package gossiper_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
)

// restCost is what an instance of a fleet at rest spends on messages in a second.
type restCost struct {
	exchanges, calls, bytes float64
}

// measureRest returns the cost of a fleet at rest, once all instances know each other.
func measureRest(t *testing.T, size int) (cost restCost) {
	t.Helper()

	return measureRestAfter(t, size, func([]testInstance) {})
}

// measureRestAfter returns the cost of a fleet at rest 8 s after something happened.
func measureRestAfter(t *testing.T, size int, happen func([]testInstance)) (cost restCost) {
	t.Helper()
	const settled, measured = 8 * time.Second, 4 * time.Second
	var calls atomic.Int64
	runFleet(t, size, func(t *testing.T, network *piper.Network, instances []testInstance, _ func() time.Duration) {
		for n, i := range instances {
			handler := i.gossiper.Handler()
			network.Stop(instanceName(n))
			network.Serve(instanceName(n), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				handler.ServeHTTP(w, r)
			}))
		}
		time.Sleep(time.Second)
		happen(instances)
		time.Sleep(settled)
		datagrams := instances[0].datagrams
		bytesSent := func() int64 { return network.BytesSent() + datagrams.bytesSent.Load() }
		calls.Store(0)
		datagramsBefore, bytesBefore := datagrams.sent.Load(), bytesSent()
		time.Sleep(measured)
		perInstance := float64(size) * measured.Seconds()
		cost.calls = float64(calls.Load()) / perInstance
		cost.exchanges = cost.calls + float64(datagrams.sent.Load()-datagramsBefore)/2/perInstance
		cost.bytes = float64(bytesSent()-bytesBefore) / perInstance
		names := make([]string, 0, size)
		for n := range instances {
			names = append(names, instanceName(n))
		}
		for n, i := range instances {
			rank := 0
			for _, name := range names {
				if name < instanceName(n) {
					rank++
				}
			}
			assert.Equal(t, i.dispatcher.Rank(), rank, "all instances of %d are known", size)
		}
	})

	return cost
}

// Guards against a fleet that costs more to coordinate than to serve: an instance among many
// spends at most 1.5 times what one of 24 does, and still knows all of them.
func TestInstanceAtRestCostsTheSameInAnyFleet(t *testing.T) {
	small, large := measureRest(t, 24), measureRest(t, 60)
	t.Logf("24 instances: %+v, 60: %+v", small, large)
	assert.Assert(t, large.exchanges <= 1.5*small.exchanges, "%+v, %+v", small, large)
	assert.Assert(t, large.bytes <= 1.5*small.bytes, "%+v, %+v", small, large)
}

// Guards against a fleet that repeats in each message for minutes which requests ran when endpoints
// crashed: this cost five times as much as all else at rest.
func TestCrashesAreNotRepeatedInEachMessage(t *testing.T) {
	crash := func(instances []testInstance) {
		for n := range 100 {
			instances[n%len(instances)].recordCrash(fmt.Sprint("e", n%5), 1<<40+uint64(n), 1, 2)
		}
	}
	calm, after := measureRest(t, 24), measureRestAfter(t, 24, crash)
	t.Logf("calm: %+v, after crashes: %+v", calm, after)
	assert.Assert(t, after.bytes <= 2*calm.bytes, "%+v, %+v", calm, after)
}
