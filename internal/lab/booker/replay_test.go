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

// The HTTP client sends a request with an Idempotency-Key again by itself
// when a reused connection breaks. A router that passes the key on must keep
// it from doing so: by a body that cannot be rewound or, also without a body,
// by a header name that is not in the client's own spelling.
func TestClientReplaysKeyedCalls(t *testing.T) {
	cases := []struct {
		name   string
		change func(*http.Request)
		runs   int
	}{
		{"as usual", func(*http.Request) {}, 2},
		{"no rewind", func(r *http.Request) { r.GetBody = nil }, 1},
		{"own spelling", func(r *http.Request) {
			r.Header["idempotency-key"] = r.Header["Idempotency-Key"]
			delete(r.Header, "Idempotency-Key")
			r.Method, r.Body, r.GetBody, r.ContentLength = http.MethodDelete, nil, nil, 0
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { assert.Equal(t, runsOfOneCall(t, c.change), c.runs) })
		})
	}
}

// runsOfOneCall returns how often one call of a client runs when its reused
// connection breaks after it ran.
func runsOfOneCall(t *testing.T, change func(*http.Request)) int {
	service, network := booker.New(booker.Settings{}), piper.New()
	network.Serve("service", service.Handler())
	client := network.Client()
	defer func() {
		service.Close()
		client.CloseIdleConnections()
		network.Close()
		time.Sleep(time.Second) // The server ends a broken connection after a pause.
	}()
	book := func(key string) error {
		request, err := http.NewRequestWithContext(
			t.Context(), http.MethodPost, "http://service/bookings", strings.NewReader("{}"))
		assert.NilError(t, err)
		request.Header.Set("Idempotency-Key", key)
		change(request)
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
