package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// refusalText returns a refusal with the given fields before its length.
func refusalText(status int, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%sContent-Length: 2\r\n\r\nno", status, fields)
}

// answerAfter sends a request that must run once to an endpoint which runs it and writes other
// bytes before its whole answer, and returns the status that the caller gets.
func answerAfter(t *testing.T, method, path, before string) (status, arrivals int) {
	t.Helper()
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
			for request := h.readRawRequest(reader); request != nil; request = h.readRawRequest(reader) {
				id := request.Header.Get("X-Id")
				if id == "r1" {
					_, _ = io.WriteString(conn, before)
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Ran: 1\r\nContent-Length: 3\r\n\r\nown", id)
			}
		})
		for i := range 2 { // The second one is on a kept connection.
			request := h.newRequest(method, path, "")
			request.Header.Set("X-Id", fmt.Sprint("r", i))
			response, _, err := h.send(request)
			assert.NilError(t, err)
			status = response.StatusCode
		}
		arrivals = h.arrivalCount() - 1
	})

	return status, arrivals
}

// Guards against a request that runs twice, or that is reported as not run though it ran, since the
// bytes before its answer are read as a refusal of it.
func TestBytesBeforeAnAnswerDoNotRefuseItsRequest(t *testing.T) {
	for name, before := range map[string]string{
		"head of a refusal, broken off":       "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Load: 1",
		"status line of 421, broken off":      "HTTP/1.1 421 Misdir",
		"status line of 421, no reason":       "HTTP/1.1 421 ",
		"field name, broken off":              "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Lo",
		"body of the own refusal, broken off": strings.Replace(refusalText(503, "X-Id: r1\r\nX-Not-Run: 1\r\n"), ": 2", ": 60", 1),
		"body of the own refusal, cut by one": strings.TrimSuffix(refusalText(503, "X-Id: r1\r\nX-Not-Run: 1\r\n"), "o"),
		"body of the own refusal, cut":        strings.TrimSuffix(refusalText(503, "X-Id: r1\r\nX-Not-Run: 1\r\n"), "no"),
		"refusal that names no request":       refusalText(503, "X-Not-Run: 1\r\n"),
		"refusal that names two requests":     refusalText(503, "X-Id: r1\r\nX-Id: r0\r\nX-Not-Run: 1\r\n"),
		"success that says it was not run":    refusalText(200, "X-Id: r1\r\nX-Not-Run: 1\r\n"),
		"refusal that says it was run":        refusalText(503, "X-Id: r1\r\nX-Not-Run: 1\r\nX-Ran: 1\r\n"),
		"own success, broken off":             "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Load: 1" + refusalText(503, "X-Not-Run: 1\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			status, arrivals := answerAfter(t, http.MethodPost, "/once/x", before)
			assert.Equal(t, status, http.StatusBadGateway)
			assert.Equal(t, arrivals, 1)
		})
	}
}

// drawMessage draws an answer whose fields come in any order.
func drawMessage(t *rapid.T) string {
	status := rapid.SampledFrom([]int{200, 421, 429, 500, 503}).Draw(t, "status")
	fields := rapid.Permutation([]string{"X-Not-Run: 1\r\n", "X-Id: r0\r\n", "X-Load: 1,2\r\n", "X-Trace: a b\r\n", "X-Pause: 1s\r\n"}).Draw(t, "fields")

	return refusalText(status, strings.Join(fields[:rapid.IntRange(0, len(fields)).Draw(t, "count")], ""))
}

// Guards against a request that runs twice, or is reported as not run, after any sequence of other answers and parts
// of answers before its own. Whole refusals of the request itself are not drawn.
func TestNoMixtureOfOtherAnswersRefusesARequest(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var before strings.Builder
		for range rapid.IntRange(1, 3).Draw(r, "messages") {
			message := drawMessage(r)
			before.WriteString(message[:rapid.IntRange(1, len(message)).Draw(r, "cut")])
		}
		status, arrivals := answerAfter(t, http.MethodPost, "/once/x", before.String())
		if arrivals != 1 || (status != http.StatusOK && status != http.StatusBadGateway) {
			r.Fatalf("status %d, %d arrivals after %q", status, arrivals, before.String())
		}
	})
}

// Guards against a success whose body was broken off and looks whole, since the first bytes of the answer behind
// it fill it up.
func TestSuccessThatTheNextAnswerFillsUpIsNotForwarded(t *testing.T) {
	for name, test := range map[string]struct{ sent, next string }{
		"a part of a start line": {"whole b", "r1"}, "a part of a head": {"", "r1"}, "a part of a start line for another request": {"whole bod", "r0"},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
					if request := h.readRawRequest(reader); request != nil {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 10\r\n\r\n%s", test.sent)
						writeRawResponse(conn, test.next, "whole body")
					}
				})
				response, body, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
				assert.Assert(t, err != nil || response.StatusCode != http.StatusOK || body == "whole body", "%q is forwarded", body)
			})
		})
	}
}

// Guards against a whole body that contains or ends with a part of an answer being taken for one that was filled up.
func TestBodyThatQuotesAnAnswerIsForwarded(t *testing.T) {
	for _, quoted := range []string{"H", "HTTP/1.1 200 OK\r\nX-Id: r0\r\n\r\n", strings.Repeat("x", 9000) + "HTTP/1.1 5"} {
		runWithHarness(t, func(t *testing.T, h *harness) {
			h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
				for request := h.readRawRequest(reader); request != nil; request = h.readRawRequest(reader) {
					writeRawResponse(conn, "r1", quoted)
				}
			})
			for range 2 {
				response, body, err := h.send(h.newRequest(http.MethodPost, "/once/x", ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, body, quoted)
			}
		})
	}
}
