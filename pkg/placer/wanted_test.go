package placer_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Guards against scaling by what got through, which never shows that engines are too few; against a
// data centre's demand counted twice or not at all on its way through a summary; and against a demand
// that differs from before where engines are not ordered.
func TestWantedDemandIncludesPostponedPromptsOfAllInstances(t *testing.T) {
	now := time.Unix(1000, 0)
	request := placer.Request{Service: "s", PromptTokens: 30000, TargetTimeToFirstToken: time.Second}
	isOrdered := map[bool][]string{true: {"s"}}
	for _, scaled := range []bool{false, true} {
		instances := map[string]*placer.Placer{}
		for _, name := range []string{"a1", "a2", "b1"} {
			p := placer.New(placer.Settings{InstanceName: name, DataCentre: name[:1]})
			p.SetScaledServices(isOrdered[scaled])
			p.Configure([]registrar.Endpoint{{ID: "e", Service: "s", DataCentre: "a", Slots: 4}})
			p.RecordPostponed(now, request, placer.Choice{UncachedTokens: 30000, IsLongPrompt: true})
			p.RecordUnplaced(now, request)
			instances[name] = p
		}
		instances["a1"].ReceiveLoads(now, "a2", nil, instances["a2"].LocalDemands(now))
		instances["a1"].SetPeerDataCentre("a2", "a")
		summary := instances["a1"].LocalDemands(now)
		instances["a1"].AddTotals(now, summary)
		instances["b1"].ReceiveDataCentreLoads(now, "a", nil, summary)

		wanted := instances["b1"].WantedDemands(now.Add(3*time.Second), "s")
		if !scaled {
			assert.Equal(t, len(summary), 0)
			assert.Equal(t, wanted["b"], placer.WantedDemand{})

			continue
		}
		assert.Assert(t, wanted["b"].Long > 0)
		assert.Equal(t, wanted["a"].Age, 3*time.Second)
		whole := instances["a1"].WantedDemands(now, "s")["a"].Long
		assert.Assert(t, math.Abs(whole-wanted["a"].Long) < 1e-9 && math.Abs(whole-4*30/(35*2*0.6)) < 1e-3, "%f and %f", whole, wanted["a"].Long)
	}
}

// Guards against prefixes that are prefilled at an endpoint which is about to leave.
func TestLeavingEndpointGetsNoPrefixGroup(t *testing.T) {
	now := time.Unix(1000, 0)
	p := placer.New(placer.Settings{DataCentre: "a"})
	endpoints := []registrar.Endpoint{{ID: "e1", Service: "s", DataCentre: "a"}, {ID: "e2", Service: "s", DataCentre: "a"}, {ID: "e3", Service: "s", DataCentre: "a"}}
	for _, leaving := range []int{0, 1, 2} {
		listed := append([]registrar.Endpoint{}, endpoints...)
		listed[leaving].LeavesIn = time.Second
		p.Configure(listed)
		for group := range uint64(20) {
			choice, ok := p.Pick(now, placer.Request{Service: "s", PromptTokens: 9000, Blocks: []placer.PromptBlock{{ID: group + 1, Tokens: 6300}, {ID: group + 100, Tokens: 2700}}})
			assert.Assert(t, ok && (choice.EndpointID != endpoints[leaving].ID || choice.EngineCount == 1), "%+v", choice)
		}
	}
}
