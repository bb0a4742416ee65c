package relayer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers who leave being counted as deadlines, or as answers that this instance
// cut off, before or after the first event.
func TestCallerWhoLeavesIsNotCountedAsDeadline(t *testing.T) {
	for name, delay := range map[string]time.Duration{"before the first event": 500 * time.Millisecond, "after it": 0} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveEndpoints(func(w http.ResponseWriter, request *http.Request) {
					time.Sleep(delay)
					streamEvents(50, nil)(w, request)
				})
				for _, path := range []string{"/stream/x", "/resume/x"} {
					ctx, cancel := context.WithCancel(t.Context())
					time.AfterFunc(200*time.Millisecond, cancel)
					_, _, err := h.send(h.newRequest(http.MethodPost, path, "").WithContext(ctx))
					assert.Assert(t, err != nil)
					time.Sleep(time.Second)
				}
				recorder := httptest.NewRecorder()
				h.meter.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
				body, err := io.ReadAll(recorder.Body)
				assert.NilError(t, err)
				text := string(body)
				for _, line := range []string{"retries_caller_left_total 2", "refusals_canceled_total 2"} {
					assert.Assert(t, strings.Contains(text, line), "%s is missing in:\n%s", line, text)
				}
				for _, counter := range []string{"retries_deadline_total 1", "retries_deadline_total 2", "refusals_truncated_total 1", "refusals_truncated_total 2"} {
					assert.Assert(t, !strings.Contains(text, counter), "%s in:\n%s", counter, text)
				}
			})
		})
	}
}
