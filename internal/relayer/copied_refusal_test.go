package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// serveCopies starts an endpoint at an address for which the registry holds several entries. It refuses the first
// sending of a request and runs the others. On a connection that carried the refusal it writes a copy of it
// before the answer to the next request.
func (h *harness) serveCopies(status, entries int) {
	sendings := map[string]int{}
	h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
		refusal := ""
		for request := h.readRawRequest(reader); request != nil; request = h.readRawRequest(reader) {
			id := request.Header.Get("X-Id")
			h.mu.Lock()
			sendings[id]++
			isFirst := sendings[id] == 1
			h.mu.Unlock()
			if isFirst {
				refusal = refusalText(status, "X-Not-Run: 1\r\nX-Id: "+id+"\r\n")
				_, _ = io.WriteString(conn, refusal)

				continue
			}
			_, _ = io.WriteString(conn, refusal)
			writeRawResponse(conn, id, "own")
		}
	})
	endpoints := make([]registrar.Endpoint, entries)
	for i := range endpoints {
		endpoints[i] = registrar.Endpoint{ID: fmt.Sprint("raw", i), Service: "api", Address: "raw:80", Slots: 6}
	}
	h.dispatcher.ApplyListing(h.bootClock(), 0, endpoints)
}

// Guards against a request that runs and is answered 503, or runs twice: refused for one entry of the registry, it is sent
// for another one of the same address, on the same connection, where a copy of its refusal comes.
func TestCopyOfARefusalDoesNotAnswerTheRepeatForAnotherEntryOfTheAddress(t *testing.T) {
	for _, status := range []int{http.StatusMisdirectedRequest, http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveCopies(status, 2)
				response, body, err := h.send(h.newRequest(http.MethodPost, "/once/x", "body"))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK, body)
				assert.Equal(t, h.arrivalCount(), 2, "one refusal and one run")
			})
		})
	}
}

// Guards against a caller that gets another answer as its own: if neither the request nor the answer has an ID, an
// earlier answer on the connection passes for that to the request.
func TestEarlierAnswerWithoutAnIDIsNotForwarded(t *testing.T) {
	const answer, report = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
	for name, firstPath := range map[string]string{"answer": "/once/first", "report": "/resume/first"} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
					earlier := ""
					for request := h.readRawRequest(reader); request != nil; request = h.readRawRequest(reader) {
						switch request.URL.Path {
						case reportPath:
							earlier = report
							_, _ = io.WriteString(conn, report)
						case "/resume/first":
							writeRawResponse(conn, "r1", "first")
						case "/once/first":
							earlier = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
							_, _ = io.WriteString(conn, earlier)
						default:
							_, _ = io.WriteString(conn, earlier+answer)
						}
					}
				})
				h.dispatcher.ApplyListing(h.bootClock(), 0, []registrar.Endpoint{{ID: "raw", Service: "api", Address: "raw:80", Slots: 6, Version: "v1", StartedUnixMs: 1}})
				first := h.newRequest(http.MethodPost, firstPath, "")
				if firstPath == "/once/first" {
					first.Header.Del("X-Id")
				}
				_, body, err := h.send(first)
				assert.NilError(t, err)
				assert.Equal(t, body, "first")
				second := h.newRequest(http.MethodPost, "/once/second", "")
				second.Header.Del("X-Id")
				response, body, err := h.send(second)
				assert.NilError(t, err)
				assert.Assert(t, response.StatusCode != http.StatusOK || body == "own", "%q is forwarded", body)
			})
		})
	}
}
