package prober_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/prober"
)

var start = time.Unix(1e9, 0)

func endpointIDs(count int) []string {
	ids := make([]string, count)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}

	return ids
}

// Guards against an instance that counts as cut off because some endpoints crash or are silent:
// it is cut off if and only if it reaches none of those that it probes, and it probes more than
// have crashed if there are more.
func TestInstanceIsCutOffOnlyIfNoProbedEndpointIsReached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := endpointIDs(rapid.IntRange(1, 40).Draw(t, "endpoints"))
		down := rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID).Draw(t, "down")
		p := prober.New()
		now, probed := start, []string{}
		for _, id := range down[:min(len(down), rapid.IntRange(0, 3).Draw(t, "failures"))] {
			p.RecordFailure(id)
			probed = append(probed, id)
		}
		wasSuspected := p.IsSuspected()
		for !p.IsCutOff() {
			round := p.StartRound(now, ids)
			if len(round) == 0 {
				break
			}
			assert.Equal(t, len(p.StartRound(now, ids)), 0, "one round at a time")
			probed = append(probed, round...)
			p.EndRound(round, slices.ContainsFunc(round, func(id string) bool { return !slices.Contains(down, id) }))
		}
		reachedOne := slices.ContainsFunc(probed, func(id string) bool { return !slices.Contains(down, id) })
		assert.Equal(t, p.IsCutOff(), wasSuspected && !reachedOne)
		if p.IsCutOff() {
			assert.Assert(t, len(down) == len(ids) || len(down) >= 6, "%d of %d down", len(down), len(ids))
		}
	})
}

func TestInstanceThatIsCutOffProbesNowAndThenUntilItIsNot(t *testing.T) {
	p, ids := prober.New(), endpointIDs(5)
	assert.Equal(t, len(p.StartRound(start, ids)), 0, "no reason")
	p.Suspect()
	for range 2 {
		p.EndRound(p.StartRound(start, ids), false)
	}
	assert.Assert(t, p.IsCutOff())
	assert.Equal(t, len(p.StartRound(start.Add(299*time.Millisecond), ids)), 0)
	round := p.StartRound(start.Add(300*time.Millisecond), ids)
	assert.Equal(t, len(round), 3)
	p.EndRound(round, true)
	assert.Assert(t, !p.IsCutOff() && !p.IsSuspected())
}

func ExampleProber() {
	p := prober.New()
	p.RecordFailure("engine-1")
	for now := time.Now(); !p.IsCutOff(); {
		round := p.StartRound(now, []string{"engine-1", "engine-2", "engine-3"})
		fmt.Println(round)
		p.EndRound(round, false) // None accepts a connection.
	}
	fmt.Println(p.IsCutOff())
	// Output:
	// [engine-2 engine-3 engine-1]
	// [engine-1 engine-2 engine-3]
	// true
}
