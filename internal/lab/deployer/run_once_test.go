package deployer_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/booker"
)

// Guards against a call that its service does not declare idempotent and that runs twice, since net/http sends HEAD
// calls again when a kept connection breaks.
func TestUndeclaredCallRunsOnceWhenItsConnectionBreaks(t *testing.T) {
	deployment := deploy(t, 1)
	url := deployment.Routers[0].URL + "/services/ledger/quotes"
	for range 10 { // Connections to both endpoints are kept.
		assert.Equal(t, sendRequest(http.MethodGet, url, "", nil).status, http.StatusOK)
	}
	runs := func() (total int) {
		for _, plainEndpoint := range deployment.PlainEndpoints {
			total += plainEndpoint.Audit().TotalRuns
		}

		return total
	}
	before := runs()
	for _, plainEndpoint := range deployment.PlainEndpoints {
		plainEndpoint.SetFaults(booker.Faults{LostAnswer: 1})
	}
	lost := sendRequest(http.MethodHead, url, "", nil)
	assert.NilError(t, lost.err)
	assert.Equal(t, lost.outcome, "unknown")
	assert.Equal(t, runs()-before, 1)
}
