package gossiper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/gossiper"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// Guards against a stated pace that peers do not learn, learn as newer than it is, or learn after it says
// nothing any more, and against loads without one that became longer.
func TestStatedPaceReachesPeersWithItsAge(t *testing.T) {
	statedAt := time.Now().Add(-200 * time.Millisecond)
	decoded := gossiper.DecodeLoad(gossiper.EncodeLoad("e", placer.Load{RunningRequests: 1, Pace: 250, PaceStatedAt: statedAt}))
	assert.Equal(t, decoded.Pace, 250)
	assert.Assert(t, decoded.PaceStatedAt.Sub(statedAt).Abs() < 100*time.Millisecond)
	for _, load := range []placer.Load{{RunningRequests: 1}, {RunningRequests: 1, Pace: 250, PaceStatedAt: statedAt.Add(-time.Hour)}} {
		encoded := gossiper.EncodeLoad("e", load)
		assert.Assert(t, encoded.Pace == 0 && encoded.PaceAgeMs == 0)
	}
}
