package placer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// An endpoint that fails is left alone for a while, longer with each time, and
// comes back; one that runs through is forgiven.
func TestFailingEndpointIsEjected(t *testing.T) {
	p := newPlacer("a", plain(3))
	ask := placer.Request{Service: "api"}
	bad := pick(t, p, start, ask)
	for id := range uint64(2) {
		p.RecordSent(start, id, bad, ask)
		p.RecordResult(start, id, placer.Failed)
	}
	assert.Assert(t, pick(t, p, start, ask).EndpointID != bad.EndpointID)
	assert.Equal(t, pick(t, p, start.Add(time.Second), ask).EndpointID, bad.EndpointID)
}

// When all endpoints look bad, requests are still tried somewhere.
func TestLastEndpointIsNotEjected(t *testing.T) {
	p := newPlacer("a", plain(1))
	ask := placer.Request{Service: "api"}
	only := pick(t, p, start, ask)
	for id := range uint64(5) {
		p.RecordSent(start, id, only, ask)
		p.RecordResult(start, id, placer.Failed)
	}
	assert.Equal(t, pick(t, p, start, ask).EndpointID, only.EndpointID)
}

func TestNoRequestGoesToEndpoints(t *testing.T) {
	for name, change := range map[string]func(*registrar.Endpoint){
		"that drain":           func(e *registrar.Endpoint) { e.Draining = true },
		"of another service":   func(e *registrar.Endpoint) { e.Service = "other" },
		"whose address is not": nil,
	} {
		t.Run(name, func(t *testing.T) {
			registered := plain(1)
			p := newPlacer("a", registered)
			ask := placer.Request{Service: "api"}
			if change == nil {
				p.RecordSent(start, 1, pick(t, p, start, ask), ask)
				p.RecordResult(start, 1, placer.Misdirected)
			} else {
				change(&registered[0])
				p.Configure(registered)
			}
			_, ok := p.Pick(start, ask)
			assert.Assert(t, !ok)
		})
	}
}

// A new life under an old id knows nothing of before.
func TestRebornEndpointStartsAnew(t *testing.T) {
	registered := engines(1)
	p := newPlacer("a", registered)
	ask := long(1, 1)
	p.RecordSent(start, 1, pick(t, p, start, ask), ask)
	assert.Equal(t, pick(t, p, start, long(1, 2)).UncachedTokens, own)
	registered[0].StartedUnixMs = 7
	p.Configure(registered)
	choice := pick(t, p, start, long(1, 2))
	assert.Equal(t, choice.UncachedTokens, shared+own)
	p.RecordResult(start, 1, placer.Failed) // Must not count against the new life.
	assert.Equal(t, p.LocalLoads()[choice.EndpointID], placer.Load{})
}

// When all engines of a group crash, its prompts go to engines that live.
func TestCrashedGroupIsReplaced(t *testing.T) {
	for name, ask := range map[string]placer.Request{"short": short(), "long": long(1, 1)} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer("b", engines(9))
			p.ReceiveLoads(start, "a", nil, map[string]placer.Demand{"llm": {ShortPromptEngines: 1, LongPromptEngines: 1, Split: 4, EngineCount: 9}})
			crashed := map[string]bool{}
			for id := range uint64(5) {
				choice := pick(t, p, start, ask)
				assert.Assert(t, !crashed[choice.EndpointID], "engine %s crashed already", choice.EndpointID)
				crashed[choice.EndpointID] = true
				p.RecordSent(start, id, choice, ask)
				p.RecordResult(start, id, placer.Unreachable)
			}
			for range 10 {
				assert.Assert(t, !crashed[pick(t, p, start, ask).EndpointID])
			}
		})
	}
}

// An engine that goes dark keeps its connections: nothing fails there for a
// second or two. New requests stay away as soon as none of its streams gives an
// event, and come back with the first one.
func TestEngineWhoseStreamsAllStopGetsNothingNew(t *testing.T) {
	p := newPlacer("a", engines(2))
	placed := map[string][]uint64{}
	for id := range uint64(6) {
		choice := pick(t, p, start, short())
		p.RecordSent(start, id, choice, short())
		p.RecordFirstEvent(start, id)
		placed[choice.EndpointID] = append(placed[choice.EndpointID], id)
	}
	dark := pick(t, p, start, short()).EndpointID
	now := start
	for range 12 { // 600 ms in which the others give events.
		now = now.Add(50 * time.Millisecond)
		for engine, ids := range placed {
			if engine != dark {
				p.RecordActivity(now, ids[0])
			}
		}
	}
	for id := range uint64(20) {
		choice := pick(t, p, now, short())
		assert.Assert(t, choice.EndpointID != dark)
		p.RecordSent(now, 100+id, choice, short())
	}
	p.RecordActivity(now, placed[dark][0])
	assert.Equal(t, pick(t, p, now, short()).EndpointID, dark)
}

// A single stream may pause for a lost packet: that alone is no reason to leave
// an engine.
func TestPauseOfOneStreamIsNoSilence(t *testing.T) {
	p := newPlacer("a", engines(1))
	choice := pick(t, p, start, short())
	p.RecordSent(start, 1, choice, short())
	p.RecordFirstEvent(start, 1)
	assert.Assert(t, !p.Silent(start.Add(500*time.Millisecond), choice.EndpointID))
	assert.Assert(t, p.Silent(start.Add(1100*time.Millisecond), choice.EndpointID))
	p.RecordResult(start.Add(2*time.Second), 1, placer.Canceled)
	assert.Assert(t, !p.Silent(start.Add(3*time.Second), choice.EndpointID), "nothing runs there that could be heard")
}
