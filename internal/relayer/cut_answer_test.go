package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// cutEndpoint is an endpoint that ends the connection after the first cut bytes of each answer.
type cutEndpoint struct {
	answer func(after int) string // by the event that the caller received last
	cut    int
}

// serveCut registers the endpoints as e0, e1, …
func (h *harness) serveCut(cutEndpoints ...cutEndpoint) {
	h.confirmConfiguration()
	endpoints := make([]registrar.Endpoint, 0, len(cutEndpoints))
	for i, endpoint := range cutEndpoints {
		id := fmt.Sprint("e", i)
		endpoints = append(endpoints, registrar.Endpoint{ID: id, Service: "api", Address: id + ":80", Slots: 6, Version: "v1"})
		h.network.ServeConn(id, func(conn net.Conn) {
			if request := h.readRawRequest(bufio.NewReader(conn)); request != nil {
				after, _ := strconv.Atoi(request.Header.Get("X-After"))
				answer := endpoint.answer(after)
				_, _ = io.WriteString(conn, answer[:min(endpoint.cut, len(answer))])
			}
			_ = conn.Close()
		})
	}
	h.dispatcher.ApplyListing(h.bootClock(), 0, endpoints)
}

// head returns the head of an answer to r1 with further fields.
func head(fields ...string) string {
	return strings.Join(append([]string{"HTTP/1.1 200 OK", "X-Id: r1"}, fields...), "\r\n") + "\r\n\r\n"
}

// chunks returns a body in chunks of size bytes without the last chunk.
func chunks(body string, size int) (text string) {
	for len(body) > 0 {
		n := min(size, len(body))
		text += fmt.Sprintf("%x;a=b\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}

	return text
}

const (
	wholeBody   = "whole body"
	eventStream = "Content-Type: text/event-stream"
	lengthOf10  = "Content-Length: 10"
	inChunks    = "Transfer-Encoding: chunked"
)

// cutAnswers are answers with the body wholeBody or, on a path of a stream, four events.
var cutAnswers = map[string]struct {
	method, path, answer string
	isUnframed           bool // only the end of the connection ends the body
}{
	"length":                    {"POST", "/once/x", head(lengthOf10) + wholeBody, false},
	"length, repeated":          {"POST", "/often/x", head(lengthOf10) + wholeBody, false},
	"line feeds":                {"POST", "/once/x", strings.ReplaceAll(head(lengthOf10), "\r", "") + wholeBody, false},
	"continued field":           {"POST", "/once/x", head("X-Note: a", " b", lengthOf10, "Connection: close") + wholeBody, false},
	"interim answers":           {"POST", "/once/x", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n" + head(lengthOf10) + wholeBody, false},
	"HTTP/1.0":                  {"POST", "/once/x", strings.Replace(head(lengthOf10), "1.1", "1.0", 1) + wholeBody, false},
	"chunks":                    {"POST", "/once/x", head(inChunks) + chunks(wholeBody, 6) + "0\r\n\r\n", false},
	"trailer":                   {"POST", "/once/x", head(inChunks, "Trailer: X-Sum") + chunks(wholeBody, 6) + "0;a=b\r\nX-Sum: 1\r\nX-Sum: 2\r\n\r\n", false},
	"chunks, length":            {"POST", "/once/x", head("Content-Length: 1", inChunks) + chunks(wholeBody, 6) + "0\r\n\r\n", false},
	"to the end":                {"POST", "/once/x", head() + wholeBody, true},
	"HTTP/1.0, to the end":      {"POST", "/often/x", strings.Replace(head("Connection: close"), "1.1", "1.0", 1) + wholeBody, true},
	"stream, length":            {"POST", "/stream/x", head(eventStream, fmt.Sprint("Content-Length: ", len(eventsText(4)))) + eventsText(4), false},
	"stream, chunks":            {"POST", "/stream/x", head(eventStream, inChunks) + chunks(eventsText(4), 23) + "0\r\n\r\n", false},
	"stream, chunk each":        {"POST", "/stream/x", head(inChunks, eventStream) + chunks(eventsText(4), len(eventsText(1))) + "0\r\nX-Sum: 1\r\n\r\n", false},
	"stream, interim answer":    {"POST", "/stream/x", "HTTP/1.1 103 Early\r\n\r\n" + head(eventStream, inChunks) + chunks(eventsText(4), 9) + "0\r\n\r\n", false},
	"stream, to the end":        {"POST", "/stream/x", head(eventStream) + eventsText(4), true},
	"resumable, to the end":     {"POST", "/resume/x", head(eventStream) + eventsText(4), true},
	"resumable, chunks":         {"POST", "/resume/x", head(eventStream, inChunks) + chunks(eventsText(4), 23) + "0\r\n\r\n", false},
	"stream as a plain answer":  {"POST", "/once/x", head(eventStream, inChunks) + chunks(eventsText(4), 23) + "0\r\n\r\n", false},
	"plain answer for a stream": {"POST", "/stream/x", head(lengthOf10) + wholeBody, false},
}

// Guards against a success with an empty or short body that looks whole, after the endpoint's answer ended
// within its head, a chunk, a trailer or an event.
func TestAnswerThatIsCutAnywhereIsNoSuccess(t *testing.T) {
	for name, test := range cutAnswers {
		whole := wholeBody
		if strings.Contains(test.answer, eventStream) {
			whole = eventsText(4)
		}
		t.Run(name, func(t *testing.T) {
			for cut := range len(test.answer) + 1 {
				for _, isReset := range []bool{false, true} {
					runWithHarness(t, func(t *testing.T, h *harness) {
						if isReset {
							h.wrapConn = func(conn net.Conn) net.Conn { return resetConn{conn} }
						}
						h.serveCut(cutEndpoint{func(int) string { return test.answer }, cut})
						response, body, err := h.send(h.newRequest(test.method, test.path, "prompt"))
						isSuccess := err == nil && response.StatusCode < 300
						switch {
						case isSuccess && body != whole:
							isEvent := whole == wholeBody || strings.HasSuffix(body, "\n\n")
							assert.Assert(t, test.isUnframed && !isReset && isEvent && body != "", "cut at %d, reset %v: %q looks whole", cut, isReset, body)
						case cut == len(test.answer):
							assert.Equal(t, isSuccess, !test.isUnframed || !isReset)
						}
					})
				}
			}
		})
	}
}

// Guards against an answer that has no body by its method or status counting as one that was cut off.
func TestAnswerThatHasNoBodyIsWhole(t *testing.T) {
	for name, test := range map[string]struct {
		method, answer string
		status         int
	}{
		"HEAD":                 {"HEAD", head(), http.StatusOK},
		"HEAD, chunks":         {"HEAD", head(inChunks), http.StatusOK},
		"no content":           {"POST", strings.Replace(head(), "200 OK", "204 Empty", 1), http.StatusNoContent},
		"length of 0":          {"POST", head("Content-Length: 0"), http.StatusOK},
		"no chunks":            {"POST", head(inChunks) + "0\r\n\r\n", http.StatusOK},
		"failure":              {"POST", strings.Replace(head(), "200 OK", "500 Failed", 1), http.StatusInternalServerError},
		"success without body": {"POST", head(), http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveCut(cutEndpoint{func(int) string { return test.answer }, len(test.answer)})
				response, _, err := h.send(h.newRequest(test.method, "/once/x", ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, test.status)
			})
		})
	}
}

// Guards against a stream that looks complete without all its events, after the answer with which it goes on at
// another endpoint was cut off too.
func TestStreamThatIsCutTwiceIsComplete(t *testing.T) {
	for name, fields := range map[string]string{"chunks": inChunks, "to the end": "X-Note: a"} {
		t.Run(name, func(t *testing.T) {
			answer := func(after int) string {
				events := strings.TrimPrefix(eventsText(4), eventsText(after))
				if fields == inChunks {
					events = chunks(events, 23) + "0\r\n\r\n"
				}

				return head(eventStream, fields) + events
			}
			first := len(head(eventStream, fields)) + 60 // Within the third event.
			for cut := range len(answer(2)) + 1 {
				runWithHarness(t, func(t *testing.T, h *harness) {
					h.serveCut(cutEndpoint{answer, first}, cutEndpoint{answer, cut})
					_, body, err := h.send(h.newRequest("POST", "/resume/x", "prompt"))
					isEvent := fields != inChunks && len(body) > len(eventsText(2)) && strings.HasSuffix(body, "\n\n")
					assert.Assert(t, err != nil || body == eventsText(4) || isEvent, "cut at %d: %q looks whole", cut, body)
					assert.Equal(t, err == nil && body == eventsText(4), cut == len(answer(2)), "cut at %d", cut)
				})
			}
		})
	}
}

// Guards against a success that looks whole after the peer that a request was passed on to ended within its answer.
func TestPeersAnswerThatIsCutAnywhereIsNoSuccess(t *testing.T) {
	const marks = "Oleanderpick-Elsewhere: 0\r\nOleanderpick-Answers: r1"
	for name, answer := range map[string]string{
		"length": head(marks, lengthOf10) + wholeBody,
		"chunks": head(marks, inChunks) + chunks(wholeBody, 6) + "0\r\n\r\n",
		"stream": head(marks, eventStream, inChunks) + chunks(eventsText(4), 23) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(answer) + 1 {
				runWithHarness(t, func(t *testing.T, h *harness) {
					h.partition = &partition{way: refuse, instances: []string{"i0"}, isActive: true}
					h.serveVersions(0, "v1", "v1")
					i := h.startInstance(0)
					defer i.stop()
					h.network.ServeConn("peer", func(conn net.Conn) {
						_, _ = http.ReadRequest(bufio.NewReader(conn))
						_, _ = io.WriteString(conn, answer[:cut])
						_ = conn.Close()
					})
					i.dispatcher.SetFleet(dispatcher.Fleet{InstanceCount: 2, PeerReaches: []dispatcher.PeerReach{{Address: "peer:80"}}})
					request := h.newRequest("POST", "/once/x", "")
					request.URL.Host, request.Host = "front-0", "front"
					response, body, err := h.send(request)
					isSuccess := err == nil && response.StatusCode == http.StatusOK
					assert.Equal(t, isSuccess, cut == len(answer), "cut at %d: %q", cut, body)
				})
			}
		})
	}
}
