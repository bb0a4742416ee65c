package forwarder_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/forwarder"
	"github.com/oleanderpick/oleanderpick/pkg/joiner"
)

// Guards against a caller that gets status 101 (Switching Protocols), for which it did not ask. While the connection is open,
// net/http would also hold the call beyond its deadline.
func TestSwitchOfProtocolsIsNoAnswer(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			forward := forwarder.New(joiner.DefaultSettings())
			defer forward.Close()
			address := serveText(t, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n", "")
			answer, failure := forward.RunPlainCall(t.Context(), forwarder.PlainCall{Address: address, Method: method, PathAndQuery: "/", Header: http.Header{}})
			assert.Assert(t, failure != nil, "status %d", answer.Status)
		})
	}
}
