package relayer_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
)

// Guards against a refusal for want of room that has run, does not say so, or names no time to return.
func TestRefusalForWantOfRoomHasNotRun(t *testing.T) {
	runWithFeatures(t, dispatcher.Features{SharesCapacity: true}, func(t *testing.T, h *harness) {
		h.serveEndpoints(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Second)
			w.WriteHeader(http.StatusOK)
		})
		configuration := tieredConfiguration()
		configuration.Routes[0].TargetLatency = 300 * time.Millisecond
		h.dispatcher.ApplyConfiguration(h.bootClock(), matcher.New(configuration), dispatcher.StoredConfiguration{})
		const count = 40
		var mu sync.Mutex
		refused := 0
		var all sync.WaitGroup
		for i := range count {
			request := h.newRequest(http.MethodPost, "/chat/", "")
			request.Header.Set("X-Key", "clinic-key")
			request.Header.Set("X-Id", "r"+strconv.Itoa(i))
			all.Go(func() {
				response, body, err := h.send(request)
				if !assert.Check(t, err) || response.StatusCode == http.StatusOK {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				refused++
				retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				assert.Check(t, err)
				assert.Check(t, retryAfter >= 0.1 && retryAfter < 11, retryAfter)
				assert.Equal(t, body, `{"error":"hopeless","outcome":"not-run"}`)
			})
		}
		all.Wait()
		assert.Check(t, refused > 0 && refused < count, refused)
		assert.Equal(t, h.arrivalCount(), count-refused)
		assert.Equal(t, h.meter.CounterValue("sharing.admitted.tier-0"), int64(count-refused))
	})
}
