package relayer_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// partitionDraw is a drawn partition of a fleet from its endpoints.
type partitionDraw struct {
	seed       uint64
	way        partitionWay
	cutCount   int
	newsLag    time.Duration // until instances know which others are cut off
	killChance float64       // of an instance in a step
	downCount  int           // endpoints that crash meanwhile
}

// runCounter counts the runs of requests at endpoints.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int // by path and request ID
}

// count returns the handler of an endpoint whose runs are counted.
func (c *runCounter) count(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		c.mu.Lock()
		c.runs[request.URL.Path+" "+request.Header.Get("X-Id")]++
		c.mu.Unlock()
		handler.ServeHTTP(w, request)
	})
}

// playPartition plays a partition and counts first tries from 3 s after it began.
func playPartition(t *testing.T, instanceCount int, draw partitionDraw) {
	t.Helper()
	counter := &runCounter{runs: map[string]int{}}
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveVersions(0, "v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1")
		for _, endpoint := range h.registered {
			h.network.Stop(endpoint.ID)
			h.network.Serve(endpoint.ID, counter.count(versionedEndpoint("v1", 1, 0)))
		}
		h.partition = &partition{way: draw.way}
		for n := range draw.cutCount {
			h.partition.instances = append(h.partition.instances, instanceNumber(n*instanceCount/draw.cutCount))
		}
		f := h.startVersionFleet(instanceCount, versionFaults{seed: draw.seed, killChance: draw.killChance})
		tally, cutAt := partitionTally{}, time.Now().Add(time.Second)
		time.AfterFunc(time.Second, func() {
			h.partition.setActive(true)
			for _, endpoint := range h.registered[:draw.downCount] {
				h.network.Stop(endpoint.ID)
			}
		})
		var callers sync.WaitGroup
		for n := 0; time.Since(cutAt) < 7*time.Second; n++ {
			f.step()
			time.AfterFunc(draw.newsLag, f.tellReach)
			for k := range 8 {
				name := f.drawHosts()[0]
				node := f.node(name)
				if !node.isInTouch() && time.Since(cutAt) > 0 {
					continue
				}
				// An instance that ends meanwhile is not in touch.
				isCounted := time.Since(cutAt) >= 3*time.Second
				callers.Go(func() {
					h.sendFirstTry(&tally, "front-"+name, name, 8*n+k, func() bool { return isCounted && !node.hasEnded.Load() })
				})
			}
			time.Sleep(100 * time.Millisecond)
		}
		callers.Wait()
		time.Sleep(draw.newsLag)
		h.partition.setActive(false)
		f.stop()
		tally.check(t)
	})
	for request, runs := range counter.runs {
		if request[:6] == "/once/" {
			assert.Equal(t, runs, 1, "%s: %+v", request, draw)
		}
	}
}

// Guards against instances that reach no endpoint and serve their callers worse than the others
// do, and against requests that run twice on the way through a peer: most of the fleet may be
// cut off, connections are refused, hang or live on while new ones are refused, endpoints crash
// and instances restart meanwhile, and instances hear late of each other.
func TestPartitionedInstancesServeUnderDrawnFaults(t *testing.T) {
	for name, instanceCount := range map[string]int{"7 instances": 7, "83 instances": 83} {
		t.Run(name, func(t *testing.T) {
			count := 0
			rapid.Check(t, func(rt *rapid.T) {
				if count++; count > 200/instanceCount {
					return
				}
				draw := partitionDraw{
					seed:       rapid.Uint64().Draw(rt, "seed"),
					way:        rapid.SampledFrom([]partitionWay{refuse, hang, refuseNew}).Draw(rt, "way"),
					cutCount:   rapid.IntRange(1, instanceCount*5/7).Draw(rt, "cut"),
					newsLag:    time.Duration(rapid.IntRange(50, 1500).Draw(rt, "newsLagMs")) * time.Millisecond,
					killChance: rapid.SampledFrom([]float64{0, 0.03}).Draw(rt, "kills"),
					downCount:  rapid.IntRange(0, 4).Draw(rt, "down"),
				}
				t.Logf("%+v", draw)
				playPartition(t, instanceCount, draw)
			})
		})
	}
}
