package poller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPauseGrowsWithTheFleetUpToABound(t *testing.T) {
	settings := Settings{InstanceListInterval: 5 * time.Second}
	for instances, want := range map[int]time.Duration{
		0:    5 * time.Second,
		7:    5 * time.Second,
		64:   5 * time.Second,
		128:  10 * time.Second,
		384:  30 * time.Second,
		4096: 30 * time.Second,
	} {
		assert.Equal(t, settings.ListInterval(instances), want, "%d instances", instances)
	}
}
