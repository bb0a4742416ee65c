package relayer_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pauseTime is the silence of a sound endpoint.
const pauseTime = 1100 * time.Millisecond

// streamWithPause returns a handler that writes events, falls silent after the third one and
// goes on.
func streamWithPause(lastID int) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		streamEvents(3, nil)(w, request)
		time.Sleep(pauseTime)
		request.Header.Set("X-After", strconv.Itoa(3))
		streamEvents(lastID, nil)(w, request)
	}
}

// Guards against giving up a sound endpoint that falls silent for a second: the answer
// comes whole from it, nothing runs twice, and it gets requests again at once.
func TestSoundEndpointMayFallSilentForASecond(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		handler http.HandlerFunc
		want    string
	}{
		"stream":           {"/stream/x", streamWithPause(5), eventsText(5)},
		"resumable stream": {"/resume/x", streamWithPause(5), eventsText(5)},
		"must run once": {"/once/x", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(pauseTime)
			_, _ = io.WriteString(w, "answer")
		}, "answer"},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveEndpoints(test.handler, test.handler)
				for round := 1; round <= 3; round++ {
					h.confirmConfiguration()
					_, body, err := h.send(h.newRequest(http.MethodPost, test.path, "prompt"))
					assert.NilError(t, err)
					assert.Equal(t, body, test.want)
					assert.Equal(t, h.arrivalCount(), round)
				}
			})
		})
	}
}

// Guards against a long answer being cut off, or asked for again, while its endpoint sends.
func TestAnswerOfAnEndpointThatSendsIsNotCutOff(t *testing.T) {
	for name, pieces := range map[string]int{"kept": 10, "too large to keep": 40} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				send := func(w http.ResponseWriter, _ *http.Request) {
					for range pieces {
						_, _ = io.WriteString(w, strings.Repeat("x", 50<<10))
						_ = http.NewResponseController(w).Flush()
						time.Sleep(50 * time.Millisecond) // Ten are more than 0.6 of the target latency.
					}
				}
				h.serveEndpoints(send, send)
				response, body, err := h.send(h.newRequest(http.MethodPost, "/often/x", ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, len(body), pieces*50<<10)
				assert.Equal(t, h.arrivalCount(), 1)
			})
		})
	}
}
