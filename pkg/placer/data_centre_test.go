package placer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// fillDataCentre gives all engines of this data centre a long queue, by a peer's loads.
func fillDataCentre(p *placer.Placer, dataCentre string, engineCount int) {
	loads := map[string]placer.Load{}
	for _, e := range engines(engineCount) {
		if e.DataCentre == dataCentre {
			loads[e.ID] = placer.Load{RunningRequests: 4 * e.Slots, RunningShortPrompts: e.Slots}
		}
	}
	p.ReceiveLoads(start, "peer", loads, nil)
}

// Guards against placement by loads that are known late: a large fleet's instance sends
// short prompts to its own data centre, even if engines elsewhere look less busy.
func TestShortPromptsStayInOwnDataCentre(t *testing.T) {
	p := newPlacer("a", engines(12))
	assert.Assert(t, p.SetFleetDivided(true))
	p.ReceiveLoads(start, "peer", map[string]placer.Load{"e00": {RunningRequests: 3}, "e03": {RunningRequests: 3}, "e06": {RunningRequests: 3}, "e09": {RunningRequests: 3}}, nil)
	choice := pick(t, p, start, shortRequest())
	assert.Assert(t, !choice.InOtherDataCentre, "%+v", choice)
	assert.Assert(t, !p.SetFleetDivided(true))
}

// Guards against each data centre prefilling the prefixes of all groups, for which its
// engines have no room, where engines cannot copy cached blocks: the instances of all data
// centres of a large fleet choose the same engine for a prefix group.
func TestPrefixGroupGoesToSameEngineOfDividedFleet(t *testing.T) {
	remote := map[string]bool{}
	for group := uint64(1); group <= 40; group++ {
		chosen := map[string]bool{}
		for i := range 3 {
			p := placer.New(placer.Settings{InstanceName: fmt.Sprintf("instance-%d", i), DataCentre: fmt.Sprintf("dc%d", i)})
			p.Configure(engines(30))
			p.SetFleetDivided(true)
			request := longRequest(group, uint64(i))
			request.CanCopyCache = false
			choice := pick(t, p, start, request)
			chosen[choice.EndpointID] = true
			remote[choice.EndpointID] = remote[choice.EndpointID] || choice.InOtherDataCentre
		}
		assert.Equal(t, len(chosen), 1, "group %d: %v", group, chosen)
	}
	assert.Assert(t, len(remote) > 12, "the groups share %d of 18 engines", len(remote))
}

// Guards against long prompts waiting at engines of other data centres, whose loads an instance
// learns too late: where engines can copy cached blocks, they stay in the own data centre. What one
// data centre has prefilled the others copy, and within a data centre they choose one engine for a
// prefix group.
func TestLongPromptsStayInDataCentreAndCopyPrefixes(t *testing.T) {
	const instances, groups = 6, 20
	placers := make([]*placer.Placer, 0, instances)
	for i := range instances {
		p := placer.New(placer.Settings{InstanceName: fmt.Sprintf("instance-%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)})
		p.Configure(engines(30))
		p.SetFleetDivided(true)
		placers = append(placers, p)
	}
	for group := uint64(1); group <= groups; group++ {
		first := pick(t, placers[0], start, longRequest(group, 0))
		placers[0].RecordSent(start, group, first, longRequest(group, 0))
		placers[0].RecordResult(start, group, placer.Finished)
		placers[3].ReceivePrefills(start, placers[0].LocalPrefills(start), true)
		for _, other := range []int{1, 2, 4, 5} { // An instance beside the first one tells the others.
			placers[other].ReceivePrefills(start, placers[3].DataCentrePrefills(start), false)
		}
		chosen := map[string]string{}
		for i, p := range placers {
			choice := pick(t, p, start, longRequest(group, uint64(1+i)))
			dataCentre := fmt.Sprint("dc", i%3)
			assert.Assert(t, !choice.InOtherDataCentre, "group %d, instance %d", group, i)
			assert.Equal(t, choice.UncachedTokens, uniqueTokens, "group %d, instance %d", group, i)
			if chosen[dataCentre] == "" {
				chosen[dataCentre] = choice.EndpointID
			}
			assert.Equal(t, choice.EndpointID, chosen[dataCentre], "group %d", group)
		}
		assert.Equal(t, chosen["dc0"], first.EndpointID)
	}
}

// Guards against instances counting the requests of other data centres twice or not at
// all: a summary replaces the last one of its data centre and holds the loads of all
// instances there.
func TestSummaryHoldsLoadsOfDataCentre(t *testing.T) {
	sender := newPlacer("a", engines(3))
	choice := pick(t, sender, start, shortRequest())
	sender.RecordSent(start, 1, choice, shortRequest())
	sender.ReceiveLoads(start, "b", map[string]placer.Load{choice.EndpointID: {RunningRequests: 2, PendingTokens: 10}}, nil)
	sender.ReceiveDataCentreLoads(start, "dc1", map[string]placer.Load{choice.EndpointID: {RunningRequests: 50}}, nil)
	summary := sender.DataCentreLoads()
	assert.DeepEqual(t, summary, map[string]placer.Load{choice.EndpointID: {RunningRequests: 3, RunningShortPrompts: 1, PendingTokens: 810}})

	receiver := newPlacer("z", engines(3))
	for range 2 {
		receiver.ReceiveDataCentreLoads(start, "dc0", summary, nil)
	}
	assert.Equal(t, pick(t, receiver, start, shortRequest()).KnownLoad, summary[choice.EndpointID])
}

// Guards against urgent prompts waiting in a full data centre while engines elsewhere are
// free, and against all instances choosing the same one of them.
func TestPromptsLeaveFullDataCentreForDifferentEngines(t *testing.T) {
	const engineCount, instances = 30, 20
	for name, newRequest := range map[string]func(uint64) placer.Request{
		"short": func(uint64) placer.Request { return shortRequest() },
		"long":  func(group uint64) placer.Request { return longRequest(group, group) },
	} {
		t.Run(name, func(t *testing.T) {
			chosen := map[string]int{}
			for i := range instances {
				p := newPlacer(fmt.Sprintf("instance-%d", i), engines(engineCount))
				p.SetFleetDivided(true)
				fillDataCentre(p, "dc0", engineCount)
				if choice := pick(t, p, start, newRequest(uint64(i))); choice.InOtherDataCentre {
					chosen[choice.EndpointID]++
				}
			}
			for engine, count := range chosen {
				assert.Assert(t, count <= instances/4, "%d of %d instances chose %s", count, instances, engine)
			}
			assert.Assert(t, len(chosen) > 0)
		})
	}
}

// Guards against a data centre without usable engines making the service unavailable.
func TestPromptsLeaveDataCentreWithoutUsableEngines(t *testing.T) {
	p := newPlacer("a", engines(9))
	p.SetFleetDivided(true)
	for attempt := range uint64(12) {
		choice := pick(t, p, start, shortRequest())
		if choice.InOtherDataCentre {
			return
		}
		p.RecordSent(start, attempt, choice, shortRequest())
		p.RecordResult(start.Add(time.Millisecond), attempt, placer.Unreachable)
	}
	t.Fatal("all attempts stayed in a data centre whose engines are unreachable")
}

// Guards against prefix groups staying with the engines of a data centre that is lost.
func TestPrefixGroupsLeaveLostDataCentre(t *testing.T) {
	p := newPlacer("a", engines(12))
	p.SetFleetDivided(true)
	id := uint64(0)
	for _, e := range engines(12) {
		if e.DataCentre != "dc1" {
			continue
		}
		for range 3 { // An unreachable engine is ejected.
			id++
			p.RecordSent(start, id, placer.Choice{EndpointID: e.ID}, shortRequest())
			p.RecordResult(start, id, placer.Unreachable)
		}
	}
	for group := uint64(1); group <= 30; group++ {
		choice := pick(t, p, start, longRequest(group, group))
		assert.Assert(t, engines(12)[indexOf(choice.EndpointID)].DataCentre != "dc1", "group %d goes to %s", group, choice.EndpointID)
	}
}

// indexOf returns the index of an engine in the result of engines.
func indexOf(id string) (index int) {
	for i, e := range engines(30) {
		if e.ID == id {
			index = i
		}
	}

	return index
}

// Guards against a long prompt that is late in its data centre, although engines of an older version
// elsewhere have its prefix, because what these have counts as copied to the newer version.
func TestBlocksOfAnotherVersionDoNotCountAsCopied(t *testing.T) {
	p := placer.New(placer.Settings{InstanceName: "a", DataCentre: "dc0"})
	p.SetFleetDivided(true)
	var endpoints []registrar.Endpoint
	cached := map[string][]uint64{}
	for n := range 8 {
		for _, e := range []registrar.Endpoint{{ID: fmt.Sprint("older", n), Version: "v1", DataCentre: "dc1"}, {ID: fmt.Sprint("newer", n), Version: "v2", DataCentre: "dc0"}} {
			e.Service, e.Address, e.Slots = "llm", e.ID+":80", 64
			endpoints = append(endpoints, e)
		}
		cached[fmt.Sprint("older", n)] = []uint64{1}
	}
	p.Configure(endpoints)
	p.ReceivePrefills(start, cached, false)
	request := longRequest(1, 1)
	request.PromptTokens += 8000 // It is late unless the prefix is cached.
	choice := pick(t, p, start, request)
	assert.Equal(t, choice.Version, "v1", "%+v", choice)
}
