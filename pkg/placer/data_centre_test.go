package placer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
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
// prompts to its own data centre, even if engines elsewhere look less busy.
func TestPromptsStayInOwnDataCentre(t *testing.T) {
	p := newPlacer("a", engines(12))
	assert.Assert(t, p.PreferOwnDataCentre(true))
	p.ReceiveLoads(start, "peer", map[string]placer.Load{"e00": {RunningRequests: 3}, "e03": {RunningRequests: 3}, "e06": {RunningRequests: 3}, "e09": {RunningRequests: 3}}, nil)
	for i := range uint64(8) {
		for _, request := range []placer.Request{shortRequest(), longRequest(i, i)} {
			choice := pick(t, p, start, request)
			assert.Assert(t, !choice.InOtherDataCentre, "%+v", choice)
		}
	}
	assert.Assert(t, !p.PreferOwnDataCentre(true))
}

// Guards against urgent prompts waiting in a full data centre while engines elsewhere are
// free, and against all instances choosing the same one of them.
func TestPromptsLeaveFullDataCentreForDifferentEngines(t *testing.T) {
	const engineCount, instances = 30, 20
	for name, request := range map[string]placer.Request{"short": shortRequest(), "long": longRequest(1, 1)} {
		t.Run(name, func(t *testing.T) {
			chosen := map[string]int{}
			for i := range instances {
				p := newPlacer(fmt.Sprintf("instance-%d", i), engines(engineCount))
				p.PreferOwnDataCentre(true)
				fillDataCentre(p, "dc0", engineCount)
				if choice := pick(t, p, start, request); choice.InOtherDataCentre {
					chosen[choice.EndpointID]++
				}
			}
			for engine, count := range chosen {
				assert.Assert(t, count <= instances/4, "%d of %d instances chose %s", count, instances, engine)
			}
			if name == "short" {
				assert.Assert(t, len(chosen) > 0)
			}
		})
	}
}

// Guards against a data centre without usable engines making the service unavailable.
func TestPromptsLeaveDataCentreWithoutUsableEngines(t *testing.T) {
	p := newPlacer("a", engines(9))
	p.PreferOwnDataCentre(true)
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
