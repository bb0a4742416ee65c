package relayer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Guards against a caller that gets an endpoint's report as its answer: the report that is read on the request's own new
// connection comes once more, and neither it nor the request has an ID.
func TestCopyOfTheReportDoesNotAnswerARequestWithoutAnID(t *testing.T) {
	const report = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
			earlier := ""
			for request := h.readRawRequest(reader); request != nil; request = h.readRawRequest(reader) {
				answer := report
				if request.URL.Path != reportPath {
					answer = earlier + "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\ndata: v1\n\n"
				}
				earlier = report
				_, _ = io.WriteString(conn, answer)
			}
		})
		h.dispatcher.ApplyListing(h.bootClock(), 0, []registrar.Endpoint{{ID: "raw", Service: "api", Address: "raw:80", Slots: 6, Version: "v1", StartedUnixMs: 1}})
		request := h.newRequest(http.MethodPost, "/resume/x", "")
		request.Header.Del("X-Id")
		response, body, err := h.send(request)
		assert.NilError(t, err)
		assert.Assert(t, response.StatusCode != http.StatusOK || body == "id: 1\ndata: v1\n\n", "%q is forwarded", body)
	})
}
