package journaler_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/journaler"
)

// explore visits every state within depth steps and returns their number.
func explore(t *testing.T, depth int, first *world) int {
	seen := map[string]bool{}
	frontier := []*world{first}
	for range depth {
		var next []*world
		for _, from := range frontier {
			for k := range from.choices() {
				w := from.clone()
				w.choices()[k].do()
				w.verify()
				if state := w.state(); !seen[state] {
					seen[state] = true
					next = append(next, w)
				}
			}
		}
		frontier = next
	}
	for _, last := range frontier {
		drain(t, last)
	}
	return len(seen)
}

// drain lets everything go well from now on: every try must come to an end.
func drain(t reporter, w *world) {
	w.faults = 0
	for range 200 {
		all := w.choices()
		if len(all) == 0 {
			break
		}
		all[0].do()
		w.verify()
	}
	for _, try := range w.tries {
		ended := try.answer != "" || try.forwarded || w.instances[try.instance].dead
		assert.Assert(t, ended, "try %d got no answer", try.call.ID)
	}
}

func TestEveryInterleavingOfTwoInstances(t *testing.T) {
	for attempts, depth := range map[[2]int]int{{0, 0}: 10, {1, 2}: 9, {2, 1}: 9, {0, 2}: 9} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			t.Parallel()
			tries := make([]*try, 0, len(attempts))
			for i, attempt := range attempts {
				tries = append(tries, &try{instance: i, call: journaler.Call{
					ID: uint64(i), Workspace: "w", Key: "k", Fingerprint: "f", FirstAttemptTime: start, Attempt: attempt,
				}})
			}
			w := newWorld(t, journaler.DefaultSettings(), 2, 2, tries...)
			w.plain = true
			states := explore(t, depth, w)
			t.Log(states, "states")
		})
	}
}
