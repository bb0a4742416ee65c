package relayer_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestRefusalsOfTheInstance(t *testing.T) {
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
			play(t, func(t *testing.T, w *world) {
				w.endpoints(ok)
				request := w.request(http.MethodPost, test.path, "")
				test.change(request)
				response, _, err := w.send(request)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, test.status)
			})
		})
	}
}

func TestWithoutConfigurationNothingIsDenied(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		response, _, err := w.send(w.request(http.MethodGet, "/none/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, response.Header.Get("Retry-After") != "")
	})
}

// An instance that cannot confirm the configuration lets no key pass and denies
// nothing for good, cut off or suspended.
func TestStaleConfigurationLetsNoKeyPass(t *testing.T) {
	for name, age := range map[string]func(*world){
		"cut off":   func(*world) { time.Sleep(keyLease) },
		"suspended": func(w *world) { w.skipped += keyLease },
		"no clock":  func(w *world) { w.boot = func() time.Duration { return 0 } },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				w.endpoints(ok)
				age(w)
				for _, path := range []string{"/once/x", "/none/x"} {
					response, _, err := w.send(w.request(http.MethodPost, path, ""))
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
					assert.Assert(t, response.Header.Get("Retry-After") != "")
					assert.Assert(t, response.Close, "the caller had better connect elsewhere")
				}
				response, _, err := w.send(w.request(http.MethodGet, "/public/x", ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK, "public routes need no key")
				assert.Equal(t, w.arrived(), 1)
			})
		})
	}
}

// An instance that is suspended between its check of the key and the first byte
// to an endpoint sends nothing.
func TestKeyIsCheckedAgainBeforeTheFirstByte(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(ok)
		checks := 0
		steady := w.boot
		w.boot = func() time.Duration {
			checks++
			if checks > 1 {
				return steady() + keyLease
			}

			return steady()
		}
		response, _, err := w.send(w.request(http.MethodPost, "/once/x", "body"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, w.arrived(), 0)
	})
}

func TestSilentEndpointEndsWithTheRoutesTimeout(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
		begun := time.Now()
		response, _, err := w.send(w.request(http.MethodPost, "/once/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
		assert.Assert(t, time.Since(begun) < 3500*time.Millisecond)
	})
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		ended := time.Time{}
		w.endpoints(func(_ http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
			ended = time.Now()
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		left := time.Now().Add(time.Second)
		_, _, err := w.send(w.request(http.MethodPost, "/once/x", "").WithContext(ctx))
		assert.Assert(t, err != nil)
		synctest.Wait()
		assert.Assert(t, !ended.IsZero() && ended.Sub(left) < 500*time.Millisecond)
	})
}

func TestLeavingInstanceAsksToConnectElsewhere(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(ok)
		w.relayer.DisableKeepAlives()
		response, _, err := w.send(w.request(http.MethodGet, "/often/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Assert(t, response.Close)
	})
}

// A request that comes while an instance starts is not sent away for the moment
// in which the configuration is read.
func TestRequestWaitsForTheStart(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		go func() {
			time.Sleep(100 * time.Millisecond)
			w.endpoints(ok)
		}()
		response, _, err := w.send(w.request(http.MethodGet, "/often/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	})
}
