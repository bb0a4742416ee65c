package booker_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/booker"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
)

func TestAuditCountsCallsThatRanUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := booker.New(booker.Settings{})
		network := piper.New()
		network.Serve("service", service.Handler())
		client := network.Client()
		defer func() {
			service.Close()
			client.CloseIdleConnections()
			network.Close()
			time.Sleep(time.Second) // The server closes a broken connection after a delay.
		}()
		book := func(key string) (*http.Response, error) {
			request, err := http.NewRequestWithContext(
				t.Context(), http.MethodPost, "http://service/bookings", strings.NewReader("{}"))
			assert.NilError(t, err)
			request.Header.Set("Idempotency-Key", key)
			response, err := client.Do(request)
			if err == nil {
				response.Body.Close()
			}

			return response, err
		}

		response, err := book("a")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)

		service.SetFaults(booker.Faults{Refuse: 1})
		response, err = book("b")
		assert.NilError(t, err)
		assert.Equal(t, response.Header.Get("X-Started"), "false")

		service.SetFaults(booker.Faults{LostAnswer: 1})
		_, err = book("c")
		assert.Assert(t, err != nil)
		service.SetFaults(booker.Faults{Crash: time.Second})
		_, err = book("d")
		assert.Assert(t, err != nil)
		time.Sleep(time.Second)
		_, err = book("a")
		assert.NilError(t, err)
		assert.DeepEqual(t, service.Audit(), booker.Audit{RunsByKey: map[string]int{"a": 2, "c": 1}, TotalRuns: 3, RefusedCalls: 1})
	})
}
