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
