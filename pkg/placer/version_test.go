package placer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Guards against a stream that goes to an endpoint of another version because all endpoints of
// its own are avoided or gone.
func TestRequestGoesOnlyToItsVersion(t *testing.T) {
	p := placer.New(placer.Settings{InstanceName: "i0", DataCentre: "dc"})
	p.Configure([]registrar.Endpoint{
		{ID: "a", Service: "s", Version: "v1", Slots: 4}, {ID: "b", Service: "s", Version: "v2", Slots: 4},
		{ID: "c", Service: "s", Version: "v2", Slots: 4, DataCentre: "dc"}, {ID: "d", Service: "s", Version: "v2", Slots: 4, Draining: true},
	})
	for _, divided := range []bool{false, true} {
		p.SetFleetDivided(divided)
		for _, promptTokens := range []int{0, 100, 20_000} {
			request := placer.Request{Service: "s", Version: "v1", PromptTokens: promptTokens, AvoidEndpoints: []string{"a"}}
			choice, ok := p.Pick(start, request)
			assert.Assert(t, ok && choice.EndpointID == "a" && choice.Version == "v1", "%d tokens, divided %v", promptTokens, divided)
			request.Version = "v3"
			_, ok = p.Pick(start, request)
			assert.Assert(t, !ok)
		}
	}
}

// Guards against an engine that copies what an engine of another version cached.
func TestBlocksAreCopiedOnlyFromTheSameVersion(t *testing.T) {
	for version, want := range map[string]string{"v1": "a:80", "v2": ""} {
		p := placer.New(placer.Settings{InstanceName: "i0"})
		p.Configure([]registrar.Endpoint{
			{ID: "a", Service: "llm", Address: "a:80", Version: "v1", Slots: 64}, {ID: "b", Service: "llm", Address: "b:80", Version: version, Slots: 64},
		})
		request := longRequest(1, 1)
		request.AvoidEndpoints = []string{"b"}
		p.RecordSent(start, 1, pick(t, p, start, request), request)
		request.AvoidEndpoints = []string{"a"}
		assert.Equal(t, pick(t, p, start, request).CacheSourceAddress, want, version)
	}
}
