package simulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// faultSwitch is the beginning or the end of a fault at one engine.
type faultSwitch struct {
	at     time.Duration
	engine int
	dark   bool
	ends   bool
}

// switches returns the beginnings and ends of all faults in their order. They
// strike engines in a row from the given one on.
func (s Scenario) switches(first int) []faultSwitch {
	var all []faultSwitch
	for _, fault := range s.Faults {
		for i := range fault.Engines {
			all = append(all,
				faultSwitch{at: fault.At, engine: first + i, dark: fault.Dark},
				faultSwitch{at: fault.At + fault.For, engine: first + i, dark: fault.Dark, ends: true})
		}
	}
	slices.SortStableFunc(all, func(a, b faultSwitch) int { return cmp.Compare(a.at, b.at) })

	return all
}

// toggle begins or ends a fault.
func (f *Fleet) toggle(s faultSwitch) {
	e := f.engines[s.engine%len(f.engines)]
	e.next = f.now
	switch {
	case s.dark:
		e.dark = !s.ends
	case s.ends:
		e.down = false
	default:
		e.down = true
		f.crash(e)
	}
}

// crash breaks off everything at an engine, which forgets what it cached. All of
// it may have run, so that nothing is sent again.
func (f *Fleet) crash(e *engine) {
	e.cache = map[uint64]bool{}
	for _, s := range e.clear() {
		f.instances[s.instance].RecordResult(f.now, s.id, placer.Failed)
		f.outcome.Lost++
	}
}
