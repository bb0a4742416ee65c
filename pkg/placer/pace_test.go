package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

func newPacedPlacer(count int) *placer.Placer {
	p := placer.New(placer.Settings{InstanceName: "i", DataCentre: "dc0"})
	endpoints := make([]registrar.Endpoint, 0, count)
	for i := range count {
		endpoints = append(endpoints, registrar.Endpoint{ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprint(i), DataCentre: fmt.Sprint("dc", i%2), Slots: 4})
	}
	p.Configure(endpoints)

	return p
}

// Guards against decisions, loads or demands that change before an endpoint has stated a pace, by stated
// counts or by the time that answers take.
func TestStatementsWithoutPaceChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		divided := rapid.Bool().Draw(t, "divided")
		informed, silent := newPacedPlacer(8), newPacedPlacer(8)
		informed.SetFleetDivided(divided)
		silent.SetFleetDivided(divided)
		now := time.Unix(1000, 0)
		for id := range uint64(60) {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			request := placer.Request{Service: "llm", PromptTokens: []int{0, 500, 9000}[random.IntN(3)], TargetTimeToFirstToken: 600 * time.Millisecond}
			choice, _ := informed.Pick(now, request)
			other, _ := silent.Pick(now, request)
			assert.DeepEqual(t, choice, other)
			informed.RecordStatement(now, choice.EndpointID, placer.Statement{RunningRequests: random.IntN(9), QueuedRequests: random.IntN(9), Slots: 9})
			for _, p := range []*placer.Placer{informed, silent} {
				p.RecordSent(now, id, choice, request)
				p.RecordFirstEvent(now.Add(time.Duration(id)*time.Millisecond), id)
				if id%3 == 0 {
					p.RecordResult(now.Add(time.Duration(2*id)*time.Millisecond), id, placer.Finished)
				}
			}
			assert.DeepEqual(t, informed.LocalLoads(), silent.LocalLoads())
			assert.DeepEqual(t, informed.LocalDemands(now), silent.LocalDemands(now))
		}
	})
}

// Guards against a slow engine that gets as much as a fast one, or nothing at all.
func TestSlowEngineGetsLessNotNothing(t *testing.T) {
	p, now := newPacedPlacer(4), time.Unix(1000, 0)
	sent := map[string]int{}
	for id := range uint64(40) {
		now = now.Add(time.Millisecond)
		for i := range 4 {
			pace := 100
			if i == 0 {
				pace = 250
			}
			p.RecordStatement(now, fmt.Sprint("e", i), placer.Statement{RunningRequests: -1, QueuedRequests: -1, Slots: -1, Pace: pace})
		}
		choice, _ := p.Pick(now, placer.Request{Service: "llm"})
		p.RecordSent(now, id, choice, placer.Request{Service: "llm"})
		sent[choice.EndpointID]++
	}
	for _, fast := range []string{"e1", "e2", "e3"} {
		assert.Assert(t, sent["e0"] > 0 && 3*sent["e0"] < 2*sent[fast], "%v", sent)
	}
}
