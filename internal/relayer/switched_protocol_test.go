package relayer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// Guards against a request that is held beyond its timeout, and a connection that stays open for good, since an endpoint
// answers 101 (Switching Protocols), and against a caller that gets that status.
func TestEndpointThatSwitchesProtocolsDoesNotHoldARequest(t *testing.T) {
	for name, isEnded := range map[string]bool{"silent": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				isClosed := make(chan bool, 1)
				h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
					if h.readRawRequest(reader) == nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nX-Id: r1\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n")
					if !isEnded {
						_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
						_, err := conn.Read(make([]byte, 1))
						isClosed <- errors.Is(err, io.EOF)
					}
					_ = conn.Close()
				})
				sentAt := time.Now()
				response, _, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
				held := time.Since(sentAt)
				assert.Check(t, held < 3500*time.Millisecond, "held for %s", held)
				assert.Check(t, isEnded || <-isClosed, "the connection stays open")
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusBadGateway)
			})
		})
	}
}
