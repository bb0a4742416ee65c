package journaler_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/journaler"
)

// exploreStates visits every state that can be reached within depth steps, checks
// the guarantees in each, and returns the number of states.
func exploreStates(t *testing.T, depth int, initial *simulation) int {
	visited := map[string]bool{}
	frontier := []*simulation{initial}
	for range depth {
		var next []*simulation
		for _, current := range frontier {
			for index := range current.possibleSteps() {
				s := current.clone()
				s.possibleSteps()[index].run()
				s.verifyGuarantees()
				if state := s.stateKey(); !visited[state] {
					visited[state] = true
					next = append(next, s)
				}
			}
		}
		frontier = next
	}
	for _, last := range frontier {
		runWithoutFaults(t, last)
	}
	return len(visited)
}

// runWithoutFaults runs the simulation to its end without further faults and checks
// that each attempt has ended: it was answered, it was forwarded, or its instance
// crashed.
func runWithoutFaults(t testReporter, s *simulation) {
	s.faultsLeft = 0
	for range 200 {
		steps := s.possibleSteps()
		if len(steps) == 0 {
			break
		}
		steps[0].run()
		s.verifyGuarantees()
	}
	for _, attempt := range s.attempts {
		ended := attempt.answer != "" || attempt.forwarded || s.instances[attempt.instanceIndex].crashed
		assert.Assert(t, ended, "attempt %d got no answer", attempt.call.ID)
	}
}

// TestEveryInterleavingOfTwoInstancesRunsACallAtMostOnce explores all orders of
// events and faults for two attempts of one call at two instances, with several
// combinations of attempt numbers.
func TestEveryInterleavingOfTwoInstancesRunsACallAtMostOnce(t *testing.T) {
	for attemptNumbers, depth := range map[[2]int]int{{0, 0}: 10, {1, 2}: 9, {2, 1}: 9, {0, 2}: 9} {
		t.Run(fmt.Sprint(attemptNumbers), func(t *testing.T) {
			t.Parallel()
			attempts := make([]*callerAttempt, 0, len(attemptNumbers))
			for i, number := range attemptNumbers {
				attempts = append(attempts, &callerAttempt{instanceIndex: i, call: journaler.Call{
					ID: uint64(i), Workspace: "w", Key: "k", Fingerprint: "f", FirstAttemptTime: startTime, Attempt: number,
				}})
			}
			s := newSimulation(t, journaler.DefaultSettings(), 2, 2, attempts...)
			s.noStaleReads = true
			states := exploreStates(t, depth, s)
			t.Log(states, "states")
		})
	}
}
