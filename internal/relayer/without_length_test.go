package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// nextAnswer and nextStream are answers that an endpoint writes behind another one.
const (
	nextAnswer = "HTTP/1.1 503 Busy\r\nX-Id: other\r\nContent-Length: 4\r\n\r\nbusy"
	nextStream = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Type: text/event-stream\r\n\r\nid: 3\ndata: other\n\n"
)

// Guards against an answer without a length being forwarded together with another one that stands
// behind it, which belongs to no request.
func TestNextAnswerIsNotPartOfAnAnswerWithoutLength(t *testing.T) {
	for name, test := range map[string]struct {
		path, body string
		status     int
	}{
		"once":               {"/once/x", "own" + nextAnswer, http.StatusBadGateway},
		"names HTTP":         {"/once/x", "own HTTP/1.1 200 OK\r\nA: b\r\n\r\nHTTP/1.", http.StatusOK},
		"names HTTP, before": {"/once/x", "HTTP/1.0 is old. " + nextAnswer, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
					if request := h.readRawRequest(reader); request != nil {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\n%s", request.Header.Get("X-Id"), test.body)
						_ = conn.Close()
					}
				})
				response, _, err := h.send(h.newRequest(http.MethodPost, test.path, ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, test.status)
			})
		})
	}
}

// Guards against a stream without a length that its endpoint broke off, within an event or
// before the first one, looking complete to the caller, and against the head of a next answer behind
// it being forwarded as an event.
func TestStreamWithoutLengthIsCompleteOnlyAtTheEndOfAnEvent(t *testing.T) {
	for name, test := range map[string]struct {
		body, want string
		complete   bool
	}{
		"ends after an event":        {eventsText(2), eventsText(2), true},
		"ends within an event":       {eventsText(2) + "id: 3\ndata: pie", eventsText(2), false},
		"ends after a line":          {eventsText(2) + "id: 3\n", eventsText(2), false},
		"ends before the last break": {eventsText(2) + "id: 3\ndata: piece 3\n", eventsText(2), false},
		"ends before an event":       {"", "", false},
		"an answer behind it":        {eventsText(2) + nextAnswer, eventsText(2), false},
		"an answer within an event":  {eventsText(2) + "id: 3\ndata: pie" + nextAnswer, eventsText(2), false},
		"in small letters":           {eventsText(2) + "id: 3\ndata: pie" + strings.ToLower(nextAnswer), eventsText(2), false},
		"a stream behind it":         {eventsText(2) + nextStream, eventsText(2), false},
		"a known field":              {"weights: 3\n" + eventsText(2), "weights: 3\n" + eventsText(2), true},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
					request := h.readRawRequest(reader)
					if request == nil {
						return
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n%s", request.Header.Get("X-Id"), test.body)
					_ = conn.Close()
				})
				response, body, err := h.send(h.newRequest(http.MethodPost, "/stream/x", ""))
				isComplete := err == nil && response.StatusCode == http.StatusOK
				assert.Equal(t, isComplete, test.complete, "error %v", err)
				if response != nil && response.StatusCode == http.StatusOK {
					assert.Equal(t, body, test.want)
				}
				assert.Equal(t, h.arrivalCount(), 1)
			})
		})
	}
}

// resetConn is a connection that ends with a reset.
type resetConn struct{ net.Conn }

func (c resetConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = syscall.ECONNRESET
	}

	return n, err
}

// Guards against an answer without a length that is cut off by a reset, not by the regular
// end of its connection, looking complete to the caller.
func TestAnswerWithoutLengthIsNotCompleteAfterReset(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.wrapConn = func(conn net.Conn) net.Conn { return resetConn{conn} }
		h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
			request := h.readRawRequest(reader)
			if request == nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nhalf of the answer", request.Header.Get("X-Id"))
			_ = conn.Close()
		})
		response, _, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
		assert.Assert(t, err != nil || response.StatusCode == http.StatusBadGateway)
		assert.Equal(t, h.arrivalCount(), 1)
	})
}

// Guards against an instance that spends its time on a body in which heads begin again and again.
func TestBodyOfManyHeadsIsReadInTime(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		body := strings.Repeat("A: HTTP/1.1 200 OK\r\n", 50_000)
		h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
			if request := h.readRawRequest(reader); request != nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\n%s", request.Header.Get("X-Id"), body)
				_ = conn.Close()
			}
		})
		response, received, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, len(received), len(body))
	})
}

// Guards against an answer without a length that is too large to keep, and goes on with another request's
// answer.
func TestNextAnswerIsNotPartOfALargeAnswer(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
			if request := h.readRawRequest(reader); request != nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n%s%s", strings.Repeat("x", 1200<<10), nextAnswer)
				_ = conn.Close()
			}
		})
		_, body, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
		assert.Assert(t, err != nil, "the answer looks complete")
		assert.Assert(t, strings.Trim(body, "x") == "", "bytes of the other answer are forwarded")
	})
}
