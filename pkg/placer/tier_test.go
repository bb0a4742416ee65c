package placer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// Guards against an urgent prompt waiting for a slot among its like while an engine runs
// less urgent requests, whose slots it would get at once.
func TestUrgentPromptTakesSlotFromLowerTier(t *testing.T) {
	request := shortRequest()
	request.Tier = 1
	for name, test := range map[string]struct {
		lowerTierAtEngine1 int // tier of the requests at engine e01; the others run tier 1
		wantEngine1        bool
	}{
		"lower tier":  {lowerTierAtEngine1: 2, wantEngine1: true},
		"equal tier":  {lowerTierAtEngine1: 1},
		"higher tier": {lowerTierAtEngine1: 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer("a", engines(6))
			loads := map[string]placer.Load{}
			for i, e := range engines(6) {
				load := placer.Load{RunningRequests: e.Slots + 1}
				tier := 1
				if i == 1 {
					load.RunningRequests, tier = e.Slots+20, test.lowerTierAtEngine1
				}
				if tier > 0 {
					load.LowerTiers[tier-1] = int16(load.RunningRequests)
				}
				loads[e.ID] = load
			}
			p.ReceiveLoads(start, "peer", loads, nil)
			choice := pick(t, p, start, request)
			assert.Equal(t, choice.EndpointID == "e01", test.wantEngine1, choice.EndpointID)
		})
	}
}

// Guards against requests being counted in a tier for ever.
func TestLoadByTierReturnsToZero(t *testing.T) {
	p := newPlacer("a", engines(1))
	for tier := range placer.TierCount + 2 {
		request := shortRequest()
		request.Tier = tier
		choice := pick(t, p, start, request)
		p.RecordSent(start, uint64(tier), choice, request)
	}
	load := p.LocalLoad("e00")
	assert.Equal(t, load.RunningRequests, placer.TierCount+2)
	assert.DeepEqual(t, load.LowerTiers, placer.LowerTiers{1, 1, 1, 1, 1, 1, 1, 1, 3})
	for tier := range placer.TierCount + 2 {
		p.RecordResult(start.Add(time.Second), uint64(tier), placer.Finished)
	}
	assert.DeepEqual(t, p.LocalLoad("e00"), placer.Load{})
}
