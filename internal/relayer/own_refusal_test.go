package relayer_test

import (
	"bufio"
	"io"
	"maps"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// refusingEndpoint refuses the first requests and runs the others. One whose ID it has refused on the same
// connection gets a copy of that refusal before its answer.
type refusingEndpoint struct {
	refusals, runs atomic.Int64 // refusals are those to come
}

// serve answers the requests on a connection.
func (e *refusingEndpoint) serve(h *harness) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		refused := map[string]string{} // refusals by ID
		for request := h.readRawRequest(reader); request != nil; request = h.readRawRequest(reader) {
			id := request.Header.Get("X-Id")
			if e.refusals.Add(-1) >= 0 {
				refused[id] = refusalText(503, "X-Not-Run: 1\r\nX-Id: "+id+"\r\n")
				_, _ = io.WriteString(conn, refused[id])

				continue
			}
			e.runs.Add(1)
			_, _ = io.WriteString(conn, refused[id])
			time.Sleep(100 * time.Millisecond)
			writeRawResponse(conn, id, "own")
		}
	}
}

// Guards against a request that runs twice, or that is reported as not run though it ran, since another request
// with its ID was refused on the same connection, and the copy of that refusal comes where its answer is due.
func TestRefusalOfARequestWithTheSameIDSaysNothingOfThisOne(t *testing.T) {
	for name, test := range map[string]struct {
		passedOn   http.Header
		refusals   int64
		isParallel bool
		wantRuns   int64
	}{
		"sent again by the caller":       {refusals: 1000, wantRuns: 1},
		"sent at the same time":          {refusals: 1, isParallel: true, wantRuns: 2},
		"passed on again by an instance": {refusals: 1000, wantRuns: 1, passedOn: http.Header{"Oleanderpick-Runs": {"0"}, "Oleanderpick-Configuration": {"1"}}},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				endpoint, host := &refusingEndpoint{}, "front"
				endpoint.refusals.Store(test.refusals)
				h.serveRaw(endpoint.serve(h))
				if test.passedOn != nil {
					h.registered, host = []registrar.Endpoint{{ID: "raw", Service: "api", Address: "raw:80", Slots: 6}}, "i1"
					defer h.startInstance(1).stop()
				}
				send := func() int {
					request := h.newRequest(http.MethodPost, "/once/x", "body")
					request.URL.Host, request.Host = host, "front"
					maps.Copy(request.Header, test.passedOn)
					response, _, err := h.send(request)
					assert.NilError(t, err)

					return response.StatusCode
				}
				first := make(chan int, 1)
				go func() { first <- send() }()
				if !test.isParallel {
					assert.Equal(t, <-first, http.StatusServiceUnavailable)
					endpoint.refusals.Store(0)
				}
				time.Sleep(10 * time.Millisecond)
				status := send()
				time.Sleep(time.Second)
				assert.Equal(t, endpoint.runs.Load(), test.wantRuns)
				assert.Assert(t, status != http.StatusServiceUnavailable)
			})
		})
	}
}

// Guards against a caller that gets a failure in place of a success, since the failure of the first attempt comes again
// where the answer to the repeat is due: two registered endpoints have one address, and so one connection.
func TestEarlierFailureDoesNotAnswerTheRepeat(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusMisdirectedRequest} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				failure, arrivals := refusalText(status, "X-Id: r1\r\n"), atomic.Int64{}
				h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
					for isFirst := true; h.readRawRequest(reader) != nil; isFirst = false {
						number := arrivals.Add(1)
						if number == 1 || !isFirst {
							_, _ = io.WriteString(conn, failure)
						}
						if number > 1 {
							writeRawResponse(conn, "r1", "own")
						}
					}
				})
				raw := registrar.Endpoint{ID: "raw", Service: "api", Address: "raw:80", Slots: 6}
				gone := raw
				gone.ID = "gone"
				h.dispatcher.ApplyListing(h.bootClock(), 0, []registrar.Endpoint{gone, raw})
				response, body, err := h.send(h.newRequest(http.MethodPost, "/often/x", ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK, body)
			})
		})
	}
}

// Guards against a request that a peer runs and that is sent elsewhere all the same: the peer did not take it before, on the
// same connection, and that answer comes again.
func TestCopyOfAPeersAnswerDoesNotAnswerTheNextSending(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.partition = &partition{way: refuse, instances: []string{"i0"}, isActive: true}
		h.serveVersions(0, "v1", "v1")
		i := h.startInstance(0)
		defer i.stop()
		const notTaken = "HTTP/1.1 503 Busy\r\nOleanderpick-Elsewhere: 1\r\nOleanderpick-Answers: r1\r\nContent-Length: 0\r\n\r\n"
		var sendings atomic.Int64
		h.network.ServeConn("peer", func(conn net.Conn) {
			for reader, earlier := bufio.NewReader(conn), ""; h.readRawRequest(reader) != nil; earlier = notTaken {
				answer := notTaken
				if sendings.Add(1) > 1 {
					answer = earlier + "HTTP/1.1 200 OK\r\nOleanderpick-Elsewhere: 0\r\nOleanderpick-Answers: r1\r\nX-Id: r1\r\nContent-Length: 3\r\n\r\nown"
				}
				_, _ = io.WriteString(conn, answer)
			}
		})
		i.dispatcher.SetFleet(dispatcher.Fleet{InstanceCount: 2, PeerReaches: []dispatcher.PeerReach{{Address: "peer:80"}}})
		for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
			request := h.newRequest(http.MethodPost, "/once/x", "")
			request.URL.Host, request.Host = "front-0", "front"
			response, body, err := h.send(request)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, want, body)
		}
	})
}

// Guards against connections that are closed after some final answers, as if those requests could be sent again.
func TestFinalAnswersDoNotWearOutAConnection(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		connections := 0
		h.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
			connections++
			for request := h.readRawRequest(reader); request != nil; request = h.readRawRequest(reader) {
				answer := head(lengthOf10) + wholeBody
				if request.URL.Path == "/stream/x" {
					answer = head(eventStream, inChunks) + chunks(eventsText(2), 9) + "0\r\n\r\n"
				}
				_, _ = io.WriteString(conn, answer)
			}
		})
		for range 70 {
			for _, path := range []string{"/stream/x", "/once/x"} {
				response, _, err := h.send(h.newRequest(http.MethodPost, path, ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
			}
		}
		assert.Equal(t, connections, 1)
	})
}
