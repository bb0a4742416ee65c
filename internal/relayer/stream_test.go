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

// events writes the events after the caller's last one up to end, one each
// 20 ms, and then does what comes next.
func events(end int, next func(io.Writer)) http.HandlerFunc {
	return func(answer http.ResponseWriter, request *http.Request) {
		answer.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(request.Header.Get("X-After"))
		for id := after + 1; id <= end; id++ {
			_, _ = fmt.Fprintf(answer, "id: %d\ndata: piece %d\n\n", id, id)
			_ = http.NewResponseController(answer).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		if next != nil {
			next(answer)
		}
	}
}

// torn stops in the middle of an event.
func torn(answer io.Writer) {
	_, _ = io.WriteString(answer, "id: 99\ndata: pie")
	if flusher, ok := answer.(http.Flusher); ok {
		flusher.Flush()
	}
	panic(http.ErrAbortHandler)
}

func whole(end int) (text string) {
	for id := 1; id <= end; id++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	}

	return text
}

func TestStreams(t *testing.T) {
	repeated := func(answer io.Writer) { _, _ = io.WriteString(answer, "id: 1\ndata: piece 1\n\n") }
	for name, test := range map[string]struct {
		path     string
		first    http.HandlerFunc
		complete bool
		want     string
		arrivals int
	}{
		"whole":                       {"/stream/x", events(5, nil), true, whole(5), 1},
		"torn, cannot resume":         {"/stream/x", events(3, torn), false, whole(3), 1},
		"torn, goes on elsewhere":     {"/resume/x", events(3, torn), true, whole(5), 2},
		"event twice, cannot resume":  {"/stream/x", events(3, repeated), false, whole(3), 1},
		"event twice, resumes":        {"/resume/x", events(3, repeated), true, whole(5), 2},
		"crash before the first":      {"/resume/x", events(0, torn), true, whole(5), 2},
		"a failure instead of events": {"/resume/x", status(http.StatusInternalServerError, false), true, whole(5), 2},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				w.endpoints(test.first, events(5, nil))
				response, body, err := w.send(w.request(http.MethodPost, test.path, "prompt"))
				assert.Equal(t, body, test.want)
				assert.Equal(t, err == nil, test.complete, "a broken answer must not look complete: %v", err)
				assert.Equal(t, w.arrived(), test.arrivals)
				if test.arrivals == 1 {
					assert.Equal(t, response.Header.Get("X-Stamp"), "stamp-e0")
				}
			})
		})
	}
}

// The answer keeps the head of the endpoint that began it.
func TestResumedStreamKeepsItsFirstHead(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(events(3, torn), events(5, nil))
		response, _, err := w.send(w.request(http.MethodPost, "/resume/x", "prompt"))
		assert.NilError(t, err)
		assert.Equal(t, response.Header.Get("X-Stamp"), "stamp-e0")
	})
}

// Events are passed on as they come, not when the stream ends.
func TestEventsAreNotHeldUp(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(events(3, func(io.Writer) { time.Sleep(time.Second) }))
		client := w.network.Client()
		defer client.CloseIdleConnections()
		begun := time.Now()
		response, err := client.Do(w.request(http.MethodPost, "/stream/x", ""))
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		assert.Assert(t, time.Since(begun) < 20*time.Millisecond)
		_, err = io.ReadFull(response.Body, make([]byte, len(whole(3))))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(begun) < 100*time.Millisecond)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
	})
}

// A stream whose endpoint falls silent goes on elsewhere where it may; what is
// merely slow between two events is waited for.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(events(3, func(io.Writer) { time.Sleep(time.Hour) }), events(5, nil))
		begun := time.Now()
		_, body, err := w.send(w.request(http.MethodPost, "/resume/x", "prompt"))
		assert.NilError(t, err)
		assert.Equal(t, body, whole(5))
		assert.Equal(t, w.arrived(), 2)
		assert.Assert(t, time.Since(begun) < 2*time.Second)
		time.Sleep(time.Hour)
	})
}

// A stream that has begun is never followed by an answer of another kind.
func TestBegunStreamGoesOnWithEventsOnly(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"a whole answer": ok,
		"a failure":      status(http.StatusInternalServerError, false),
		"a refusal":      status(http.StatusServiceUnavailable, true),
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				w.endpoints(events(3, torn), second)
				_, body, err := w.send(w.request(http.MethodPost, "/resume/x", "prompt"))
				assert.Assert(t, err != nil, "a broken answer must not look complete")
				assert.Equal(t, body, whole(3))
			})
		})
	}
}
