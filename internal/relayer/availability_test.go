package relayer_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Guards against requests to an endpoint that said in an answer that it leaves, while the
// registry still lists it as ready.
func TestLeavingEndpointGetsNoMoreRequests(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		var isLeaving atomic.Bool
		h.serveEndpoints(func(w http.ResponseWriter, _ *http.Request) {
			if isLeaving.Load() {
				w.Header().Set("X-Leaving", "1")
			}
			_, _ = io.WriteString(w, "answer")
		}, echoRequest)
		h.sendEvery(50*time.Millisecond, time.Second)
		isLeaving.Store(true)
		h.sendEvery(50*time.Millisecond, time.Second)
		isLeaving.Store(false)
		before := h.arrivalsAt("e0")
		assert.Assert(t, before > 0)
		listing := []registrar.Endpoint{{ID: "e0", Service: "api", Address: "e0:80", Slots: 7}, {ID: "e1", Service: "api", Address: "e1:80", Slots: 6}}
		h.dispatcher.ApplyListing(h.bootClock(), 0, listing)
		assert.DeepEqual(t, h.sendEvery(50*time.Millisecond, 5*time.Second), map[int]int{http.StatusOK: 100})
		assert.Equal(t, h.arrivalsAt("e0"), before)

		listing[0].StartedUnixMs = 1 // It has started again.
		h.dispatcher.ApplyListing(h.bootClock(), 0, listing)
		h.sendEvery(50*time.Millisecond, time.Second)
		assert.Assert(t, h.arrivalsAt("e0") > before)
	})
}

// respondWithPause returns a handler that turns requests away as not run and asks for a pause,
// while isPausing is true.
func respondWithPause(pause string, isPausing *atomic.Bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !isPausing.Load() {
			echoRequest(w, r)

			return
		}
		w.Header().Set("X-Pause", pause)
		respondWithStatus(http.StatusServiceUnavailable, true)(w, r)
	}
}

// Guards against requests to an endpoint in the pause that it asked for. When the pause has
// ended, it gets requests again.
func TestEndpointGetsNoRequestsInItsPause(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		var isPausing atomic.Bool
		isPausing.Store(true)
		h.serveEndpoints(respondWithPause("2.5s", &isPausing), echoRequest)
		for h.arrivalsAt("e0") == 0 {
			h.sendEvery(50*time.Millisecond, 50*time.Millisecond)
		}
		isPausing.Store(false)
		assert.DeepEqual(t, h.sendEvery(50*time.Millisecond, 2400*time.Millisecond), map[int]int{http.StatusOK: 48})
		assert.Equal(t, h.arrivalsAt("e0"), 1)
		h.sendEvery(50*time.Millisecond, 2*time.Second)
		assert.Assert(t, h.arrivalsAt("e0") > 1)
	})
}

// If all endpoints pause, a request is refused at once as not run, with the end of the first
// pause as the time to return.
func TestRequestIsRefusedAtOnceWhileAllEndpointsPause(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		var isPausing atomic.Bool
		isPausing.Store(true)
		h.serveEndpoints(respondWithPause("2s", &isPausing), respondWithPause("4s", &isPausing))
		h.sendEvery(50*time.Millisecond, 100*time.Millisecond)
		sentAt, before := time.Now(), h.arrivalCount()
		assert.Equal(t, before, 2)
		response, body, err := h.send(h.newRequest(http.MethodGet, "/often/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, body, `{"error":"endpoints-limited","outcome":"not-run"}`)
		assert.Equal(t, response.Header.Get("Retry-After"), "1.900")
		assert.Equal(t, time.Since(sentAt), time.Duration(0))
		assert.Equal(t, h.arrivalCount(), before)
	})
}
