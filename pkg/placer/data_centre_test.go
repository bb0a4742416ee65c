package placer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

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
