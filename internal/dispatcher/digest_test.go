package dispatcher_test

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

func digestOf(endpoint registrar.Endpoint) uint64 {
	d := dispatcher.New(dispatcher.Settings{}, dispatcher.Clock{Now: time.Now, SinceBoot: func() time.Duration { return time.Hour }}, hclog.NewNullLogger())
	d.ApplyListing(time.Hour, 1, []registrar.Endpoint{endpoint})
	_, registry := d.Snapshot()

	return registry.Digest
}

// Guards against instances of an older build fetching the registry again and again, because the same
// listing has another digest there, and against two listings that differ in spot endpoints being
// taken for the same. The number is the digest by the build before spot endpoints (ef3b19c).
func TestDigestIsThatOfOlderBuildsWithoutSpotEndpoints(t *testing.T) {
	endpoint := registrar.Endpoint{ID: "e1", Service: "s", Address: "10.0.0.1:80", DataCentre: "dc1", Slots: 12, Version: "v1", StartedUnixMs: 99, Draining: true}
	assert.Equal(t, digestOf(endpoint), uint64(12336988947966886266))
	leaving, spot := endpoint, endpoint
	leaving.LeavesIn, spot.Spot = time.Second, true
	assert.Equal(t, digestOf(leaving), digestOf(endpoint))
	assert.Assert(t, digestOf(spot) != digestOf(endpoint))
}
