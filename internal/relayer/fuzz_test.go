package relayer_test

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that is reported as not run or gets a success by bytes that do not name it, and against
// one that is sent twice, is held beyond its timeout or ends the instance, whatever an endpoint writes.
func FuzzBytesOfAnEndpoint(f *testing.F) {
	refusal := refusalText(503, "X-Id: r1\r\nX-Not-Run: 1\r\n")
	for _, text := range []string{
		"", refusal, refusal[:30] + refusal, refusalText(421, "X-Id: r0\r\n"), "HTTP/1.1 101 Switch\r\nConnection: Upgrade\r\nUpgrade: a\r\n\r\n",
		head(lengthOf10) + wholeBody, head(lengthOf10) + "whole" + refusal, head(inChunks) + chunks(wholeBody, 3) + "0\r\nX-Sum: 1\r\n\r\n", head() + wholeBody,
		head(eventStream) + eventsText(4) + refusal, head(eventStream, inChunks) + chunks(eventsText(4), 23) + "0\r\n\r\n", "HTTP/1.1 103 Early\r\n\r\n" + head(lengthOf10) + wholeBody,
	} {
		f.Add([]byte(text), true)
		f.Add([]byte(text), false)
	}
	f.Fuzz(func(t *testing.T, text []byte, isStream bool) {
		path := map[bool]string{true: "/stream/x", false: "/once/x"}[isStream]
		runWithHarness(t, func(t *testing.T, h *harness) {
			h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
				for request := h.readRawRequest(reader); request != nil; request = h.readRawRequest(reader) {
					if id := request.Header.Get("X-Id"); id == "r0" {
						writeRawResponse(conn, id, "own")

						continue
					}
					_, _ = conn.Write(text)
					_ = conn.Close()
				}
			})
			request := h.newRequest(http.MethodPost, "/once/x", "")
			request.Header.Set("X-Id", "r0")
			_, _, err := h.send(request)
			assert.NilError(t, err)
			sentAt := time.Now()
			response, body, err := h.send(h.newRequest(http.MethodPost, path, "prompt"))
			assert.Assert(t, time.Since(sentAt) < 4*time.Second)
			lower := bytes.ToLower(text)
			isNamed := bytes.Contains(lower, []byte("r1")) && bytes.Contains(lower, []byte("x-id"))
			saysNotRun := isNamed && (bytes.Contains(lower, []byte("x-not-run")) || bytes.Contains(lower, []byte(" 421")))
			if !saysNotRun {
				assert.Equal(t, h.arrivalCount(), 2)
			}
			if response == nil {
				return
			}
			isPromise := slices.Contains([]int{408, 421, 429, 503}, response.StatusCode)
			assert.Assert(t, saysNotRun || !isPromise, "status %d", response.StatusCode)
			assert.Assert(t, isNamed || response.StatusCode/100 != 2, "a success that names nobody")
			isChunked := bytes.Contains(lower, []byte("chunked"))
			assert.Assert(t, err != nil || isChunked || response.StatusCode/100 != 2 || bytes.Contains(text, []byte(body)), "%q is not the endpoint's", body)
		})
	})
}
