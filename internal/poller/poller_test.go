package poller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestListIntervalGrowsWithInstanceCountUpToLimit(t *testing.T) {
	settings := Settings{InstanceListInterval: 5 * time.Second}
	for instanceCount, want := range map[int]time.Duration{
		0:    5 * time.Second,
		7:    5 * time.Second,
		64:   5 * time.Second,
		128:  10 * time.Second,
		384:  30 * time.Second,
		4096: 30 * time.Second,
	} {
		assert.Equal(t, settings.ListInterval(instanceCount), want, "%d instances", instanceCount)
	}
}
