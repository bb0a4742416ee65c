package connector_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
)

// play runs a test against an endpoint in virtual time.
func play(t *testing.T, handler http.HandlerFunc, test func(*testing.T, *connector.Connector)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := piper.New()
		network.Serve("e0", handler)
		links := connector.New(connector.DefaultSettings(), network.Dial)
		test(t, links)
		links.Close()
		network.Close()
		time.Sleep(time.Minute)
	})
}

func get(ctx context.Context, t *testing.T) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://e0/", http.NoBody)
	assert.NilError(t, err)

	return request
}

func mayLeave() error { return nil }

// exchange sends a request on a connection and gives the connection back.
func exchange(t *testing.T, links *connector.Connector) *connector.Connection {
	t.Helper()
	conn, err := links.Open(t.Context(), "e0:80")
	assert.NilError(t, err)
	response, err := conn.Send(get(t.Context(), t), mayLeave)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	links.Release(conn, response, 8)

	return conn
}

func TestConnectionsAreKeptAsLongAsTheEndpointSays(t *testing.T) {
	for name, test := range map[string]struct {
		header, value string
		wait          time.Duration
		kept          bool
	}{
		"soon":               {"", "", time.Second, true},
		"after the default":  {"", "", 5 * time.Second, false},
		"within its timeout": {"Keep-Alive", "max=5, timeout=20", 13 * time.Second, true},
		"near its timeout":   {"Keep-Alive", "timeout=20", 15 * time.Second, false},
		"unreadable timeout": {"Keep-Alive", "timeout=soon", 0, false},
		"closing":            {"Connection", "close", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(w http.ResponseWriter, _ *http.Request) {
				if test.header != "" {
					w.Header().Set(test.header, test.value)
				}
			}, func(t *testing.T, links *connector.Connector) {
				first := exchange(t, links)
				time.Sleep(test.wait)
				assert.Equal(t, exchange(t, links) == first, test.kept)
			})
		})
	}
}

func TestSweepClosesWhatIsNotUsedAgain(t *testing.T) {
	play(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, links *connector.Connector) {
		first := exchange(t, links)
		time.Sleep(10 * time.Second)
		links.CloseExpired()
		assert.Assert(t, exchange(t, links) != first)
	})
}

func TestWhatWasStoppedHasNotLeft(t *testing.T) {
	arrived := 0
	play(t, func(http.ResponseWriter, *http.Request) { arrived++ }, func(t *testing.T, links *connector.Connector) {
		conn, err := links.Open(t.Context(), "e0:80")
		assert.NilError(t, err)
		stopped := errors.New("key taken away")
		_, err = conn.Send(get(t.Context(), t), func() error { return stopped })
		assert.ErrorIs(t, err, connector.ErrNotSent)
		assert.ErrorIs(t, err, stopped)
		assert.Equal(t, arrived, 0)
	})
}

func TestWhatWasSentMayHaveRun(t *testing.T) {
	play(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, func(t *testing.T, links *connector.Connector) {
		conn, err := links.Open(t.Context(), "e0:80")
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = conn.Send(get(ctx, t), mayLeave)
		assert.Assert(t, err != nil && !errors.Is(err, connector.ErrNotSent))
	})
}

func TestRefusedConnectionNamesTheAddress(t *testing.T) {
	play(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, links *connector.Connector) {
		_, err := links.Open(t.Context(), "gone:80")
		assert.Assert(t, err != nil && strings.Contains(err.Error(), "gone:80"))
		assert.ErrorIs(t, err, piper.ErrRefused)
	})
}

func TestNoMoreIdleConnectionsThanAllowed(t *testing.T) {
	play(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, links *connector.Connector) {
		conns, responses := make([]*connector.Connection, 0, 3), make([]*http.Response, 0, 3)
		for range 3 {
			conn, err := links.Open(t.Context(), "e0:80")
			assert.NilError(t, err)
			response, err := conn.Send(get(t.Context(), t), mayLeave)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			conns, responses = append(conns, conn), append(responses, response)
		}
		for i := range conns {
			links.Release(conns[i], responses[i], 2)
		}
		kept := 0
		for range 3 {
			conn, err := links.Open(t.Context(), "e0:80")
			assert.NilError(t, err)
			if conn.Reused() {
				kept++
			}
		}
		assert.Equal(t, kept, 2)
	})
}

// An endpoint that fell silent may be gone: what is kept to it is not used again.
func TestForgottenConnectionsAreNotUsedAgain(t *testing.T) {
	play(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, links *connector.Connector) {
		first := exchange(t, links)
		links.Forget("e0:80")
		assert.Assert(t, exchange(t, links) != first)
	})
}
