package relayer_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// limitAges limits the ages of the configuration and the registry.
func (h *harness) limitAges(maxAge time.Duration) {
	h.dispatcher.Configure(dispatcher.Settings{
		KeyLeaseDuration: keyLease, ReregistrationWindow: 2 * time.Second, MaxConfigurationAge: maxAge, MaxEndpointsAge: maxAge,
		RepeatLimits: retrier.RepeatLimiterSettings{Window: 10 * time.Second, RepeatRatio: 0.2, Burst: 50},
	})
}

// Guards against a request being sent to an endpoint that has left since it was chosen, while a
// connection to it was opened.
func TestEndpointThatLeftSinceItWasChosenGetsNothing(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(echoRequest, echoRequest)
		other := map[string]string{"e0:80": "e1", "e1:80": "e0"}
		stays := ""
		h.onDial = func(address string) {
			if stays == "" { // The first one that is dialed leaves.
				stays = other[address]
				h.dispatcher.ApplyDepartures(h.bootClock(), 0, []registrar.Endpoint{{ID: stays, Service: "api", Address: stays + ":80", Slots: 6}})
			}
		}
		response, body, err := h.send(h.newRequest(http.MethodPost, "/once/x", "body"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK, body)
		assert.DeepEqual(t, h.reachedEndpoints, []string{stays})
	})
}

// Guards against requests that are sent by a registry, or handled and answered 404 by a configuration,
// that is too old, and against callers who come back to the same instance.
func TestOldDataIsNotUsed(t *testing.T) {
	for name, test := range map[string]struct {
		path               string
		confirms, isListed bool // again, after three seconds
		status             int
	}{
		"young":              {"/once/x", true, true, http.StatusOK},
		"old registry":       {"/once/x", true, false, http.StatusServiceUnavailable},
		"old configuration":  {"/once/x", false, true, http.StatusServiceUnavailable},
		"no route, old":      {"/none/x", false, true, http.StatusServiceUnavailable},
		"no route, by young": {"/none/x", true, true, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.serveEndpoints(echoRequest)
				h.limitAges(1750 * time.Millisecond)
				time.Sleep(3 * time.Second)
				if test.confirms {
					h.confirmConfiguration()
				}
				if test.isListed {
					h.dispatcher.ApplyListing(h.bootClock(), 0, []registrar.Endpoint{{ID: "e0", Service: "api", Address: "e0:80", Slots: 6}})
				}
				response, body, err := h.send(h.newRequest(http.MethodPost, test.path, "body"))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, test.status, body)
				assert.Equal(t, response.Close, test.status == http.StatusServiceUnavailable)
				assert.Equal(t, h.arrivalCount() > 0, test.status == http.StatusOK)
			})
		})
	}
}
