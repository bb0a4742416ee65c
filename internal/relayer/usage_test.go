package relayer_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// billedRuns counts runs by workspace.
type billedRuns map[string]int

func (c billedRuns) CountRun(workspace string, _ time.Time) { c[workspace]++ }

// Guards against requests that are billed twice, since a second endpoint ran them or their caller
// took the stream up, and against runs that are not billed, since their answer broke off.
func TestRequestThatBeganCountsOnce(t *testing.T) {
	for name, test := range map[string]struct {
		path, after string
		first       http.HandlerFunc
		want        int
	}{
		"whole answer":               {"/once/x", "", echoRequest, 1},
		"own failure without a run":  {"/once/x", "", respondWithStatus(http.StatusInternalServerError, false), 0},
		"refusal, then an answer":    {"/often/x", "", respondWithStatus(http.StatusServiceUnavailable, true), 1},
		"broken answer, then whole":  {"/often/x", "", respondTruncated, 1},
		"no answer":                  {"/once/x", "", closeWithoutAnswer, 0},
		"whole stream":               {"/stream/x", "", streamEvents(5, nil), 1},
		"stream that breaks off":     {"/stream/x", "", streamEvents(3, abortMidEvent), 1},
		"stream that goes on":        {"/resume/x", "", streamEvents(3, abortMidEvent), 1},
		"stream that is taken up":    {"/resume/x", "2", streamEvents(5, nil), 1},
		"route without a workspace":  {"/public/x", "", echoRequest, 0},
		"stream without a whole one": {"/stream/x", "", streamEvents(0, abortMidEvent), 0},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				counter := billedRuns{}
				h.relayer.SetUsageCounter(counter)
				isFirst := true
				handler := func(w http.ResponseWriter, request *http.Request) {
					if isFirst {
						isFirst = false
						test.first(w, request)

						return
					}
					if test.path == "/often/x" {
						echoRequest(w, request)

						return
					}
					streamEvents(5, nil)(w, request)
				}
				h.serveEndpoints(handler, handler)
				request := h.newRequest(http.MethodPost, test.path, "body")
				if test.after != "" {
					_, _, err := h.send(request)
					assert.NilError(t, err)
					request = h.newRequest(http.MethodPost, test.path, "body")
					request.Header.Set("X-Id", "r2")
					request.Header.Set("X-Resumes", "r1")
					request.Header.Set("X-After", test.after)
				}
				if test.path == "/public/x" {
					request.Header.Del("X-Key")
				}
				response, _, err := h.send(request)
				if test.after != "" {
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusOK)
				}
				assert.Equal(t, counter["clinic"], test.want)
				assert.Equal(t, counter[""], 0)
			})
		})
	}
}
