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
	sharedTokens = 6300 // length of the block that the prompts of a prefix group share
	uniqueTokens = 2890 // length of the block that only one prompt contains
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

func newPlacer(instanceName string, registered []registrar.Endpoint) *placer.Placer {
	p := placer.New(placer.Settings{InstanceName: instanceName, DataCentre: "dc0"})
	p.Configure(registered)

	return p
}

// longRequest returns a request with a long prompt of a prefix group. Requests of the
// same group differ by their serial number.
func longRequest(prefixGroup, serial uint64) placer.Request {
	return placer.Request{
		Service: "llm", PromptTokens: sharedTokens + uniqueTokens, OutputTokens: 50, CanCopyCache: true, TargetTimeToFirstToken: 600 * time.Millisecond,
		Blocks: []placer.PromptBlock{{ID: prefixGroup, Tokens: sharedTokens}, {ID: 1<<32 | serial, Tokens: uniqueTokens}},
	}
}

func shortRequest() placer.Request {
	return placer.Request{Service: "llm", PromptTokens: 800, OutputTokens: 300, CanCopyCache: true, TargetTimeToFirstToken: 300 * time.Millisecond}
}

func pick(t *testing.T, p *placer.Placer, now time.Time, request placer.Request) placer.Choice {
	t.Helper()
	choice, ok := p.Pick(now, request)
	assert.Assert(t, ok)

	return choice
}

// All instances send the long prompts of a prefix group to the same engine. From the
// second prompt on, the shared block counts as cached there.
func TestPrefixGroupGoesToSameEngineOnAllInstances(t *testing.T) {
	instanceA, instanceB := newPlacer("a", engines(9)), newPlacer("b", engines(9))
	for prefixGroup := range uint64(20) {
		choiceA := pick(t, instanceA, start, longRequest(prefixGroup, 1))
		choiceB := pick(t, instanceB, start, longRequest(prefixGroup, 2))
		assert.Equal(t, choiceA.EndpointID, choiceB.EndpointID)
		assert.Equal(t, choiceA.UncachedTokens, sharedTokens+uniqueTokens)
		instanceA.RecordSent(start, prefixGroup, choiceA, longRequest(prefixGroup, 1))
		instanceA.RecordFirstEvent(start, prefixGroup)
		instanceA.RecordResult(start, prefixGroup, placer.Finished)
		second := pick(t, instanceA, start, longRequest(prefixGroup, 3))
		assert.Equal(t, second.EndpointID, choiceA.EndpointID)
		assert.Equal(t, second.UncachedTokens, uniqueTokens)
	}
}

// In a burst of long prompts while streams of two seconds run, almost no long prompt
// goes to an engine that runs streams.
func TestLongPromptsAvoidEnginesWithStreams(t *testing.T) {
	const streamSteps = 100 // length of a stream, in steps of 20 ms
	p := newPlacer("a", engines(9))
	runningStreams := map[string]int{}
	var placed []string
	besideStreams := 0
	for step := range 400 {
		now, id := start.Add(time.Duration(step)*20*time.Millisecond), uint64(step)
		choice := pick(t, p, now, shortRequest())
		p.RecordSent(now, id, choice, shortRequest())
		p.RecordFirstEvent(now, id)
		placed = append(placed, choice.EndpointID)
		runningStreams[choice.EndpointID]++
		if step >= streamSteps {
			p.RecordResult(now, id-streamSteps, placer.Finished)
			runningStreams[placed[step-streamSteps]]--
		}
		if step%2 == 1 {
			continue
		}
		request := longRequest(id%50, id)
		choice = pick(t, p, now, request)
		p.RecordSent(now, id+1<<20, choice, request)
		p.RecordFirstEvent(now.Add(100*time.Millisecond), id+1<<20)
		p.RecordResult(now.Add(200*time.Millisecond), id+1<<20, placer.Finished)
		if runningStreams[choice.EndpointID] > 0 {
			besideStreams++
		}
	}
	assert.Assert(t, besideStreams <= 10, "%d of 200 long prompts beside streams", besideStreams)
}

// Short prompts that fill the engines of the short group take free slots in the long
// group instead of waiting for a slot.
func TestFullEnginesAreSkipped(t *testing.T) {
	p := newPlacer("a", engines(4))
	counts := map[string]int{}
	for id := range uint64(4 * 64) {
		choice := pick(t, p, start, shortRequest())
		p.RecordSent(start, id, choice, shortRequest())
		p.RecordFirstEvent(start, id)
		counts[choice.EndpointID]++
	}
	for engine, count := range counts {
		assert.Assert(t, count <= 64, "engine %s runs %d", engine, count)
	}
	assert.Equal(t, len(counts), 4)
}

// The load that a peer reports counts until its message expires. Otherwise all
// instances would fill the engine that each of them believes free.
func TestPeerLoadCountsUntilItExpires(t *testing.T) {
	p := newPlacer("b", engines(1))
	p.Configure(engines(3)[:2])
	before := pick(t, p, start, shortRequest())
	p.ReceiveLoads(start, "a", map[string]placer.Load{before.EndpointID: {RunningRequests: 40, RunningShortPrompts: 40}}, nil)
	after := pick(t, p, start, shortRequest())
	// Only one of the two engines is in the short group. It gets short prompts
	// until it is full.
	assert.Equal(t, after.EndpointID, before.EndpointID)
	p.ReceiveLoads(start, "a", map[string]placer.Load{before.EndpointID: {RunningRequests: 64, RunningShortPrompts: 64}}, nil)
	assert.Assert(t, pick(t, p, start, shortRequest()).EndpointID != before.EndpointID)
	assert.Equal(t, pick(t, p, start.Add(time.Minute), shortRequest()).EndpointID, before.EndpointID, "an expired message does not count")
}

// All instances use the split of the instance whose name comes first, so that they
// agree.
func TestInstanceWithFirstNameDecidesSplit(t *testing.T) {
	p := newPlacer("b", engines(9))
	demands := map[string]placer.Demand{"llm": {ShortPromptEngines: 3, LongPromptEngines: 1, Split: 7, EngineCount: 9}}
	p.ReceiveLoads(start, "a", nil, demands)
	assert.Equal(t, pick(t, p, start, shortRequest()).Split, 7)
	demands["llm"] = placer.Demand{ShortPromptEngines: 3, LongPromptEngines: 1, Split: 2, EngineCount: 9}
	p.ReceiveLoads(start, "c", nil, demands)
	assert.Equal(t, pick(t, p, start, shortRequest()).Split, 7, "c comes after b")
}

// Guards against the instances of a large data centre, whose messages come every two
// seconds, each deciding its own split between them.
func TestSplitIsValidBetweenMessagesOfLargeDataCentre(t *testing.T) {
	p := newPlacer("b", engines(9))
	p.ReceiveLoads(start, "a", nil, map[string]placer.Demand{"llm": {ShortPromptEngines: 3, LongPromptEngines: 1, Split: 7, EngineCount: 9}})
	assert.Equal(t, pick(t, p, start.Add(2*time.Second), shortRequest()).Split, 7)
}

// Guards against other data centres being sent the blocks of each request, instead of
// those that an engine has just cached.
func TestOnlyNewBlocksAreReportedToOtherDataCentres(t *testing.T) {
	p := newPlacer("a", engines(1))
	for id := range uint64(2) {
		request := longRequest(1, id)
		p.RecordSent(start.Add(time.Duration(id)*2*time.Second), id, pick(t, p, start, request), request)
	}
	now := start.Add(4 * time.Second)
	assert.DeepEqual(t, p.LocalPrefills(now), map[string][]uint64{"e00": {1}})
	assert.DeepEqual(t, p.DataCentrePrefills(now), map[string][]uint64{})
	assert.DeepEqual(t, p.DataCentrePrefills(start.Add(time.Second)), map[string][]uint64{})
}

// When a backlog of long prompts waits at the engines, further long prompts are
// postponed at once, and short ones are not.
func TestBacklogPostponesLongPromptsOnly(t *testing.T) {
	p := newPlacer("a", engines(2))
	var retryDelay time.Duration
	postponedCount := 0
	for id := range uint64(30) {
		request := longRequest(id, id)
		choice := pick(t, p, start, request)
		delay, postponed := p.ShouldPostpone(request, choice)
		if postponed {
			postponedCount++
			retryDelay = delay

			continue
		}
		p.RecordSent(start, id, choice, request)
	}
	assert.Assert(t, postponedCount >= 25, "%d of 30 postponed", postponedCount)
	assert.Assert(t, retryDelay > 500*time.Millisecond && retryDelay < 5*time.Second, "retry after %s", retryDelay)
	_, postponed := p.ShouldPostpone(shortRequest(), pick(t, p, start, shortRequest()))
	assert.Assert(t, !postponed, "short prompts are not postponed")
}

// Guards against postponing a request for prompts of lower tiers, which an engine prefills after it, while
// these are served; and against not postponing it for prompts of its own tier.
func TestBacklogOfLowerTiersPostponesNoHigherTier(t *testing.T) {
	p := newPlacer("a", engines(2))
	low := longRequest(0, 0)
	for id := range uint64(30) {
		low = longRequest(id, id)
		low.Tier = 2
		p.RecordSent(start, id, pick(t, p, start, low), low)
	}
	low.Blocks = longRequest(30, 30).Blocks
	_, postponed := p.ShouldPostpone(low, pick(t, p, start, low))
	assert.Assert(t, postponed)
	high := longRequest(31, 31)
	high.Tier = 1
	_, postponed = p.ShouldPostpone(high, pick(t, p, start, high))
	assert.Assert(t, !postponed)
}

// A request that goes to an engine without its shared block gets the address of an
// engine that has it cached, if the service's engines can copy.
func TestChoiceNamesEngineToCopySharedBlockFrom(t *testing.T) {
	p := newPlacer("a", engines(9))
	request := longRequest(1, 1)
	first := pick(t, p, start, request)
	p.RecordSent(start, 1, first, request)
	request.AvoidEndpoints = []string{first.EndpointID}
	second := pick(t, p, start, request)
	assert.Assert(t, second.EndpointID != first.EndpointID)
	assert.Equal(t, second.CacheSourceAddress, first.Address)
	request.CanCopyCache = false
	assert.Equal(t, pick(t, p, start, request).CacheSourceAddress, "")
}

// A block that an engine prefilled for a peer counts as cached there. The peer stops
// reporting it after a while.
func TestPeerPrefillsCountAsCached(t *testing.T) {
	a, b := newPlacer("a", engines(9)), newPlacer("b", engines(9))
	request := longRequest(1, 1)
	choice := pick(t, a, start, request)
	a.RecordSent(start, 1, choice, request)
	b.ReceivePrefills(start, a.LocalPrefills(start), true)
	assert.Equal(t, pick(t, b, start, longRequest(1, 2)).UncachedTokens, uniqueTokens)
	assert.Equal(t, len(a.LocalPrefills(start.Add(time.Minute))), 0)
}

func plainEndpoints(n int) []registrar.Endpoint {
	registered := engines(n)
	for i := range registered {
		registered[i].Service, registered[i].Slots = "api", 6
	}

	return registered
}

// The remote load that is kept at each endpoint equals the sum of the peers' last
// messages, whatever messages, pauses and changes of the endpoints come in between.
func TestRemoteLoadEqualsSumOfLastMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlacer("z", plainEndpoints(3))
		now := start
		type message struct {
			receivedAt time.Time
			loads      map[string]placer.Load
		}
		lastMessages := map[string]message{}
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "configure") {
				p.Configure(plainEndpoints(rapid.IntRange(2, 3).Draw(t, "endpoints")))
			}
			peer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "peer")
			loads := map[string]placer.Load{}
			for _, e := range plainEndpoints(3) {
				if rapid.Bool().Draw(t, "uses") {
					loads[e.ID] = placer.Load{RunningRequests: rapid.IntRange(1, 50).Draw(t, "running")}
				}
			}
			p.ReceiveLoads(now, peer, loads, nil)
			lastMessages[peer] = message{now, loads}
			if rapid.Bool().Draw(t, "load update") {
				updated := placer.Load{RunningRequests: rapid.IntRange(0, 50).Draw(t, "updated running")}
				p.ReceiveLoadUpdate(peer, "e00", updated)
				loads["e00"] = updated
			}
		}
		p.Configure(plainEndpoints(3))
		_, _ = p.Pick(now.Add(200*time.Millisecond), placer.Request{Service: "api"})
		now = now.Add(200 * time.Millisecond)
		want := map[string]int{}
		for _, last := range lastMessages {
			if now.Sub(last.receivedAt) > time.Second {
				return // Whether it has expired depends on the peer's average interval.
			}
			for id, load := range last.loads {
				want[id] += load.RunningRequests
			}
		}
		for _, e := range plainEndpoints(3) {
			assert.Equal(t, p.RemoteLoad(e.ID).RunningRequests, want[e.ID])
		}
	})
}

// A prompt whose prefill alone exceeds its target is not postponed at an idle engine:
// it would be just as late the next time. Behind a backlog it is.
func TestOverlongPromptIsPostponedOnlyBehindBacklog(t *testing.T) {
	p := newPlacer("a", engines(2))
	request := longRequest(1, 1)
	request.PromptTokens = 40_000
	choice := pick(t, p, start, request)
	assert.Assert(t, choice.ExpectedTimeToFirstToken > request.TargetTimeToFirstToken)
	_, postponed := p.ShouldPostpone(request, choice)
	assert.Assert(t, !postponed)
	for id := range uint64(10) { // Builds up a backlog.
		p.RecordSent(start, id, choice, request)
	}
	_, postponed = p.ShouldPostpone(request, pick(t, p, start, request))
	assert.Assert(t, postponed)
}
