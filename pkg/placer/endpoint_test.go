package placer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// An endpoint that fails twice in a row gets no requests for a while and is tried
// again after that.
func TestFailingEndpointIsEjectedAndRetried(t *testing.T) {
	p := newPlacer("a", plainEndpoints(3))
	request := placer.Request{Service: "api"}
	failing := pick(t, p, start, request)
	for id := range uint64(2) {
		p.RecordSent(start, id, failing, request)
		p.RecordResult(start, id, placer.Failed)
	}
	assert.Assert(t, pick(t, p, start, request).EndpointID != failing.EndpointID)
	assert.Equal(t, pick(t, p, start.Add(time.Second), request).EndpointID, failing.EndpointID)
}

// When all endpoints of a service fail, requests still go to one of them.
func TestOnlyEndpointIsPickedDespiteFailures(t *testing.T) {
	p := newPlacer("a", plainEndpoints(1))
	request := placer.Request{Service: "api"}
	only := pick(t, p, start, request)
	for id := range uint64(5) {
		p.RecordSent(start, id, only, request)
		p.RecordResult(start, id, placer.Failed)
	}
	assert.Equal(t, pick(t, p, start, request).EndpointID, only.EndpointID)
}

// The only endpoint of a service is not picked when it may get no requests at all.
func TestPickFailsWithoutEligibleEndpoint(t *testing.T) {
	for name, change := range map[string]func(*registrar.Endpoint){
		"draining":                 func(e *registrar.Endpoint) { e.Draining = true },
		"moved to another service": func(e *registrar.Endpoint) { e.Service = "other" },
		"address of another":       nil,
	} {
		t.Run(name, func(t *testing.T) {
			registered := plainEndpoints(1)
			p := newPlacer("a", registered)
			request := placer.Request{Service: "api"}
			if change == nil {
				p.RecordSent(start, 1, pick(t, p, start, request), request)
				p.RecordResult(start, 1, placer.Misdirected)
			} else {
				change(&registered[0])
				p.Configure(registered)
			}
			_, ok := p.Pick(start, request)
			assert.Assert(t, !ok)
		})
	}
}

// Guards against a sound endpoint that stays hidden for good after one wrong answer of another server
// at its address.
func TestMisdirectedEndpointGetsRequestsAgain(t *testing.T) {
	p := newPlacer("a", plainEndpoints(1))
	request := placer.Request{Service: "api"}
	now := start
	for range 8 {
		p.RecordSent(now, 1, pick(t, p, now, request), request)
		p.RecordResult(now, 1, placer.Misdirected)
		_, ok := p.Pick(now.Add(time.Second), request)
		assert.Assert(t, !ok)
		now = now.Add(30 * time.Second)
	}
	p.RecordSent(now, 1, pick(t, p, now, request), request)
	p.RecordResult(now, 1, placer.Finished)
	pick(t, p, now, request)
}

// An engine that restarts under the same ID has an empty cache and no load. Requests
// from before the restart do not count against it.
func TestRestartedEndpointHasNewState(t *testing.T) {
	registered := engines(1)
	p := newPlacer("a", registered)
	request := longRequest(1, 1)
	p.RecordSent(start, 1, pick(t, p, start, request), request)
	assert.Equal(t, pick(t, p, start, longRequest(1, 2)).UncachedTokens, uniqueTokens)
	registered[0].StartedUnixMs = 7
	p.Configure(registered)
	choice := pick(t, p, start, longRequest(1, 2))
	assert.Equal(t, choice.UncachedTokens, sharedTokens+uniqueTokens)
	p.RecordResult(start, 1, placer.Failed) // Must not count against the restarted engine.
	assert.Equal(t, p.LocalLoads()[choice.EndpointID], placer.Load{})
}

// When all engines of the short or the long group crash, their prompts go to the
// remaining engines.
func TestPromptsLeaveCrashedGroup(t *testing.T) {
	for name, request := range map[string]placer.Request{"short": shortRequest(), "long": longRequest(1, 1)} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer("b", engines(9))
			p.ReceiveLoads(start, "a", nil, map[string]placer.Demand{"llm": {ShortPromptEngines: 1, LongPromptEngines: 1, Split: 4, EngineCount: 9}})
			crashed := map[string]bool{}
			for id := range uint64(5) {
				choice := pick(t, p, start, request)
				assert.Assert(t, !crashed[choice.EndpointID], "engine %s has crashed before", choice.EndpointID)
				crashed[choice.EndpointID] = true
				p.RecordSent(start, id, choice, request)
				p.RecordResult(start, id, placer.Unreachable)
			}
			for range 10 {
				assert.Assert(t, !crashed[pick(t, p, start, request).EndpointID])
			}
		})
	}
}

// An engine whose host disappears keeps its connections open: no request fails there
// for a second or two. New requests avoid the engine once none of its streams sends
// events, and return with the first event.
func TestSilentEngineGetsNoRequestsUntilNextEvent(t *testing.T) {
	p := newPlacer("a", engines(2))
	placed := map[string][]uint64{}
	for id := range uint64(6) {
		choice := pick(t, p, start, shortRequest())
		p.RecordSent(start, id, choice, shortRequest())
		p.RecordFirstEvent(start, id)
		placed[choice.EndpointID] = append(placed[choice.EndpointID], id)
	}
	silent := pick(t, p, start, shortRequest()).EndpointID
	now := start
	for range 12 { // 600 ms in which only the other engine sends events.
		now = now.Add(50 * time.Millisecond)
		for engine, ids := range placed {
			if engine != silent {
				p.RecordActivity(now, ids[0])
			}
		}
	}
	for id := range uint64(20) {
		choice := pick(t, p, now, shortRequest())
		assert.Assert(t, choice.EndpointID != silent)
		p.RecordSent(now, 100+id, choice, shortRequest())
	}
	p.RecordActivity(now, placed[silent][0])
	assert.Equal(t, pick(t, p, now, shortRequest()).EndpointID, silent)
}

// A single stream may pause because it lost a packet. The engine counts as silent
// only after a longer pause.
func TestShortPauseOfSingleStreamIsNotSilence(t *testing.T) {
	p := newPlacer("a", engines(1))
	choice := pick(t, p, start, shortRequest())
	p.RecordSent(start, 1, choice, shortRequest())
	p.RecordFirstEvent(start, 1)
	assert.Assert(t, !p.IsSilent(start.Add(500*time.Millisecond), choice.EndpointID))
	assert.Assert(t, p.IsSilent(start.Add(1100*time.Millisecond), choice.EndpointID))
	p.RecordResult(start.Add(2*time.Second), 1, placer.Canceled)
	assert.Assert(t, !p.IsSilent(start.Add(3*time.Second), choice.EndpointID), "no stream runs there")
}
