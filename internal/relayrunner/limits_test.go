package relayrunner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/configurer"
)

// Guards against an instance that takes the usual time between two reads for an outage of the
// platform, and keeps endpoints that have left.
func TestUsualTimeBetweenReadsIsNoOutage(t *testing.T) {
	for _, limit := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		settings := configurer.RelaySettings{KeyLeaseDuration: 5 * time.Second, ChangeLimit: limit, DrainLimit: limit}
		policies, minOutage := readPolicies(settings), dispatcherSettings(settings).MinOutage
		assert.Assert(t, minOutage > policies.Endpoints.MaxReadAge, "limit %v", limit)
		if limit > 0 {
			assert.Assert(t, policies.Endpoints.MaxReadAge < limit && policies.Configuration.MaxReadAge < limit, "limit %v", limit)
		}
	}
}
