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

// maxEndlessBytes is the number of bytes without end that an instance may read before it
// closes the connection.
const maxEndlessBytes = 256 << 10

// serveEndless registers an endpoint that answers each request with the given beginning and
// then with the same line until the connection is closed. It returns the number of bytes
// that were taken.
func (h *harness) serveEndless(beginning, line string) *atomic.Int64 {
	var taken atomic.Int64
	h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
		request := h.readRawRequest(reader)
		if request == nil {
			return
		}
		_, err := fmt.Fprintf(conn, beginning, request.Header.Get("X-Id"))
		for err == nil {
			var n int
			n, err = io.WriteString(conn, line)
			taken.Add(int64(n))
			time.Sleep(time.Millisecond)
		}
	})

	return &taken
}

// Guards against an endpoint whose bytes without end fill an instance's memory or keep a
// request from its answer.
func TestEndlessBytesEndTheAttempt(t *testing.T) {
	line := strings.Repeat("x", 1<<10)
	for name, test := range map[string]struct {
		path, beginning, line string
	}{
		"head":             {"/once/x", "HTTP/1.1 200 OK\r\nX-Id: %s\r\n", "X-Header: " + line + "\r\n"},
		"one header":       {"/once/x", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Header: ", line},
		"interim answers":  {"/once/x", "HTTP/1.1 103 Early Hints\r\nX-Id: %s\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX-Header: " + line + "\r\n\r\n"},
		"no answer":        {"/once/x", "%s", line},
		"event of lines":   {"/stream/x", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n", "data: " + line + "\n"},
		"event of a line":  {"/stream/x", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\n\r\ndata: ", line},
		"chunk extension":  {"/once/x", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n1;", line},
		"other's answer":   {"/once/x", "HTTP/1.1 200 OK\r\nX-Id: other than %s\r\n\r\n", line},
		"refusal":          {"/once/x", "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nX-Not-Run: 1\r\n\r\n", "x"},
		"trailer":          {"/once/x", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\nTrailer: X-Header\r\n\r\n0\r\n", "X-Header: " + line + "\r\n"},
		"unmarked refusal": {"/once/x", "HTTP/1.1 503 Busy\r\nX-Id: %s\r\n\r\n", strings.Repeat(line, 1<<6)},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				taken := h.serveEndless(test.beginning, test.line)
				sentAt := time.Now()
				response, _, err := h.send(h.newRequest(http.MethodPost, test.path, ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusBadGateway)
				assert.Assert(t, time.Since(sentAt) < time.Second, "answered after %v", time.Since(sentAt))
				if name != "unmarked refusal" {
					assert.Assert(t, taken.Load() <= maxEndlessBytes, "%d bytes read", taken.Load())
				}
				assert.Equal(t, h.arrivalCount(), 1)
			})
		})
	}
}

// An answer whose body does not end is forwarded until the deadline of its request, and
// must not look complete.
func TestEndlessBodyIsCutOffAtTheDeadline(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndless("HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\n", strings.Repeat("x", 1<<13))
		sentAt := time.Now()
		_, _, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
		assert.Assert(t, err != nil)
		assert.Assert(t, time.Since(sentAt) <= 3500*time.Millisecond, "cut off after %v", time.Since(sentAt))
	})
}
