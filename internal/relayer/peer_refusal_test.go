package relayer_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
)

// Guards against a request that a peer runs and that is sent elsewhere all the same, since the peer's
// answer has the mark of one that did not take it: from the endpoint, or for another request.
func TestPeerThatTookARequestIsBelievedOnlyForThatRequest(t *testing.T) {
	for name, test := range map[string]struct {
		header string
		want   int
	}{
		"for this request":    {"Oleanderpick-Elsewhere: 1\r\nOleanderpick-Answers: r1\r\n", http.StatusServiceUnavailable},
		"for another request": {"Oleanderpick-Elsewhere: 1\r\nOleanderpick-Answers: r0\r\n", http.StatusBadGateway},
		"broken off":          {"Oleanderpick-Elsewhere: 1\r\nX-Load: HTTP/1.1 200 OK\r\nOleanderpick-Answers: r1\r\n", http.StatusBadGateway},
		"older peer":          {"Oleanderpick-Elsewhere: 1\r\n", http.StatusServiceUnavailable},
		"final, another":      {"Oleanderpick-Elsewhere: 0\r\nOleanderpick-Answers: r0\r\n", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.partition = &partition{way: refuse, instances: []string{"i0"}, isActive: true}
				h.serveVersions(0, "v1", "v1")
				i := h.startInstance(0)
				defer i.stop()
				h.network.ServeConn("peer", func(conn net.Conn) {
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\n%sContent-Length: 0\r\n\r\n", test.header)
					}
				})
				i.dispatcher.SetFleet(dispatcher.Fleet{InstanceCount: 2, PeerReaches: []dispatcher.PeerReach{{Address: "peer:80"}}})
				request := h.newRequest(http.MethodPost, "/once/x", "")
				request.URL.Host, request.Host = "front-0", "front"
				response, body, err := h.send(request)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, test.want, body)
			})
		})
	}
}

// Guards against an endpoint that sets the headers which instances exchange: the instance that passed
// the request on would send it elsewhere though it ran.
func TestEndpointCannotSetTheHeadersOfInstances(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Oleanderpick-Elsewhere", "1")
			w.Header().Set("Oleanderpick-Answers", "other")
		})
		request := h.newRequest(http.MethodPost, "/once/x", "")
		response, _, err := h.send(request)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, response.Header.Get("Oleanderpick-Elsewhere")+response.Header.Get("Oleanderpick-Answers"), "")
	})
}
