package relayer_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/drainer"
)

// stopSettings are those of a planned stop that may take 4 s. The time limit of the test routes is 3 s.
func stopSettings() drainer.Settings {
	return drainer.Settings{BalancerNoticeDelay: 3 * time.Second, StopTimeout: 4 * time.Second, AnswerMargin: 300 * time.Millisecond}
}

// Guards against a request that was taken before a planned stop, waited, and is sent although it may outlast the
// stop.
func TestRequestThatWaitedIsNotSentIfItMayOutlastTheStop(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(echoRequest)
		conn, err := h.network.Dial(t.Context(), "tcp", "front:80")
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: front\r\nX-Id: r1\r\nX-Key: key\r\nContent-Length: 8\r\n\r\nbody")
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		h.relayer.BeginStop(time.Now().Add(-2*time.Second), stopSettings())
		_, err = io.WriteString(conn, "rest")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, h.arrivalCount(), 0)
		assert.NilError(t, conn.Close())
	})
}

// Guards against requests being taken in a planned stop as short ones, since those of their route that did not
// end in time are left out of the count.
func TestUnfinishedRequestsCountInAPlannedStop(t *testing.T) {
	for name, test := range map[string]struct {
		slow time.Duration
		want int
	}{"all end soon": {time.Millisecond, http.StatusOK}, "one does not end": {time.Minute, http.StatusServiceUnavailable}} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				runTime := time.Millisecond
				h.serveEndpoints(func(_ http.ResponseWriter, request *http.Request) {
					select {
					case <-time.After(runTime):
					case <-request.Context().Done():
					}
				})
				for _, runTime = range []time.Duration{time.Millisecond, test.slow} {
					_, _, err := h.send(h.newRequest(http.MethodPost, "/stream/x", ""))
					assert.NilError(t, err)
				}
				synctest.Wait() // The answer comes before the request is counted.
				runTime = time.Millisecond
				h.confirmConfiguration()
				h.relayer.BeginStop(time.Now().Add(-2*time.Second), stopSettings())
				response, _, err := h.send(h.newRequest(http.MethodPost, "/stream/x", ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, test.want)
			})
		})
	}
}
