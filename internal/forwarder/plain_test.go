package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/forwarder"
	"github.com/oleanderpick/oleanderpick/pkg/joiner"
)

// TestPlainCallIsSentOnce: net/http sends a request that carries an
// Idempotency-Key again on its own when a kept connection breaks. A forwarder
// never does, with a body or without.
func TestPlainCallIsSentOnce(t *testing.T) {
	for _, test := range []struct{ name, method, body string }{
		{"body", http.MethodPost, "{}"},
		{"no body", http.MethodDelete, ""},
		{"empty post", http.MethodPost, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			var calls atomic.Int32
			service := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/break" {
					calls.Add(1)
					panic(http.ErrAbortHandler)
				}
			}))
			defer service.Close()
			forward := forwarder.New(joiner.DefaultSettings())
			defer forward.Close()

			// The first call leaves a connection to be kept.
			_, failure := forward.Plain(context.Background(), forwarder.PlainCall{
				Address: service.URL, Method: http.MethodGet, Path: "/keep", Header: http.Header{},
			})
			assert.Assert(t, failure == nil)
			_, failure = forward.Plain(context.Background(), forwarder.PlainCall{
				Address: service.URL, Method: test.method, Path: "/break", Body: []byte(test.body),
				Header: http.Header{"Idempotency-Key": {"key"}},
			})
			assert.Assert(t, failure != nil && !failure.StartStatus.IsNotStarted())
			assert.Equal(t, calls.Load(), int32(1))
		})
	}
}

// TestNothingLeftIsProved: only a connection that could not be opened, or an
// endpoint's own word, proves that a call did not run.
func TestNothingLeftIsProved(t *testing.T) {
	answers := map[string]func(w http.ResponseWriter){
		"/refused": func(w http.ResponseWriter) {
			w.Header().Set("X-Started", "false")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"/cut": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"/half": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
		},
	}
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answers[r.URL.Path](w) }))
	defer service.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	forward := forwarder.New(joiner.DefaultSettings())
	for _, test := range []struct {
		address, path string
		never         bool
	}{
		{service.URL, "/refused", true}, {service.URL, "/cut", false}, {service.URL, "/half", false}, {gone.URL, "/", true},
	} {
		_, failure := forward.Plain(context.Background(), forwarder.PlainCall{
			Address: test.address, Method: http.MethodPost, Path: test.path, Header: http.Header{}, Body: []byte("x"),
		})
		assert.Assert(t, failure != nil, test.path)
		assert.Equal(t, failure.StartStatus.IsNotStarted(), test.never, test.path)
	}
}
