package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
	"github.com/oleanderpick/oleanderpick/pkg/throttler"
)

// Guards against an instance that ignores that endpoints are brittle because a peer said so before
// the instance read their registrations.
func TestBrittlenessCountsForEndpointsThatAreRegisteredLater(t *testing.T) {
	sinceBoot := func() time.Duration { return time.Hour }
	d := dispatcher.New(dispatcher.Settings{Name: "i0"}, dispatcher.Clock{Now: time.Now, SinceBoot: sinceBoot}, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = d.Serve(ctx) }()
	d.ReceiveBrittleServices([]throttler.Statement{{Endpoint: "s", Limit: throttler.Limit{IsStated: true, Rate: 3}, MadeAt: time.Now()}})
	d.ApplyListing(sinceBoot(), 0, []registrar.Endpoint{{ID: "e", Service: "s", Address: "e:80"}})
	assert.Assert(t, d.HasBrittleEndpoints())
	cancel()
	<-d.Done()
}
