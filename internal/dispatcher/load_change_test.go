package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Guards against peers counting a prompt at an engine after its answer has ended, or not
// counting it by its tier.
func TestLoadChangesAreReportedUntilAnswerEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	clock := dispatcher.Clock{Now: func() time.Time { return start }, SinceBoot: func() time.Duration { return time.Hour }}
	d := dispatcher.New(dispatcher.Settings{Name: "a", DataCentre: "dc"}, clock, hclog.NewNullLogger())
	var reported []placer.Load
	d.OnLoadChange(func(_ string, load placer.Load) { reported = append(reported, load) })
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = d.Serve(ctx) }()
	d.ApplyListing(time.Hour, 0, []registrar.Endpoint{{ID: "e", Service: "llm", Address: "e:80", DataCentre: "dc", Slots: 16}})
	placement, ok := d.Place(t.Context(), placer.Request{Service: "llm", PromptTokens: 100, Tier: 2}, true)
	assert.Assert(t, ok)
	d.RecordFirstEvent(placement)
	d.RecordResult(placement, placer.Finished, nil)
	cancel()
	<-d.Done()
	assert.DeepEqual(t, reported, []placer.Load{
		{RunningRequests: 1, RunningShortPrompts: 1, PendingTokens: 100, LowerTiers: placer.LowerTiers{0, 1}, LowerPending: placer.LowerPending{0, 100}},
		{},
	})
}
