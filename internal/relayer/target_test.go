package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
)

// Guards against a request whose path begins with two slashes reaching an endpoint with another host and
// path. Whatever the target, the endpoint gets it byte for byte or the request is refused.
func TestRequestTargetReachesEndpointsUnchanged(t *testing.T) {
	pieces := []string{"/", "//", "a", "b.example:1", "%2F", "%2f%20", "..", "?", "?x=1", "x=//y", ";v=1", "@", ":", "[1]", "|", "\"", "%", "%zz", "+", "*"}
	rapid.Check(t, func(r *rapid.T) {
		target := "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 6).Draw(r, "target"), "")
		runWithHarness(t, func(t *testing.T, h *harness) {
			received := ""
			h.serveEndpoints(func(w http.ResponseWriter, request *http.Request) {
				received = request.Host + " " + request.RequestURI
				w.WriteHeader(http.StatusOK)
			})
			configuration := testConfiguration()
			configuration.Number = 2
			configuration.Routes[0].PathPrefix = "/"
			h.dispatcher.ApplyConfiguration(h.bootClock(), matcher.New(configuration), dispatcher.StoredConfiguration{})
			conn, err := h.network.Dial(t.Context(), "tcp", "front:80")
			assert.NilError(t, err)
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: front\r\nX-Id: r1\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n", target)
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, response.Body)
			assert.NilError(t, conn.Close())
			if response.StatusCode == http.StatusBadRequest {
				assert.Equal(t, received, "")

				return
			}
			assert.Equal(t, received, "front "+target)
		})
	})
}

func TestPathThatBeginsWithTwoSlashesIsServed(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(echoRequest)
		configuration := testConfiguration()
		configuration.Number = 2
		configuration.Routes[0].PathPrefix = "/"
		h.dispatcher.ApplyConfiguration(h.bootClock(), matcher.New(configuration), dispatcher.StoredConfiguration{})
		request := h.newRequest(http.MethodPost, "/", "")
		request.URL.Path, request.URL.RawPath = "//accounts/a/payoff", "//accounts/%61/payoff"
		request.URL.RawQuery = "posting=1"
		response, body, err := h.send(request)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, "POST front //accounts/%61/payoff?posting=1 ")
	})
}
