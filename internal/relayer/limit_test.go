package relayer_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// respondWithLimit returns a handler that states a limit, in requests a second, while
// isLimited is true.
func respondWithLimit(limit string, isLimited *atomic.Bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if isLimited.Load() {
			w.Header().Set("X-Limit", limit)
		}
		_, _ = io.WriteString(w, "answer")
	}
}

// arrivalsAt returns the number of requests that reached one endpoint.
func (h *harness) arrivalsAt(endpoint string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, id := range h.reachedEndpoints {
		if id == endpoint {
			count++
		}
	}

	return count
}

// sendEvery sends requests at an interval for a time and returns how many were answered
// with each status.
func (h *harness) sendEvery(interval, duration time.Duration) map[int]int {
	statuses := map[int]int{}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		h.confirmConfiguration()
		response, _, err := h.send(h.newRequest(http.MethodGet, "/often/x", ""))
		assert.NilError(h.t, err)
		statuses[response.StatusCode]++
	}

	return statuses
}

// The limited endpoint gets its rate, in any four seconds no more than one and a half times
// that and five, and the other endpoint gets the rest.
func TestLimitedEndpointGetsItsRateAndAnotherTheRest(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		var isLimited atomic.Bool
		isLimited.Store(true)
		h.serveEndpoints(respondWithLimit("1", &isLimited), echoRequest)
		h.sendEvery(50*time.Millisecond, 5*time.Second)
		for range 5 {
			before := h.arrivalsAt("e0")
			assert.DeepEqual(t, h.sendEvery(50*time.Millisecond, 4*time.Second), map[int]int{http.StatusOK: 80})
			arrivals := h.arrivalsAt("e0") - before
			assert.Assert(t, arrivals >= 3 && arrivals <= 11, "%d requests", arrivals)
		}
	})
}

// When all endpoints have reached their limits, a request is refused at once as not run.
func TestRequestOverTheLimitsOfAllEndpointsIsRefusedAtOnce(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		var isLimited atomic.Bool
		isLimited.Store(true)
		h.serveEndpoints(respondWithLimit("0.5", &isLimited))
		h.sendEvery(100*time.Millisecond, 3*time.Second)
		sentAt, before := time.Now(), h.arrivalCount()
		response, body, err := h.send(h.newRequest(http.MethodGet, "/often/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, body, `{"error":"endpoints-limited","outcome":"not-run"}`)
		assert.Assert(t, response.Header.Get("Retry-After") != "")
		assert.Equal(t, time.Since(sentAt), time.Duration(0))
		assert.Equal(t, h.arrivalCount(), before)
	})
}

// A limit ends with the first answer that does not state it, and not by time.
func TestLimitLastsAsLongAsAnswersStateIt(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		var isLimited atomic.Bool
		isLimited.Store(true)
		h.serveEndpoints(respondWithLimit("1", &isLimited))
		h.sendEvery(100*time.Millisecond, 2*time.Second)
		time.Sleep(time.Hour)
		limited := h.sendEvery(100*time.Millisecond, 4*time.Second)
		assert.Assert(t, limited[http.StatusOK] <= 11 && limited[http.StatusServiceUnavailable] >= 29, "%v", limited)
		isLimited.Store(false)
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, h.sendEvery(100*time.Millisecond, 4*time.Second), map[int]int{http.StatusOK: 40})
	})
}

// Guards against a limit that ends because a refusal or failure does not state it.
func TestLimitOutlastsRefusalsAndFailuresWithoutIt(t *testing.T) {
	for name, failure := range map[string]http.HandlerFunc{
		"refusal": respondWithStatus(http.StatusServiceUnavailable, true),
		"failure": respondWithStatus(http.StatusInternalServerError, false),
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				var isLimited, isFailing atomic.Bool
				isLimited.Store(true)
				serve := respondWithLimit("0.5", &isLimited)
				h.serveEndpoints(func(w http.ResponseWriter, request *http.Request) {
					if isFailing.Load() {
						failure(w, request)
					} else {
						serve(w, request)
					}
				})
				h.sendEvery(100*time.Millisecond, 4*time.Second)
				isFailing.Store(true)
				before := h.arrivalCount()
				h.sendEvery(100*time.Millisecond, 4*time.Second)
				assert.Assert(t, h.arrivalCount()-before <= 8, "%d requests", h.arrivalCount()-before)
			})
		})
	}
}

// Repeats count like first attempts: endpoints that fail each request get no more than
// their limits.
func TestRepeatsCountAgainstTheLimit(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		failWithLimit := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Limit", "0.5")
			w.WriteHeader(http.StatusInternalServerError)
		}
		h.serveEndpoints(failWithLimit, failWithLimit)
		h.sendEvery(100*time.Millisecond, 4*time.Second)
		before := h.arrivalCount()
		h.sendEvery(100*time.Millisecond, 4*time.Second)
		assert.Assert(t, h.arrivalCount()-before <= 2*8, "%d requests", h.arrivalCount()-before)
	})
}

// Guards against resumed streams that are not counted: the limited endpoint gets no more than
// its limit, although another one breaks off each stream.
func TestResumedStreamsCountAgainstTheLimit(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(streamEvents(3, abortMidEvent), func(w http.ResponseWriter, request *http.Request) {
			w.Header().Set("X-Limit", "0.5")
			streamEvents(5, nil)(w, request)
		})
		sendStreams := func() (arrivals int) {
			before := h.arrivalsAt("e1")
			for range 40 {
				h.confirmConfiguration()
				_, _, _ = h.send(h.newRequest(http.MethodPost, "/resume/x", "prompt")) // Most streams break off.
				time.Sleep(100 * time.Millisecond)
			}

			return h.arrivalsAt("e1") - before
		}
		sendStreams()
		arrivals := sendStreams()
		assert.Assert(t, arrivals > 0 && arrivals <= 2*8, "%d arrivals", arrivals)
	})
}

// Guards against giving up a slow answer for a repeat that no endpoint may get.
func TestSlowAnswerIsKeptWhileNoEndpointMayGetARepeat(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		var isSlow atomic.Bool
		answerWithLimit := func(w http.ResponseWriter, _ *http.Request) {
			if isSlow.Load() {
				time.Sleep(time.Second)
			}
			w.Header().Set("X-Limit", "0.2")
			_, _ = io.WriteString(w, "answer")
		}
		h.serveEndpoints(answerWithLimit, answerWithLimit)
		h.sendEvery(100*time.Millisecond, 4*time.Second)
		time.Sleep(4 * time.Second) // Each endpoint may get one request again.
		h.confirmConfiguration()
		isSlow.Store(true)
		statuses := make(chan int, 3)
		for range cap(statuses) {
			go func() {
				response, _, err := h.send(h.newRequest(http.MethodGet, "/often/x", ""))
				if err != nil {
					t.Error(err)
					statuses <- 0

					return
				}
				statuses <- response.StatusCode
			}()
		}
		counts := map[int]int{}
		for range cap(statuses) {
			counts[<-statuses]++
		}
		assert.DeepEqual(t, counts, map[int]int{http.StatusOK: 2, http.StatusServiceUnavailable: 1})
	})
}
