package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lingerListener accepts connections that count how often they are set to end with a reset.
type lingerListener struct {
	net.Listener
	resets *atomic.Int64
}

func (l lingerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()

	return lingerConn{conn, l.resets}, err
}

type lingerConn struct {
	net.Conn
	resets *atomic.Int64
}

func (c lingerConn) SetLinger(seconds int) error {
	if seconds == 0 {
		c.resets.Add(1)
	}

	return nil
}

// Guards against an answer that was cut off looking whole to a caller of HTTP/1.0, whose answers without a length
// end with the connection.
func TestCutAnswerToAnOldCallerEndsWithAReset(t *testing.T) {
	stream, large := head(eventStream, inChunks)+chunks(eventsText(4), 23), head(inChunks)+chunks(strings.Repeat("x", 2<<20), 1<<20)
	for name, test := range map[string]struct {
		version, answer string
		isFramed        bool // an unexpected end of the body shows the cut
		resets          int64
	}{
		"stream":           {"1.0", stream, false, 1},
		"large":            {"1.0", large, false, 1},
		"whole stream":     {"1.0", stream + "0\r\n\r\n", false, 0},
		"stream, HTTP/1.1": {"1.1", stream, true, 0},
		"large, HTTP/1.1":  {"1.1", large, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveCut(cutEndpoint{func(int) string { return test.answer }, len(test.answer)})
				resets := atomic.Int64{}
				server := &http.Server{Handler: h.relayer, ReadHeaderTimeout: time.Minute}
				go func() { _ = server.Serve(lingerListener{h.network.Listen("old"), &resets}) }()
				time.Sleep(time.Millisecond) // The listener is there.
				conn, err := h.network.Dial(t.Context(), "tcp", "old:80")
				assert.NilError(t, err)
				_, err = fmt.Fprintf(conn, "POST /stream/x HTTP/%s\r\nHost: front\r\nX-Id: r1\r\nX-Key: key\r\nContent-Length: 1\r\n\r\nx", test.version)
				assert.NilError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				assert.Equal(t, err != nil, test.isFramed, "%v", err)
				_ = response.Body.Close()
				_ = conn.Close()
				assert.NilError(t, server.Close())
				assert.Equal(t, resets.Load(), test.resets)
			})
		})
	}
}
