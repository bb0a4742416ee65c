package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/forwarder"
	"github.com/oleanderpick/oleanderpick/pkg/joiner"
)

// When a pooled connection breaks, net/http by default sends a request with an
// Idempotency-Key header again on its own. The forwarder must not let it, whether the
// request has a body or not.
func TestPlainCallIsSentOnceWhenPooledConnectionBreaks(t *testing.T) {
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

			// The first call leaves an idle connection in the pool.
			_, failure := forward.RunPlainCall(context.Background(), forwarder.PlainCall{
				Address: service.URL, Method: http.MethodGet, PathAndQuery: "/keep", Header: http.Header{},
			})
			assert.Assert(t, failure == nil)
			_, failure = forward.RunPlainCall(context.Background(), forwarder.PlainCall{
				Address: service.URL, Method: test.method, PathAndQuery: "/break", Body: []byte(test.body),
				Header: http.Header{"Idempotency-Key": {"key"}},
			})
			assert.Assert(t, failure != nil && !failure.StartStatus.IsNotStarted())
			assert.Equal(t, calls.Load(), int32(1))
		})
	}
}

// Only a connection that could not be opened, or an answer of the endpoint that says so,
// proves that a call did not start. A connection that breaks before or within the answer
// proves nothing.
func TestOnlyDialErrorOrEndpointReplyProvesCallDidNotStart(t *testing.T) {
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
	closedServer := httptest.NewServer(http.NotFoundHandler())
	closedServer.Close()
	forward := forwarder.New(joiner.DefaultSettings())
	for _, test := range []struct {
		address, path  string
		wantNotStarted bool
	}{
		{service.URL, "/refused", true}, {service.URL, "/cut", false}, {service.URL, "/half", false}, {closedServer.URL, "/", true},
	} {
		_, failure := forward.RunPlainCall(context.Background(), forwarder.PlainCall{
			Address: test.address, Method: http.MethodPost, PathAndQuery: test.path, Header: http.Header{}, Body: []byte("x"),
		})
		assert.Assert(t, failure != nil, test.path)
		assert.Equal(t, failure.StartStatus.IsNotStarted(), test.wantNotStarted, test.path)
	}
}

// Guards against a call that runs twice, or that is reported as not run while it runs, after a service
// has written an earlier refusal again on a reused connection.
func TestEarlierRefusalIsNoProofThatACallDidNotStart(t *testing.T) {
	for _, test := range []struct {
		method         string
		wantNotStarted bool // on the first connection
	}{{http.MethodPost, true}, {http.MethodGet, false}} {
		t.Run(test.method, func(t *testing.T) {
			var connections atomic.Int32
			service := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Started", "false")
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			service.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					connections.Add(1)
				}
			}
			service.Start()
			defer service.Close()
			forward := forwarder.New(joiner.DefaultSettings())
			defer forward.Close()
			for n := range 3 {
				_, failure := forward.RunPlainCall(context.Background(), forwarder.PlainCall{Address: service.URL, Method: test.method, PathAndQuery: "/", Header: http.Header{}})
				assert.Equal(t, failure.StartStatus.IsNotStarted(), test.wantNotStarted)
				if test.wantNotStarted {
					assert.Equal(t, connections.Load(), int32(n+1), "each call has a connection of its own")
				}
			}
		})
	}
}

// discardedChunks is a ChunkWriter that counts chunks.
type discardedChunks int

func (c *discardedChunks) WriteChunk([]byte) error { *c++; return nil }
func (c *discardedChunks) Flush() error            { return nil }

// Guards against the stream or the refusal of an earlier request being taken for that of this one.
func TestAnswerOfAnotherModelRequestSaysNothingOfThisOne(t *testing.T) {
	for _, test := range []struct {
		id, started    string
		status         int
		wantNotStarted bool
	}{
		{"other", "", http.StatusOK, false}, {"other", "false", http.StatusServiceUnavailable, false}, {"own", "false", http.StatusServiceUnavailable, true},
	} {
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost {
				w.WriteHeader(http.StatusNotFound) // The stream is not known.

				return
			}
			w.Header().Set("X-Request-Id", test.id)
			w.Header().Set("X-Started", test.started)
			w.WriteHeader(test.status)
			_, _ = io.WriteString(w, "id: 0\ndata: text\n\n")
		}))
		forward := forwarder.New(joiner.DefaultSettings())
		chunks := discardedChunks(0)
		result := forward.RunModelCall(t.Context(), forwarder.ModelCall{Address: engine.URL, Path: "/", StreamID: "own"}, &chunks, func(int) {})
		assert.Assert(t, result.Failure != nil && chunks == 0)
		assert.Equal(t, result.Failure.StartStatus.IsNotStarted(), test.wantNotStarted, test.id)
		forward.Close()
		engine.Close()
	}
}
