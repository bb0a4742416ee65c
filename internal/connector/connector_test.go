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

// runWithConnector runs a test in virtual time, with a connector that reaches the handler
// at the address e0:80.
func runWithConnector(t *testing.T, handler http.HandlerFunc, test func(*testing.T, *connector.Connector)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := piper.New()
		network.Serve("e0", handler)
		c := connector.New(connector.DefaultSettings(), network.Dial)
		test(t, c)
		c.Close()
		network.Close()
		time.Sleep(time.Minute)
	})
}

// newRequest returns a GET request to the endpoint e0.
func newRequest(ctx context.Context, t *testing.T) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://e0/", http.NoBody)
	assert.NilError(t, err)

	return request
}

// allowSend lets a request be sent.
func allowSend() error { return nil }

// sendAndRelease sends a request, releases its connection and returns it.
func sendAndRelease(t *testing.T, c *connector.Connector) *connector.Connection {
	t.Helper()
	conn, err := c.Open(t.Context(), "e0:80", "r1")
	assert.NilError(t, err)
	response, err := conn.Send(newRequest(t.Context(), t), allowSend)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	c.Release(conn, response, 8)

	return conn
}

func TestIdleConnectionIsReusedWithinItsTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		header, value string
		wait          time.Duration
		reused        bool
	}{
		"before the default timeout":    {"", "", time.Second, true},
		"after the default timeout":     {"", "", 5 * time.Second, false},
		"within the Keep-Alive timeout": {"Keep-Alive", "max=5, timeout=20", 13 * time.Second, true},
		"near the Keep-Alive timeout":   {"Keep-Alive", "timeout=20", 15 * time.Second, false},
		"malformed timeout":             {"Keep-Alive", "timeout=soon", 0, false},
		"Connection: close":             {"Connection", "close", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			runWithConnector(t, func(w http.ResponseWriter, _ *http.Request) {
				if test.header != "" {
					w.Header().Set(test.header, test.value)
				}
			}, func(t *testing.T, c *connector.Connector) {
				first := sendAndRelease(t, c)
				time.Sleep(test.wait)
				assert.Equal(t, sendAndRelease(t, c) == first, test.reused)
			})
		})
	}
}

func TestConnectionIsNotReusedAfterCloseExpired(t *testing.T) {
	runWithConnector(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, c *connector.Connector) {
		first := sendAndRelease(t, c)
		time.Sleep(10 * time.Second)
		c.CloseExpired()
		assert.Assert(t, sendAndRelease(t, c) != first)
	})
}

func TestErrorBeforeTheFirstByteIsErrNotSent(t *testing.T) {
	requestCount := 0
	runWithConnector(t, func(http.ResponseWriter, *http.Request) { requestCount++ }, func(t *testing.T, c *connector.Connector) {
		conn, err := c.Open(t.Context(), "e0:80", "r1")
		assert.NilError(t, err)
		errRevoked := errors.New("key revoked")
		_, err = conn.Send(newRequest(t.Context(), t), func() error { return errRevoked })
		assert.ErrorIs(t, err, connector.ErrNotSent)
		assert.ErrorIs(t, err, errRevoked)
		assert.Equal(t, requestCount, 0)
	})
}

func TestTimeoutAfterSendingIsNotErrNotSent(t *testing.T) {
	runWithConnector(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, func(t *testing.T, c *connector.Connector) {
		conn, err := c.Open(t.Context(), "e0:80", "r1")
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = conn.Send(newRequest(ctx, t), allowSend)
		assert.Assert(t, err != nil && !errors.Is(err, connector.ErrNotSent))
	})
}

func TestDialErrorNamesTheAddress(t *testing.T) {
	runWithConnector(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, c *connector.Connector) {
		_, err := c.Open(t.Context(), "gone:80", "r1")
		assert.Assert(t, err != nil && strings.Contains(err.Error(), "gone:80"))
		assert.ErrorIs(t, err, piper.ErrRefused)
	})
}

func TestReleaseKeepsAtMostTheAllowedIdleConnections(t *testing.T) {
	runWithConnector(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, c *connector.Connector) {
		connections, responses := make([]*connector.Connection, 0, 3), make([]*http.Response, 0, 3)
		for range 3 {
			conn, err := c.Open(t.Context(), "e0:80", "r1")
			assert.NilError(t, err)
			response, err := conn.Send(newRequest(t.Context(), t), allowSend)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			connections, responses = append(connections, conn), append(responses, response)
		}
		for i := range connections {
			c.Release(connections[i], responses[i], 2)
		}
		reusedCount := 0
		for range 3 {
			conn, err := c.Open(t.Context(), "e0:80", "r1")
			assert.NilError(t, err)
			if conn.IsReused() {
				reusedCount++
			}
		}
		assert.Equal(t, reusedCount, 2)
	})
}

// An endpoint that became silent may be gone, so idle connections to it are not reused.
func TestConnectionIsNotReusedAfterCloseIdle(t *testing.T) {
	runWithConnector(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, c *connector.Connector) {
		first := sendAndRelease(t, c)
		c.CloseIdle("e0:80")
		assert.Assert(t, sendAndRelease(t, c) != first)
	})
}

// Guards against connections that end because one keep-alive probe is lost while an answer is
// awaited: with TCP_USER_TIMEOUT set, Linux ignores the number of probes.
func TestTwoKeepAliveProbesFitIntoTheUnacknowledgedTimeout(t *testing.T) {
	settings := connector.DefaultSettings()
	assert.Equal(t, settings.KeepAliveProbeInterval%time.Second, time.Duration(0), "the socket options have whole seconds")
	assert.Assert(t, 2*settings.KeepAliveProbeInterval < settings.UnacknowledgedTimeout)
}

// Guards against a request that meets the answer to its earlier sending on a connection that has carried it.
func TestConnectionIsNotReusedForARequestThatItExcludes(t *testing.T) {
	runWithConnector(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, c *connector.Connector) {
		open := func(id string) *connector.Connection {
			conn, err := c.Open(t.Context(), "e0:80", id)
			assert.NilError(t, err)

			return conn
		}
		release := func(conn *connector.Connection, excluded ...string) {
			response, err := conn.Send(newRequest(t.Context(), t), allowSend)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			for _, id := range excluded {
				conn.Exclude(id)
			}
			c.Release(conn, response, 8)
		}
		older, newer := open("r1"), open("r2")
		release(older)
		release(newer, "r1", "r2")
		assert.Equal(t, open("r1"), older, "the older idle connection, as the newer one excludes the request")
		assert.Assert(t, open("r2").IsNew(), "both requests are excluded")
		assert.Equal(t, open("r3"), newer)

		release(newer, make([]string, 63)...)
		assert.Assert(t, open("r3").IsNew(), "closed, as it excludes too many")
	})
}
