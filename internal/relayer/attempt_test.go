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

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

func TestRequestsPassUnchanged(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		var seen http.Header
		w.endpoints(func(answer http.ResponseWriter, request *http.Request) {
			seen = request.Header
			ok(answer, request)
		})
		request := w.request(http.MethodPost, "/once/a%2Fb/../c?x=1&y=%20", "body")
		request.Header.Set("X-Unknown", "kept")
		response, body, err := w.send(request)
		assert.NilError(t, err)
		assert.Equal(t, body, "POST front /once/a%2Fb/../c?x=1&y=%20 body")
		assert.Equal(t, response.Header.Get("X-Stamp"), "stamp-e0")
		assert.Equal(t, seen.Get("X-Unknown"), "kept")
		assert.Equal(t, seen.Get("X-Key"), "", "the key is not shown to endpoints")
		assert.Equal(t, seen.Get("X-Workspace"), "clinic")
		assert.Equal(t, seen.Get("X-Endpoint"), "e0")
		assert.Equal(t, seen.Get("X-Left"), "3s")
	})
}

// What a caller is told, and how often endpoints are asked, by kind of request
// and of failure. A request that must run once reaches one endpoint, unless that
// one says that it did not run it; 503 is told only of what did not run.
func TestFailuresByKindOfRequest(t *testing.T) {
	for name, test := range map[string]struct {
		path     string
		first    http.HandlerFunc
		status   int
		arrivals int
	}{
		"crash, once":              {"/once/x", crash, http.StatusBadGateway, 1},
		"crash, often":             {"/often/x", crash, http.StatusOK, 2},
		"crash, stream":            {"/stream/x", crash, http.StatusBadGateway, 1},
		"crash, resumable":         {"/resume/x", crash, http.StatusOK, 2},
		"truncated, once":          {"/once/x", truncated, http.StatusBadGateway, 1},
		"truncated, often":         {"/often/x", truncated, http.StatusOK, 2},
		"encoded, once":            {"/once/x", encoded, http.StatusBadGateway, 1},
		"other's answer, once":     {"/once/x", otherID, http.StatusBadGateway, 1},
		"other's answer, often":    {"/often/x", otherID, http.StatusOK, 2},
		"marked refusal, once":     {"/once/x", status(http.StatusServiceUnavailable, true), http.StatusOK, 2},
		"unmarked refusal, once":   {"/once/x", status(http.StatusServiceUnavailable, false), http.StatusBadGateway, 1},
		"unmarked 429, once":       {"/once/x", status(http.StatusTooManyRequests, false), http.StatusBadGateway, 1},
		"address reused, once":     {"/once/x", status(http.StatusMisdirectedRequest, false), http.StatusOK, 2},
		"failure, once":            {"/once/x", status(http.StatusInternalServerError, false), http.StatusInternalServerError, 1},
		"failure, often":           {"/often/x", status(http.StatusInternalServerError, false), http.StatusOK, 2},
		"its own 404, often":       {"/often/x", status(http.StatusNotFound, false), http.StatusNotFound, 1},
		"its own gateway, stream":  {"/stream/x", status(http.StatusGatewayTimeout, false), http.StatusGatewayTimeout, 1},
		"refused for an id, often": {"/often/x", status(http.StatusBadRequest, true), http.StatusBadRequest, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				play(t, func(t *testing.T, w *world) {
					w.endpoints(test.first, ok)
					response, body, err := w.send(w.request(method, test.path, ""))
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, test.status, body)
					assert.Equal(t, w.arrived(), test.arrivals)
					assert.Equal(t, response.Header.Get("Retry-After"), "")
				})
			}
		})
	}
}

func TestEndpointsFailureIsPassedOnWhole(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(status(http.StatusInternalServerError, false), status(http.StatusInternalServerError, false))
		response, body, err := w.send(w.request(http.MethodGet, "/often/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
		assert.Equal(t, body, "own words")
		assert.Assert(t, strings.HasPrefix(response.Header.Get("X-Stamp"), "stamp-"))
		assert.Equal(t, w.arrived(), 2)
	})
}

func TestRefusedEverywhereSaysWhenToComeBack(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		full := status(http.StatusServiceUnavailable, true)
		w.endpoints(full, full, full, full, full)
		response, _, err := w.send(w.request(http.MethodPost, "/once/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, response.Header.Get("Retry-After") != "")
		assert.Equal(t, w.arrived(), 3)
	})
}

// A connection that the endpoint closes while it is idle makes net/http resend a
// GET by itself; here each send is counted.
func TestKeptConnectionThatIsDeadIsNoReasonToResend(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints()
		w.network.ServeConn("raw", func(conn net.Conn) {
			reader := bufio.NewReader(conn)
			for i := 0; ; i++ {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				w.mu.Lock()
				w.arrivals = append(w.arrivals, "raw")
				w.mu.Unlock()
				if i > 0 { // The second request on the connection gets no answer.
					_ = conn.Close()

					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("X-Id"))
			}
		})
		w.control.ApplyListing(w.boot(), []registrar.Endpoint{{ID: "raw", Service: "api", Address: "raw:80", Slots: 6}})
		for i, want := range []int{http.StatusOK, http.StatusBadGateway} {
			response, _, err := w.send(w.request(http.MethodGet, "/once/x", ""))
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, want)
			assert.Equal(t, w.arrived(), i+1)
		}
	})
}

// An endpoint that hangs on an idempotent request is given up early enough for
// another one to answer in time; one that must run once is waited for.
func TestHangingEndpoint(t *testing.T) {
	for path, test := range map[string]struct {
		status, arrivals int
		within           time.Duration
	}{
		"/often/x": {http.StatusOK, 2, 300 * time.Millisecond},
		"/once/x":  {http.StatusGatewayTimeout, 1, 3500 * time.Millisecond},
	} {
		t.Run(path, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				w.endpoints(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }, ok)
				begun := time.Now()
				response, _, err := w.send(w.request(http.MethodGet, path, ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, test.status)
				assert.Equal(t, w.arrived(), test.arrivals)
				assert.Assert(t, time.Since(begun) < test.within)
			})
		})
	}
}

func TestHeadKeepsTheLengthOfWhatItDescribes(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(func(answer http.ResponseWriter, _ *http.Request) { answer.Header().Set("Content-Length", "1234") })
		response, body, err := w.send(w.request(http.MethodHead, "/often/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.ContentLength, int64(1234))
		assert.Equal(t, body, "")
	})
}

// An endpoint that answers nobody is left alone, though it takes connections and
// each request that hangs there must not be tried elsewhere.
func TestMuteEndpointIsLeftAlone(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }, ok)
		failed := 0
		for range 10 {
			w.confirm()
			response, _, err := w.send(w.request(http.MethodPost, "/once/x", ""))
			assert.NilError(t, err)
			if response.StatusCode != http.StatusOK {
				failed++
			}
		}
		assert.Assert(t, failed <= 4, "%d of 10 at the mute endpoint", failed)
	})
}

// A large answer that breaks off breaks the caller's connection, and its place
// at the endpoint is free again.
func TestLargeAnswerThatBreaksOff(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(func(answer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(answer, strings.Repeat("x", 3<<20))
			panic(http.ErrAbortHandler)
		})
		_, body, err := w.send(w.request(http.MethodPost, "/once/x", ""))
		assert.Assert(t, err != nil, "a broken answer must not look complete")
		assert.Assert(t, len(body) > 0)
		time.Sleep(time.Second)
		assert.Equal(t, len(w.control.BuildMessage().Loads), 0)
	})
}

// Several endpoints that crashed at once take no connections: a request finds
// the one that does, whichever it is, and what was never sent spends nothing of
// the bound on repeats.
func TestCrashedEndpointsArePassedOver(t *testing.T) {
	const count = 6
	for sound := range count {
		play(t, func(t *testing.T, w *world) {
			w.endpoints(ok, ok, ok, ok, ok, ok)
			for i := range count {
				if i != sound {
					w.network.Stop(fmt.Sprintf("e%d", i))
				}
			}
			for range 100 {
				w.confirm()
				response, _, err := w.send(w.request(http.MethodPost, "/once/x", ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
			}
		})
	}
}

// An engine that goes dark in the middle of its streams has failed, although it
// was their callers who left: it is not taken for the next ones.
func TestEndpointThatGoesDarkInAStreamIsLeftAlone(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		var dark atomic.Int64
		w.endpoints(events(3, func(io.Writer) { dark.Add(1); time.Sleep(time.Hour) }), events(5, nil))
		for range 10 {
			w.confirm()
			ctx, leave := context.WithTimeout(t.Context(), 2*time.Second)
			response, _, err := w.send(w.request(http.MethodPost, "/stream/x", "prompt").WithContext(ctx))
			leave()
			assert.Assert(t, err != nil || response.StatusCode == http.StatusOK)
			synctest.Wait()
		}
		assert.Assert(t, dark.Load() <= 3, "%d of 10 at the dark endpoint", dark.Load())
		time.Sleep(time.Hour)
	})
}
