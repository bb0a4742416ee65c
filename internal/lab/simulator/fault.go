package simulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// faultTransition is the start or the end of a fault at one engine.
type faultTransition struct {
	at           time.Duration // since the end of the warm-up
	engine       int           // engine index, taken modulo the engine count
	unresponsive bool
	isEnd        bool
}

// faultTransitions returns the starts and ends of all faults in order of time. Each
// fault affects consecutive engines, beginning with firstEngine.
func (s Scenario) faultTransitions(firstEngine int) []faultTransition {
	var all []faultTransition
	for _, fault := range s.Faults {
		for i := range fault.EngineCount {
			all = append(all,
				faultTransition{at: fault.Start, engine: firstEngine + i, unresponsive: fault.Unresponsive},
				faultTransition{at: fault.Start + fault.Duration, engine: firstEngine + i, unresponsive: fault.Unresponsive, isEnd: true})
		}
	}
	slices.SortStableFunc(all, func(a, b faultTransition) int { return cmp.Compare(a.at, b.at) })

	return all
}

// applyFaultTransition starts or ends a fault at its engine.
func (f *Fleet) applyFaultTransition(transition faultTransition) {
	e := f.engines[transition.engine%len(f.engines)]
	e.stepEndsAt = f.now
	switch {
	case transition.unresponsive:
		e.unresponsive = !transition.isEnd
	case transition.isEnd:
		e.down = false
	default:
		e.down = true
		f.crashEngine(e)
	}
}

// crashEngine fails all sequences at an engine and empties its cache. Each of them
// may have run, so none is sent again.
func (f *Fleet) crashEngine(e *engine) {
	e.cachedBlocks = map[uint64]bool{}
	for _, s := range e.removeAll() {
		f.instances[s.instance].RecordResult(f.now, s.id, placer.Failed)
		f.outcome.Lost++
	}
}
