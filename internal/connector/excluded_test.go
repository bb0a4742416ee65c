package connector_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/connector"
)

// Guards against a request that meets the answer to its earlier sending, since a connection has forgotten it, and
// against connections that are closed after fewer refusals than they can remember.
func TestConnectionRemembersEachRequestThatItExcludesUntilItIsClosed(t *testing.T) {
	const limit = 64
	runWithConnector(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, c *connector.Connector) {
		var kept *connector.Connection
		for i := range limit {
			conn, err := c.Open(t.Context(), "e0:80", fmt.Sprint("r", i))
			assert.NilError(t, err)
			assert.Assert(t, kept == nil || conn == kept, "another connection after %d requests", i)
			kept = conn
			response, err := conn.Send(newRequest(t.Context(), t), allowSend)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			conn.Exclude(fmt.Sprint("r", i))
			c.Release(conn, response, 8)
			if i != limit-2 {
				continue
			}
			for j := range limit - 1 { // Each of these opens a connection and keeps the other one idle.
				other, err := c.Open(t.Context(), "e0:80", fmt.Sprint("r", j))
				assert.NilError(t, err)
				assert.Assert(t, other.IsNew(), "request %d is forgotten", j)
				other.Close()
			}
		}
		conn, err := c.Open(t.Context(), "e0:80", "another")
		assert.NilError(t, err)
		assert.Assert(t, conn.IsNew(), "kept with %d requests", limit)
		conn.Close()
	})
}

// Guards against reuse of the connection that its endpoint will close next: the one that was used last comes first, also
// behind those that exclude the request.
func TestLastUsedConnectionIsReusedFirst(t *testing.T) {
	runWithConnector(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, c *connector.Connector) {
		connections := make([]*connector.Connection, 4)
		for i := range connections {
			conn, err := c.Open(t.Context(), "e0:80", "r")
			assert.NilError(t, err)
			connections[i] = conn
		}
		for i, conn := range connections {
			response, err := conn.Send(newRequest(t.Context(), t), allowSend)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			if i == 1 || i == 3 {
				conn.Exclude("r")
			}
			c.Release(conn, response, 8)
		}
		for _, want := range []struct {
			requestID string
			index     int
		}{{"r", 2}, {"r", 0}, {"another", 3}, {"another", 1}} {
			conn, err := c.Open(t.Context(), "e0:80", want.requestID)
			assert.NilError(t, err)
			assert.Equal(t, conn, connections[want.index])
			assert.Equal(t, conn.Number(), connections[0].Number()+uint64(want.index))
		}
	})
}
