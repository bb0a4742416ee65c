package relayer_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// streamEvents returns a handler that writes the events after the caller's last one up
// to lastID, one every 20 ms, and then calls afterwards unless it is nil.
func streamEvents(lastID int, afterwards func(io.Writer)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(request.Header.Get("X-After"))
		for id := after + 1; id <= lastID; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		if afterwards != nil {
			afterwards(w)
		}
	}
}

// abortMidEvent closes the connection in the middle of an event.
func abortMidEvent(w io.Writer) {
	_, _ = io.WriteString(w, "id: 99\ndata: pie")
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	panic(http.ErrAbortHandler)
}

// eventsText returns the events from 1 to lastID as they are sent.
func eventsText(lastID int) (text string) {
	for id := 1; id <= lastID; id++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	}

	return text
}

func TestStreamIsCompletedOnlyIfItCanResume(t *testing.T) {
	repeatFirstEvent := func(w io.Writer) { _, _ = io.WriteString(w, "id: 1\ndata: piece 1\n\n") }
	for name, test := range map[string]struct {
		path     string
		first    http.HandlerFunc
		complete bool
		want     string
		arrivals int
	}{
		"complete":                      {"/stream/x", streamEvents(5, nil), true, eventsText(5), 1},
		"truncated, not resumable":      {"/stream/x", streamEvents(3, abortMidEvent), false, eventsText(3), 1},
		"truncated, resumable":          {"/resume/x", streamEvents(3, abortMidEvent), true, eventsText(5), 2},
		"repeated event, not resumable": {"/stream/x", streamEvents(3, repeatFirstEvent), false, eventsText(3), 1},
		"repeated event, resumable":     {"/resume/x", streamEvents(3, repeatFirstEvent), true, eventsText(5), 2},
		"truncated in the first event":  {"/resume/x", streamEvents(0, abortMidEvent), true, eventsText(5), 2},
		"failure instead of events":     {"/resume/x", respondWithStatus(http.StatusInternalServerError, false), true, eventsText(5), 2},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveEndpoints(test.first, streamEvents(5, nil))
				response, body, err := h.send(h.newRequest(http.MethodPost, test.path, "prompt"))
				assert.Equal(t, body, test.want)
				assert.Equal(t, err == nil, test.complete, "a truncated answer must not look complete: %v", err)
				assert.Equal(t, h.arrivalCount(), test.arrivals)
				if test.arrivals == 1 {
					assert.Equal(t, response.Header.Get("X-Stamp"), "stamp-e0")
				}
			})
		})
	}
}

// The answer has the headers of the endpoint that sent its first event.
func TestResumedStreamKeepsTheFirstEndpointsHeaders(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(streamEvents(3, abortMidEvent), streamEvents(5, nil))
		response, _, err := h.send(h.newRequest(http.MethodPost, "/resume/x", "prompt"))
		assert.NilError(t, err)
		assert.Equal(t, response.Header.Get("X-Stamp"), "stamp-e0")
	})
}

// Events are forwarded as they arrive, not when the stream ends.
func TestEventsAreForwardedImmediately(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(streamEvents(3, func(io.Writer) { time.Sleep(time.Second) }))
		client := h.network.Client()
		defer client.CloseIdleConnections()
		startTime := time.Now()
		response, err := client.Do(h.newRequest(http.MethodPost, "/stream/x", ""))
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		assert.Assert(t, time.Since(startTime) < 20*time.Millisecond)
		_, err = io.ReadFull(response.Body, make([]byte, len(eventsText(3))))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(startTime) < 100*time.Millisecond)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
	})
}

// If the endpoint of a resumable stream falls silent, the stream is resumed at another
// endpoint.
func TestSilentResumableStreamResumesAtAnotherEndpoint(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(streamEvents(3, func(io.Writer) { time.Sleep(time.Hour) }), streamEvents(5, nil))
		startTime := time.Now()
		_, body, err := h.send(h.newRequest(http.MethodPost, "/resume/x", "prompt"))
		assert.NilError(t, err)
		assert.Equal(t, body, eventsText(5))
		assert.Equal(t, h.arrivalCount(), 2)
		assert.Assert(t, time.Since(startTime) < 2*time.Second)
		time.Sleep(time.Hour)
	})
}

// After the first events, an endpoint that should resume the stream must answer with
// events. Any other answer ends the caller's connection.
func TestStartedStreamIsNotContinuedByAnotherKindOfAnswer(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"answer that is no stream": echoRequest,
		"failure":                  respondWithStatus(http.StatusInternalServerError, false),
		"refusal":                  respondWithStatus(http.StatusServiceUnavailable, true),
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveEndpoints(streamEvents(3, abortMidEvent), second)
				_, body, err := h.send(h.newRequest(http.MethodPost, "/resume/x", "prompt"))
				assert.Assert(t, err != nil, "a truncated answer must not look complete")
				assert.Equal(t, body, eventsText(3))
			})
		})
	}
}
