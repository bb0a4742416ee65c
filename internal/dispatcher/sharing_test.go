package dispatcher_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
	"github.com/oleanderpick/oleanderpick/pkg/sharer"
)

// Guards against decisions and messages that change where the feature is off, refusals of requests
// that may have run, and a prompt of a higher tier that is refused for the backlog of a lower one.
func TestSharesApplyOnlyWithTheFeature(t *testing.T) {
	for _, features := range []dispatcher.Features{{}, {SharesCapacity: true}} {
		now := time.Unix(1000, 0)
		clock := dispatcher.Clock{Now: func() time.Time { return now }, SinceBoot: func() time.Duration { return time.Hour }}
		d := dispatcher.New(dispatcher.Settings{Name: "a", DataCentre: "dc", Features: features}, clock, hclog.NewNullLogger())
		listed := []registrar.Endpoint{{ID: "e", Service: "llm", Address: "e:80", DataCentre: "dc", Slots: 16}}
		d.ApplyListing(time.Hour, 0, listed)
		naive := placer.New(placer.Settings{InstanceName: "a", DataCentre: "dc"})
		naive.Configure(listed)
		var last placer.Request
		refused := 0
		for i := range 20 {
			now = now.Add(10 * time.Millisecond)
			last = placer.Request{
				ID: strconv.Itoa(i), Service: "llm", PromptTokens: 9000, Tier: 1, Workspace: "w", TargetTimeToFirstToken: time.Second, Deadline: now.Add(5 * time.Second),
			}
			placement, ok := d.Place(t.Context(), last, true)
			assert.Assert(t, ok)
			if placement.RetryAfter > 0 {
				refused++
			}
			if features.SharesCapacity {
				continue
			}
			choice, _ := naive.Pick(now, last)
			retryAfter, postponed := naive.ShouldPostpone(last, choice)
			assert.Equal(t, placement.RetryAfter, retryAfter)
			assert.Assert(t, placement.Sharing == nil)
			if !postponed {
				naive.RecordSent(now, uint64(i), choice, last)
			}
		}
		assert.Assert(t, refused > 0)
		assert.Equal(t, len(d.Claims(false)) > 0, features.SharesCapacity)
		d.ReceiveMessage("b", dispatcher.Message{Claims: []sharer.Claim{{Service: "llm", Workspace: "w", Wanted: 1, Served: 1}}})
		last.MayHaveRun = true
		if features.SharesCapacity {
			placement, _ := d.Place(t.Context(), last, false)
			assert.Equal(t, placement.RetryAfter, time.Duration(0), "may have run")
			last.MayHaveRun, last.Tier, last.PromptTokens = false, 0, 800
			placement, _ = d.Place(t.Context(), last, true)
			assert.Equal(t, placement.RetryAfter, time.Duration(0), "higher tier")
		}
	}
}
