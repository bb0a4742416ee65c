package relayer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Guards against a stream that is held beyond its timeout, since its endpoint answers 101 to the request for a report.
func TestEndpointThatSwitchesProtocolsInPlaceOfAReportDoesNotHoldAStream(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
			if h.readRawRequest(reader) != nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n")
				time.Sleep(20 * time.Second)
				_ = conn.Close()
			}
		})
		h.dispatcher.ApplyListing(h.bootClock(), 0, []registrar.Endpoint{{ID: "raw", Service: "api", Address: "raw:80", Slots: 6, Version: "v1", StartedUnixMs: 1}})
		sentAt := time.Now()
		_, _, err := h.send(h.newRequest(http.MethodPost, "/resume/x", ""))
		assert.Check(t, time.Since(sentAt) < 3500*time.Millisecond, "held for %s", time.Since(sentAt))
		assert.NilError(t, err)
	})
}
