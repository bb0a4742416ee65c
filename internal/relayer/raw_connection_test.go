package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// serveRaw registers an endpoint whose handler reads and writes the bytes of its
// connections itself.
func (h *harness) serveRaw(handle func(net.Conn, *bufio.Reader)) {
	h.confirmConfiguration()
	h.network.ServeConn("raw", func(conn net.Conn) { handle(conn, bufio.NewReader(conn)) })
	h.dispatcher.ApplyListing(h.bootClock(), 0, []registrar.Endpoint{{ID: "raw", Service: "api", Address: "raw:80", Slots: 6}})
}

// readRawRequest reads a request with its body; nil if the connection has ended.
func (h *harness) readRawRequest(reader *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reachedEndpoints = append(h.reachedEndpoints, "raw")

	return request
}

// writeRawResponse writes a response with the given request ID and body.
func writeRawResponse(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// An endpoint that sends a second response to a request, at once or late, must not
// answer the next request with it.
func TestExtraResponsesAreNotGivenToTheNextRequest(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "late": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
					for request := h.readRawRequest(reader); request != nil; request = h.readRawRequest(reader) {
						writeRawResponse(conn, request.Header.Get("X-Id"), "own")
						time.Sleep(delay)
						writeRawResponse(conn, "of before", "extra")
					}
				})
				for i := range 3 {
					request := h.newRequest(http.MethodGet, "/often/x", "")
					request.Header.Set("X-Id", fmt.Sprint("r", i))
					response, body, err := h.send(request)
					assert.NilError(t, err)
					if response.StatusCode == http.StatusOK {
						assert.Equal(t, body, "own")
						assert.Equal(t, response.Header.Get("X-Id"), fmt.Sprint("r", i))
					}
				}
			})
		})
	}
}

// An answer without a length that ends with its connection is complete.
func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
			request := h.readRawRequest(reader)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nto the end", request.Header.Get("X-Id"))
			_ = conn.Close()
		})
		response, body, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, "to the end")
	})
}

func TestMalformedResponseIsAnswered502(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
			if h.readRawRequest(reader) != nil {
				_, _ = io.WriteString(conn, "what is this\r\n\r\n")
			}
		})
		response, _, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusBadGateway)
		assert.Equal(t, h.arrivalCount(), 1)
	})
}

// Guards against a status that ends no answer being forwarded, or ending the caller's connection without one.
func TestStatusThatIsNotFinalIsAnswered502(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		runWithHarness(t, func(t *testing.T, h *harness) {
			h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
				if h.readRawRequest(reader) != nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno", status)
				}
			})
			response, _, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusBadGateway)
			assert.Equal(t, h.arrivalCount(), 1)
		})
	}
}

// An endpoint that answers before it has read the whole body would take the next
// request for the rest of the body, so the connection must not be reused.
func TestConnectionIsNotReusedAfterAnAnswerBeforeTheWholeBody(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		connections := 0
		h.serveRaw(func(conn net.Conn, _ *bufio.Reader) {
			connections++
			reader := bufio.NewReaderSize(conn, 16) // Leaves most of the body unread.
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			writeRawResponse(conn, request.Header.Get("X-Id"), "early")
			time.Sleep(time.Second)
			rest, _ := io.ReadAll(reader)
			assert.Assert(t, !strings.Contains(string(rest), "HTTP/1.1"), "another request in place of the body")
		})
		for range 2 {
			response, body, err := h.send(h.newRequest(http.MethodPost, "/once/x", strings.Repeat("x", 900)))
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, body, "early")
		}
		assert.Equal(t, connections, 2)
	})
}

// A request hidden in a body (request smuggling) is forwarded as part of the body,
// whether the body has a length, is chunked, or claims both.
func TestRequestHiddenInABodyIsNotExecuted(t *testing.T) {
	const hidden = "POST /once/hidden HTTP/1.1\r\nHost: front\r\nX-Id: evil\r\nContent-Length: 0\r\n\r\n"
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	for name, text := range map[string]string{
		"sized":             fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(hidden), hidden),
		"chunked":           "Transfer-Encoding: chunked\r\n\r\n" + chunked,
		"sized and chunked": fmt.Sprintf("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n%s", chunked),
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				var paths []string
				h.serveEndpoints(func(_ http.ResponseWriter, request *http.Request) {
					paths = append(paths, request.RequestURI)
					body, _ := io.ReadAll(request.Body)
					assert.Equal(t, string(body), hidden)
					assert.Equal(t, request.ContentLength, int64(len(hidden)))
				})
				conn, err := h.network.Dial(t.Context(), "tcp", "front:80")
				assert.NilError(t, err)
				_, err = io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: front\r\nX-Id: r1\r\nX-Key: key\r\n"+text)
				assert.NilError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				assert.NilError(t, conn.Close())
				assert.DeepEqual(t, paths, []string{"/once/x"})
			})
		})
	}
}

// If a caller does not send its whole body within the route's timeout, the request is
// refused and not sent to any endpoint.
func TestIncompleteBodyIsAnswered408AtTheRouteTimeout(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(echoRequest)
		conn, err := h.network.Dial(t.Context(), "tcp", "front:80")
		assert.NilError(t, err)
		startTime := time.Now()
		_, err = io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: front\r\nX-Id: r1\r\nX-Key: key\r\nContent-Length: 500\r\n\r\nsome")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
		assert.Assert(t, time.Since(startTime) < 3500*time.Millisecond)
		assert.Equal(t, h.arrivalCount(), 0)
		assert.NilError(t, response.Body.Close())
		assert.NilError(t, conn.Close())
	})
}

func TestAbsoluteURLTargetIsForwardedAsAPath(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(echoRequest)
		conn, err := h.network.Dial(t.Context(), "tcp", "front:80")
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "GET http://front/often/x?y=1 HTTP/1.1\r\nHost: front\r\nX-Id: r1\r\nX-Key: key\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "GET front /often/x?y=1 ")
		assert.NilError(t, conn.Close())
	})
}

// Guards against a request that runs twice, or that is reported as not run while it runs, after an
// endpoint has written an earlier refusal again on a reused connection, with the ID of the refused
// request or without one.
func TestEarlierRefusalSaysNothingOfThisRequest(t *testing.T) {
	refusal := func(status int, id string) string {
		return fmt.Sprintf("HTTP/1.1 %d Refused\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno", status, id)
	}
	for name, extra := range map[string]string{
		"earlier ID": refusal(503, "r0"), "no ID": refusal(503, ""), "429": refusal(429, "r0"), "misdirected": refusal(421, "r0"), "misdirected, no ID": refusal(421, ""),
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
					for request := h.readRawRequest(reader); request != nil; request = h.readRawRequest(reader) {
						if id := request.Header.Get("X-Id"); id != "r1" {
							writeRawResponse(conn, id, "own")

							continue
						}
						_, _ = io.WriteString(conn, extra) // While the endpoint runs the request.
					}
				})
				for i, want := range []int{http.StatusOK, http.StatusBadGateway} {
					request := h.newRequest(http.MethodPost, "/once/x", "body")
					request.Header.Set("X-Id", fmt.Sprint("r", i))
					response, body, err := h.send(request)
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, want, body)
				}
				assert.Equal(t, h.arrivalCount(), 2, "each request ran once")
			})
		})
	}
}

// Guards against a refusal that an endpoint writes twice: its copy must not answer the repeat of the
// same request, which has the same ID.
func TestRepeatedRefusalDoesNotAnswerTheRepeat(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		connections := 0
		h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
			connections++
			isFirst := connections == 1
			for request := h.readRawRequest(reader); request != nil; request = h.readRawRequest(reader) {
				if id := request.Header.Get("X-Id"); !isFirst {
					writeRawResponse(conn, id, "own")
				} else {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno", id)
				}
			}
		})
		response, body, err := h.send(h.newRequest(http.MethodPost, "/once/x", "body"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK, body)
		assert.Equal(t, connections, 2, "the repeat has a connection of its own")
	})
}
