package placer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

var start = time.Unix(1000, 0)

const (
	shared = 6300 // tokens that the prompts of a family begin with
	own    = 2890 // tokens of one prompt
)

func engines(n int) []registrar.Endpoint {
	registered := make([]registrar.Endpoint, 0, n)
	for i := range n {
		registered = append(registered, registrar.Endpoint{
			ID: fmt.Sprintf("e%02d", i), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: fmt.Sprintf("dc%d", i%3), Slots: 64,
		})
	}

	return registered
}

func newPlacer(name string, registered []registrar.Endpoint) *placer.Placer {
	p := placer.New(placer.Settings{InstanceName: name, DataCentre: "dc0"})
	p.Configure(registered)

	return p
}

// long asks for a prompt of a family; serial tells prompts apart.
func long(family, serial uint64) placer.Request {
	return placer.Request{
		Service: "llm", PromptTokens: shared + own, OutputTokens: 50, CanCopyCache: true, TargetTimeToFirstToken: 600 * time.Millisecond,
		Blocks: []placer.PromptBlock{{ID: family, Tokens: shared}, {ID: 1<<32 | serial, Tokens: own}},
	}
}

func short() placer.Request {
	return placer.Request{Service: "llm", PromptTokens: 800, OutputTokens: 300, CanCopyCache: true, TargetTimeToFirstToken: 300 * time.Millisecond}
}

func pick(t *testing.T, p *placer.Placer, now time.Time, ask placer.Request) placer.Choice {
	t.Helper()
	choice, ok := p.Pick(now, ask)
	assert.Assert(t, ok)

	return choice
}

// A family of long prompts stays on one engine, on every instance, and is told
// as cached the second time.
func TestFamilyStaysTogetherOnAllInstances(t *testing.T) {
	first, second := newPlacer("a", engines(9)), newPlacer("b", engines(9))
	for family := range uint64(20) {
		one := pick(t, first, start, long(family, 1))
		other := pick(t, second, start, long(family, 2))
		assert.Equal(t, one.EndpointID, other.EndpointID)
		assert.Equal(t, one.UncachedTokens, shared+own)
		first.RecordSent(start, family, one, long(family, 1))
		first.RecordFirstEvent(start, family)
		first.RecordResult(start, family, placer.Finished)
		again := pick(t, first, start, long(family, 3))
		assert.Equal(t, again.EndpointID, one.EndpointID)
		assert.Equal(t, again.UncachedTokens, own)
	}
}

// A burst of long prompts beside running streams: nearly none of them lands on
// an engine while it runs streams, though each stream lasts two seconds.
func TestLongPromptsKeepAwayFromStreams(t *testing.T) {
	const lasts = 100 // steps
	p := newPlacer("a", engines(9))
	running := map[string]int{}
	var placed []string
	mixed := 0
	for step := range 400 {
		now, id := start.Add(time.Duration(step)*20*time.Millisecond), uint64(step)
		choice := pick(t, p, now, short())
		p.RecordSent(now, id, choice, short())
		p.RecordFirstEvent(now, id)
		placed = append(placed, choice.EndpointID)
		running[choice.EndpointID]++
		if step >= lasts {
			p.RecordResult(now, id-lasts, placer.Finished)
			running[placed[step-lasts]]--
		}
		if step%2 == 1 {
			continue
		}
		ask := long(id%50, id)
		choice = pick(t, p, now, ask)
		p.RecordSent(now, id+1<<20, choice, ask)
		p.RecordFirstEvent(now.Add(100*time.Millisecond), id+1<<20)
		p.RecordResult(now.Add(200*time.Millisecond), id+1<<20, placer.Finished)
		if running[choice.EndpointID] > 0 {
			mixed++
		}
	}
	assert.Assert(t, mixed <= 10, "%d of 200 long prompts beside streams", mixed)
}

// A surge of short prompts fills the engines of its group and then takes slots
// elsewhere rather than wait for one.
func TestFullEnginesArePassedOver(t *testing.T) {
	p := newPlacer("a", engines(4))
	counts := map[string]int{}
	for id := range uint64(4 * 64) {
		choice := pick(t, p, start, short())
		p.RecordSent(start, id, choice, short())
		p.RecordFirstEvent(start, id)
		counts[choice.EndpointID]++
	}
	for engine, count := range counts {
		assert.Assert(t, count <= 64, "engine %s runs %d", engine, count)
	}
	assert.Equal(t, len(counts), 4)
}

// What another instance runs counts, so that instances do not all fill the
// engine that looks free to each of them.
func TestWhatPeersRunCounts(t *testing.T) {
	p := newPlacer("b", engines(1))
	p.Configure(engines(3)[:2])
	before := pick(t, p, start, short())
	p.ReceiveLoads(start, "a", map[string]placer.Load{before.EndpointID: {RunningRequests: 40, RunningShortPrompts: 40}}, nil)
	after := pick(t, p, start, short())
	// Only one of two engines is for short prompts; it stays in use until it
	// is full.
	assert.Equal(t, after.EndpointID, before.EndpointID)
	p.ReceiveLoads(start, "a", map[string]placer.Load{before.EndpointID: {RunningRequests: 64, RunningShortPrompts: 64}}, nil)
	assert.Assert(t, pick(t, p, start, short()).EndpointID != before.EndpointID)
	assert.Equal(t, pick(t, p, start.Add(time.Minute), short()).EndpointID, before.EndpointID, "an old message counts no more")
}

// The instances agree on the border: they take it from the first of them.
func TestOneInstanceDecidesTheBorder(t *testing.T) {
	p := newPlacer("b", engines(9))
	told := map[string]placer.Demand{"llm": {ShortPromptEngines: 3, LongPromptEngines: 1, Split: 7, EngineCount: 9}}
	p.ReceiveLoads(start, "a", nil, told)
	assert.Equal(t, pick(t, p, start, short()).Split, 7)
	told["llm"] = placer.Demand{ShortPromptEngines: 3, LongPromptEngines: 1, Split: 2, EngineCount: 9}
	p.ReceiveLoads(start, "c", nil, told)
	assert.Equal(t, pick(t, p, start, short()).Split, 7, "c comes after b")
}

// When the engines are behind with prompts, further ones are put off at once.
func TestBacklogPutsLongPromptsOff(t *testing.T) {
	p := newPlacer("a", engines(2))
	var later time.Duration
	put := 0
	for id := range uint64(30) {
		ask := long(id, id)
		choice := pick(t, p, start, ask)
		wait, postponed := p.ShouldPostpone(ask, choice)
		if postponed {
			put++
			later = wait

			continue
		}
		p.RecordSent(start, id, choice, ask)
	}
	assert.Assert(t, put >= 25, "%d of 30 put off", put)
	assert.Assert(t, later > 500*time.Millisecond && later < 5*time.Second, "back after %s", later)
	_, postponed := p.ShouldPostpone(short(), pick(t, p, start, short()))
	assert.Assert(t, !postponed, "short prompts are not put off")
}

// A request that goes to an engine without its shared part says who has it.
func TestSharedPartsAreCopied(t *testing.T) {
	p := newPlacer("a", engines(9))
	ask := long(1, 1)
	first := pick(t, p, start, ask)
	p.RecordSent(start, 1, first, ask)
	ask.AvoidEndpoints = []string{first.EndpointID}
	second := pick(t, p, start, ask)
	assert.Assert(t, second.EndpointID != first.EndpointID)
	assert.Equal(t, second.CacheSourceAddress, first.Address)
	ask.CanCopyCache = false
	assert.Equal(t, pick(t, p, start, ask).CacheSourceAddress, "")
}

// A part that an engine read for another instance counts as cached there.
func TestReadsOfPeersAreKnown(t *testing.T) {
	a, b := newPlacer("a", engines(9)), newPlacer("b", engines(9))
	ask := long(1, 1)
	choice := pick(t, a, start, ask)
	a.RecordSent(start, 1, choice, ask)
	b.ReceivePrefills(a.LocalPrefills(start))
	assert.Equal(t, pick(t, b, start, long(1, 2)).UncachedTokens, own)
	assert.Equal(t, len(a.LocalPrefills(start.Add(time.Minute))), 0)
}

func plain(n int) []registrar.Endpoint {
	registered := engines(n)
	for i := range registered {
		registered[i].Service, registered[i].Slots = "api", 6
	}

	return registered
}

// The sums of what peers run equal what their last messages say, whatever messages,
// silences and changes of the endpoints come in between.
func TestSumsOfPeersAsNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlacer("z", plain(3))
		now := start
		type said struct {
			at    time.Time
			loads map[string]placer.Load
		}
		last := map[string]said{}
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "configure") {
				p.Configure(plain(rapid.IntRange(2, 3).Draw(t, "endpoints")))
			}
			peer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "peer")
			loads := map[string]placer.Load{}
			for _, e := range plain(3) {
				if rapid.Bool().Draw(t, "uses") {
					loads[e.ID] = placer.Load{RunningRequests: rapid.IntRange(1, 50).Draw(t, "running")}
				}
			}
			p.ReceiveLoads(now, peer, loads, nil)
			last[peer] = said{now, loads}
			if rapid.Bool().Draw(t, "notes") {
				noted := placer.Load{RunningRequests: rapid.IntRange(0, 50).Draw(t, "noted")}
				p.ReceiveLoadUpdate(peer, "e00", noted)
				loads["e00"] = noted
			}
		}
		p.Configure(plain(3))
		_, _ = p.Pick(now.Add(200*time.Millisecond), placer.Request{Service: "api"})
		now = now.Add(200 * time.Millisecond)
		want := map[string]int{}
		for _, message := range last {
			if now.Sub(message.at) > time.Second {
				return // Whether such a message counts depends on its instance's pace.
			}
			for id, load := range message.loads {
				want[id] += load.RunningRequests
			}
		}
		for _, e := range plain(3) {
			assert.Equal(t, p.Others(e.ID).RunningRequests, want[e.ID])
		}
	})
}

// A prompt that is too long for its target even at an idle engine is not sent
// away: it would be too long the next time as well.
func TestPromptOverItsTargetIsNotPutOff(t *testing.T) {
	p := newPlacer("a", engines(2))
	ask := long(1, 1)
	ask.PromptTokens = 40_000
	choice := pick(t, p, start, ask)
	assert.Assert(t, choice.ExpectedTimeToFirstToken > ask.TargetTimeToFirstToken)
	_, postponed := p.ShouldPostpone(ask, choice)
	assert.Assert(t, !postponed)
	for id := range uint64(10) { // A backlog puts it off like any other.
		p.RecordSent(start, id, choice, ask)
	}
	_, postponed = p.ShouldPostpone(ask, pick(t, p, start, ask))
	assert.Assert(t, postponed)
}
