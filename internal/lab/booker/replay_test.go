package booker_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/booker"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
)

// Go's HTTP client resends a request with an Idempotency-Key by itself when a
// reused connection breaks, and the call may run twice. A router that forwards the
// key must prevent this, either by a body without GetBody, which the client cannot
// rewind, or, for requests without a body too, by a header name in lower case, which
// the client doesn't recognise.
func TestHTTPClientResendsCallsWithIdempotencyKeyUnlessPrevented(t *testing.T) {
	cases := []struct {
		name         string
		modify       func(*http.Request)
		expectedRuns int
	}{
		{"unmodified request", func(*http.Request) {}, 2},
		{"body without GetBody", func(r *http.Request) { r.GetBody = nil }, 1},
		{"lower-case header name", func(r *http.Request) {
			r.Header["idempotency-key"] = r.Header["Idempotency-Key"]
			delete(r.Header, "Idempotency-Key")
			r.Method, r.Body, r.GetBody, r.ContentLength = http.MethodDelete, nil, nil, 0
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { assert.Equal(t, countRunsOfCall(t, c.modify), c.expectedRuns) })
		})
	}
}

// countRunsOfCall returns how often one call of an HTTP client runs when its reused
// connection breaks after the call ran.
func countRunsOfCall(t *testing.T, modify func(*http.Request)) int {
	service, network := booker.New(booker.Settings{}), piper.New()
	network.Serve("service", service.Handler())
	client := network.Client()
	defer func() {
		service.Close()
		client.CloseIdleConnections()
		network.Close()
		time.Sleep(time.Second) // The server closes a broken connection after a delay.
	}()
	book := func(key string) error {
		request, err := http.NewRequestWithContext(
			t.Context(), http.MethodPost, "http://service/bookings", strings.NewReader("{}"))
		assert.NilError(t, err)
		request.Header.Set("Idempotency-Key", key)
		modify(request)
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)

		return err
	}

	assert.NilError(t, book("first"))
	service.SetFaults(booker.Faults{LostAnswer: 1})
	assert.Assert(t, book("second") != nil)

	return service.Audit().RunsByKey["second"]
}
