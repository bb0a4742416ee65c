package relayer_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
)

func TestInvalidRequestIsRefusedByTheInstance(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*http.Request)
		path   string
		status int
	}{
		"unknown route": {func(*http.Request) {}, "/none/x", http.StatusNotFound},
		"unknown key":   {func(r *http.Request) { r.Header.Set("X-Key", "no") }, "/once/x", http.StatusUnauthorized},
		"public":        {func(r *http.Request) { r.Header.Del("X-Key") }, "/public/x", http.StatusOK},
		"large body": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
		}, "/once/x", http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveEndpoints(echoRequest)
				request := h.newRequest(http.MethodPost, test.path, "")
				test.change(request)
				response, _, err := h.send(request)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, test.status)
			})
		})
	}
}

func TestWithoutConfigurationRequestIsRefusedTemporarily(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		response, _, err := h.send(h.newRequest(http.MethodGet, "/none/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, response.Header.Get("Retry-After") != "")
	})
}

// An instance that cannot confirm its configuration accepts no API key and sends
// only refusals that may be retried, whether it was disconnected from the store or
// suspended.
func TestStaleConfigurationRefusesRequestsWithKeysTemporarily(t *testing.T) {
	for name, makeStale := range map[string]func(*harness){
		"disconnected": func(*harness) { time.Sleep(keyLease) },
		"suspended":    func(h *harness) { h.suspendedTime += keyLease },
		"no clock":     func(h *harness) { h.bootClock = func() time.Duration { return 0 } },
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveEndpoints(echoRequest)
				makeStale(h)
				for _, path := range []string{"/once/x", "/none/x"} {
					response, _, err := h.send(h.newRequest(http.MethodPost, path, ""))
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
					assert.Assert(t, response.Header.Get("Retry-After") != "")
					assert.Assert(t, response.Close, "the caller must connect to another instance")
				}
				response, _, err := h.send(h.newRequest(http.MethodGet, "/public/x", ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK, "public routes need no key")
				assert.Equal(t, h.arrivalCount(), 1)
			})
		})
	}
}

// An instance that is suspended between its check of the API key and the first byte
// to an endpoint must not send the request: the key may have been revoked meanwhile.
func TestNothingIsSentIfConfigurationTurnsStaleBeforeTheFirstByte(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(echoRequest)
		checks := 0
		originalClock := h.bootClock
		h.bootClock = func() time.Duration {
			checks++
			if checks > 1 {
				return originalClock() + keyLease
			}

			return originalClock()
		}
		response, _, err := h.send(h.newRequest(http.MethodPost, "/once/x", "body"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, h.arrivalCount(), 0)
	})
}

func TestSilentEndpointIsAnswered504AtTheRouteTimeout(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
		startTime := time.Now()
		response, _, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
		assert.Assert(t, time.Since(startTime) < 3500*time.Millisecond)
	})
}

func TestCallerDisconnectCancelsTheEndpointRequest(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		canceledAt := time.Time{}
		h.serveEndpoints(func(_ http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
			canceledAt = time.Now()
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		disconnectedAt := time.Now().Add(time.Second)
		_, _, err := h.send(h.newRequest(http.MethodPost, "/once/x", "").WithContext(ctx))
		assert.Assert(t, err != nil)
		synctest.Wait()
		assert.Assert(t, !canceledAt.IsZero() && canceledAt.Sub(disconnectedAt) < 500*time.Millisecond)
	})
}

func TestStoppingInstanceAnswersWithConnectionClose(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(echoRequest)
		h.relayer.DisableKeepAlives()
		response, _, err := h.send(h.newRequest(http.MethodGet, "/often/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Assert(t, response.Close)
	})
}

// A request that arrives while an instance starts is not refused during the short
// time in which the configuration is read.
func TestRequestDuringStartWaitsForTheConfiguration(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		go func() {
			time.Sleep(100 * time.Millisecond)
			h.serveEndpoints(echoRequest)
		}()
		response, _, err := h.send(h.newRequest(http.MethodGet, "/often/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	})
}

// Guards against a request that runs although its key was revoked while its body arrived.
func TestKeyThatIsRevokedWhileTheBodyArrivesDoesNotPass(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(echoRequest)
		conn, err := h.network.Dial(t.Context(), "tcp", "front:80")
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: front\r\nX-Id: r1\r\nX-Key: key\r\nContent-Length: 8\r\n\r\nbody")
		assert.NilError(t, err)
		time.Sleep(time.Second)
		configuration := testConfiguration()
		configuration.Number, configuration.Workspaces[0].APIKeys = 2, []string{"other"}
		h.dispatcher.ApplyConfiguration(h.bootClock(), matcher.New(configuration), dispatcher.StoredConfiguration{})
		_, err = io.WriteString(conn, "rest")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
		assert.Equal(t, h.arrivalCount(), 0)
		assert.NilError(t, conn.Close())
	})
}
