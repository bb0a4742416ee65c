package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Guards against a stream that runs once more or is refused though it ran, since an earlier answer on the connection
// is taken for the endpoint's report, and the report for the answer.
func TestEarlierAnswerIsNoReport(t *testing.T) {
	const report = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
	for name, test := range map[string]struct {
		extra   string // in place of the first report, which then comes in place of the next answer
		maxRuns int
	}{
		"refusal": {refusalText(503, "X-Not-Run: 1\r\nX-Id: r0\r\n"), 1},
		"success": {"HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 1\r\n\r\n1", 1},
		"report":  {report, 2},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				extra, runs := test.extra, 0
				h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
					due := ""
					for request := h.readRawRequest(reader); request != nil; request = h.readRawRequest(reader) {
						id := request.Header.Get("X-Id")
						switch {
						case request.URL.Path == reportPath && extra != "":
							extra, due = "", report
							_, _ = io.WriteString(conn, test.extra)
						case request.URL.Path == reportPath:
							_, _ = io.WriteString(conn, report)
						case id == "r0":
							writeRawResponse(conn, id, "own")
						default:
							runs++
							_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\ndata: v1\n\n", due, id)
						}
					}
				})
				h.dispatcher.ApplyListing(h.bootClock(), 0, []registrar.Endpoint{{ID: "raw", Service: "api", Address: "raw:80", Slots: 6, Version: "v1", StartedUnixMs: 1}})
				earlier := h.newRequest(http.MethodPost, "/once/x", "")
				earlier.Header.Set("X-Id", "r0")
				_, _, err := h.send(earlier)
				assert.NilError(t, err)
				response, body, err := h.send(h.newRequest(http.MethodPost, "/resume/x", ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK, body)
				assert.Assert(t, runs <= test.maxRuns, "%d runs", runs)
			})
		})
	}
}

// Guards against a stream with pieces of two runs, or one that is refused though it ran, since an answer to the request
// that began it comes where that to the one that takes it up is due.
func TestAnswerToTheBeginningOfAStreamIsNotItsRest(t *testing.T) {
	stream := func(id string, from int) string {
		body := ""
		for n := from; n <= 5; n++ {
			body += fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
		}

		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	for name, extra := range map[string]string{"whole": stream("r1", 1), "rest": stream("r1", 4), "refusal": refusalText(503, "X-Id: r1\r\nX-Not-Run: 1\r\n")} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				due := ""
				h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
					for request := h.readRawRequest(reader); request != nil; request = h.readRawRequest(reader) {
						after, _ := strconv.Atoi(request.Header.Get("X-After"))
						answer := due + stream(request.Header.Get("X-Id"), after+1)
						if request.URL.Path == reportPath {
							answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
						} else if due = ""; after == 0 {
							due = extra
						}
						_, _ = io.WriteString(conn, answer)
					}
				})
				h.dispatcher.ApplyListing(h.bootClock(), 0, []registrar.Endpoint{{ID: "raw", Service: "api", Address: "raw:80", Slots: 6, Version: "v1", StartedUnixMs: 1}})
				_, _, err := h.send(h.newRequest(http.MethodPost, "/resume/x", ""))
				assert.NilError(t, err)
				request := h.newRequest(http.MethodPost, "/resume/x", "")
				for field, value := range map[string]string{"X-Id": "r2", "X-Resumes": "r1", "X-After": "3"} {
					request.Header.Set(field, value)
				}
				response, body, err := h.send(request)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK, body)
				assert.Equal(t, body, "id: 4\ndata: r2\n\nid: 5\ndata: r2\n\n")
				assert.Equal(t, h.arrivalCount(), 5, "two reports and three requests, one of them a repeat")
			})
		})
	}
}
