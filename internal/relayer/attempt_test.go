package relayer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		var receivedHeader http.Header
		h.serveEndpoints(func(w http.ResponseWriter, request *http.Request) {
			receivedHeader = request.Header
			echoRequest(w, request)
		})
		request := h.newRequest(http.MethodPost, "/once/a%2Fb/../c?x=1&y=%20", "body")
		request.Header.Set("X-Unknown", "kept")
		response, body, err := h.send(request)
		assert.NilError(t, err)
		assert.Equal(t, body, "POST front /once/a%2Fb/../c?x=1&y=%20 body")
		assert.Equal(t, response.Header.Get("X-Stamp"), "stamp-e0")
		assert.Equal(t, receivedHeader.Get("X-Unknown"), "kept")
		assert.Equal(t, receivedHeader.Get("X-Key"), "", "the key is not shown to endpoints")
		assert.Equal(t, receivedHeader.Get("X-Workspace"), "clinic")
		assert.Equal(t, receivedHeader.Get("X-Endpoint"), "e0")
		assert.Equal(t, receivedHeader.Get("X-Left"), "3s")
	})
}

// A request that must run at most once is sent to one endpoint only, unless that
// endpoint states that it did not run it. The caller gets 503 only if the request has
// not run.
func TestStatusAndAttemptsByFailureAndRequestKind(t *testing.T) {
	for name, test := range map[string]struct {
		path     string
		first    http.HandlerFunc
		status   int
		arrivals int
	}{
		"crash, once":                   {"/once/x", closeWithoutAnswer, http.StatusBadGateway, 1},
		"crash, often":                  {"/often/x", closeWithoutAnswer, http.StatusOK, 2},
		"crash, stream":                 {"/stream/x", closeWithoutAnswer, http.StatusBadGateway, 1},
		"crash, resumable":              {"/resume/x", closeWithoutAnswer, http.StatusOK, 2},
		"truncated, once":               {"/once/x", respondTruncated, http.StatusBadGateway, 1},
		"truncated, often":              {"/often/x", respondTruncated, http.StatusOK, 2},
		"encoded, once":                 {"/once/x", respondEncoded, http.StatusBadGateway, 1},
		"answer with another ID, once":  {"/once/x", respondWithOtherID, http.StatusBadGateway, 1},
		"answer with another ID, often": {"/often/x", respondWithOtherID, http.StatusOK, 2},
		"marked refusal, once":          {"/once/x", respondWithStatus(http.StatusServiceUnavailable, true), http.StatusOK, 2},
		"unmarked refusal, once":        {"/once/x", respondWithStatus(http.StatusServiceUnavailable, false), http.StatusBadGateway, 1},
		"unmarked 429, once":            {"/once/x", respondWithStatus(http.StatusTooManyRequests, false), http.StatusBadGateway, 1},
		"address reused, once":          {"/once/x", respondWithStatus(http.StatusMisdirectedRequest, false), http.StatusOK, 2},
		"failure, once":                 {"/once/x", respondWithStatus(http.StatusInternalServerError, false), http.StatusInternalServerError, 1},
		"failure, often":                {"/often/x", respondWithStatus(http.StatusInternalServerError, false), http.StatusOK, 2},
		"endpoint's 404, often":         {"/often/x", respondWithStatus(http.StatusNotFound, false), http.StatusNotFound, 1},
		"endpoint's 504, stream":        {"/stream/x", respondWithStatus(http.StatusGatewayTimeout, false), http.StatusGatewayTimeout, 1},
		"marked 400, often":             {"/often/x", respondWithStatus(http.StatusBadRequest, true), http.StatusBadRequest, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				runWithHarness(t, func(t *testing.T, h *harness) {
					h.serveEndpoints(test.first, echoRequest)
					response, body, err := h.send(h.newRequest(method, test.path, ""))
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, test.status, body)
					assert.Equal(t, h.arrivalCount(), test.arrivals)
					assert.Equal(t, response.Header.Get("Retry-After"), "")
				})
			}
		})
	}
}

func TestEndpointFailureIsForwardedWhenAllAttemptsFail(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(respondWithStatus(http.StatusInternalServerError, false), respondWithStatus(http.StatusInternalServerError, false))
		response, body, err := h.send(h.newRequest(http.MethodGet, "/often/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
		assert.Equal(t, body, "endpoint's body")
		assert.Assert(t, strings.HasPrefix(response.Header.Get("X-Stamp"), "stamp-"))
		assert.Equal(t, h.arrivalCount(), 2)
	})
}

func TestRefusalByAllEndpointsHasRetryAfter(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		refuse := respondWithStatus(http.StatusServiceUnavailable, true)
		h.serveEndpoints(refuse, refuse, refuse, refuse, refuse)
		response, _, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, response.Header.Get("Retry-After") != "")
		assert.Equal(t, h.arrivalCount(), 3)
	})
}

// When an endpoint closes an idle connection, net/http resends a GET on its own. The
// instance must not do so, since every send counts as an attempt.
func TestRequestOnClosedIdleConnectionIsNotResent(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints()
		h.network.ServeConn("raw", func(conn net.Conn) {
			reader := bufio.NewReader(conn)
			for i := 0; ; i++ {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				h.mu.Lock()
				h.reachedEndpoints = append(h.reachedEndpoints, "raw")
				h.mu.Unlock()
				if i > 0 { // The second request on the connection gets no answer.
					_ = conn.Close()

					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("X-Id"))
			}
		})
		h.dispatcher.ApplyListing(h.bootClock(), 0, []registrar.Endpoint{{ID: "raw", Service: "api", Address: "raw:80", Slots: 6}})
		for i, want := range []int{http.StatusOK, http.StatusBadGateway} {
			response, _, err := h.send(h.newRequest(http.MethodGet, "/once/x", ""))
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, want)
			assert.Equal(t, h.arrivalCount(), i+1)
		}
	})
}

// An idempotent request to a hanging endpoint is sent to another one early enough to be
// answered in time. A request that must run at most once waits for its endpoint.
func TestHangingEndpointIsAbandonedForIdempotentRequestsOnly(t *testing.T) {
	for path, test := range map[string]struct {
		status, arrivals int
		within           time.Duration
	}{
		"/often/x": {http.StatusOK, 2, 300 * time.Millisecond},
		"/once/x":  {http.StatusGatewayTimeout, 1, 3500 * time.Millisecond},
	} {
		t.Run(path, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveEndpoints(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }, echoRequest)
				startTime := time.Now()
				response, _, err := h.send(h.newRequest(http.MethodGet, path, ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, test.status)
				assert.Equal(t, h.arrivalCount(), test.arrivals)
				assert.Assert(t, time.Since(startTime) < test.within)
			})
		})
	}
}

func TestHeadAnswerKeepsContentLength(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "1234") })
		response, body, err := h.send(h.newRequest(http.MethodHead, "/often/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.ContentLength, int64(1234))
		assert.Equal(t, body, "")
	})
}

// An endpoint that accepts connections but never answers is ejected, although the
// requests that hang there must not be repeated.
func TestUnresponsiveEndpointIsEjected(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }, echoRequest)
		failed := 0
		for range 10 {
			h.confirmConfiguration()
			response, _, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
			assert.NilError(t, err)
			if response.StatusCode != http.StatusOK {
				failed++
			}
		}
		assert.Assert(t, failed <= 4, "%d of 10 requests at the unresponsive endpoint", failed)
	})
}

// If a large answer is truncated, the caller's connection is closed and the request no
// longer counts as load of the endpoint.
func TestTruncatedLargeAnswerClosesConnectionAndFreesItsSlot(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 3<<20))
			panic(http.ErrAbortHandler)
		})
		_, body, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
		assert.Assert(t, err != nil, "a truncated answer must not look complete")
		assert.Assert(t, len(body) > 0)
		time.Sleep(time.Second)
		assert.Equal(t, len(h.dispatcher.BuildMessage(dispatcher.OwnLoads).Loads), 0)
	})
}

// When all endpoints but one refuse connections, every request finds that one.
// Attempts of which nothing was sent do not count against the limit on repeats.
func TestEndpointsRefusingConnectionsAreSkipped(t *testing.T) {
	const endpointCount = 6
	for available := range endpointCount {
		runWithHarness(t, func(t *testing.T, h *harness) {
			h.serveEndpoints(echoRequest, echoRequest, echoRequest, echoRequest, echoRequest, echoRequest)
			for i := range endpointCount {
				if i != available {
					h.network.Stop(fmt.Sprintf("e%d", i))
				}
			}
			for range 100 {
				h.confirmConfiguration()
				response, _, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
			}
		})
	}
}

// An engine that stops sending in the middle of its streams counts as failed, although
// it was the callers who ended the streams: later requests go to another engine.
func TestEndpointThatFallsSilentDuringStreamsIsEjected(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		var silentStreams atomic.Int64
		h.serveEndpoints(streamEvents(3, func(io.Writer) { silentStreams.Add(1); time.Sleep(time.Hour) }), streamEvents(5, nil))
		for range 10 {
			h.confirmConfiguration()
			ctx, disconnect := context.WithTimeout(t.Context(), 2*time.Second)
			response, _, err := h.send(h.newRequest(http.MethodPost, "/stream/x", "prompt").WithContext(ctx))
			disconnect()
			assert.Assert(t, err != nil || response.StatusCode == http.StatusOK)
			synctest.Wait()
		}
		assert.Assert(t, silentStreams.Load() <= 3, "%d of 10 requests at the silent endpoint", silentStreams.Load())
		time.Sleep(time.Hour)
	})
}

// Guards against a caller being told that its request was not run, although an endpoint may
// have run it, because the service has no endpoint left for another attempt.
func TestRequestThatMayHaveRunIsNotCalledNotRunWithoutEndpoints(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(func(w http.ResponseWriter, request *http.Request) {
			h.dispatcher.ApplyListing(h.bootClock(), 0, nil)
			closeWithoutAnswer(w, request)
		})
		response, body, err := h.send(h.newRequest(http.MethodGet, "/often/a", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusBadGateway, body)
		assert.Equal(t, h.arrivalCount(), 1)
	})
}
