package scheduler_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

// TestBusyWorkspaceGetsNoMoreThanItsFairShare gives one workspace 200 parallel requests
// while others always have a few waiting. It must get no more than its share of the
// tokens that are really used, whatever was estimated, and all of them once the others
// stop.
func TestBusyWorkspaceGetsNoMoreThanItsFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost, maxTokens, slotCount = 800, 2000, 20
		otherCount := rapid.IntRange(1, 5).Draw(t, "others")
		s := scheduler.New(scheduler.Settings{})
		lastID, othersStopped, usedTokens := uint64(0), false, map[string]int{}
		enqueue := func(workspace string) {
			lastID++
			cost := rapid.IntRange(1, maxCost).Draw(t, "cost")
			refusals := s.Enqueue(testStart, scheduler.Request{
				ID: lastID, Lane: "pool", Tier: 2, Workspace: workspace, Cost: cost,
			})
			assert.Equal(t, len(refusals), 0)
		}
		running := []scheduler.Request{}
		step := func() {
			if len(running) >= slotCount {
				tokens := rapid.IntRange(1, maxTokens).Draw(t, "tokens")
				s.Finish(testStart, running[0].ID, tokens)
				usedTokens[running[0].Workspace] += tokens
				running = running[1:]
			}
			freeSlots := slotCount - len(running)
			for _, r := range s.Dispatch(testStart, func(scheduler.Request) bool { freeSlots--; return freeSlots >= 0 }) {
				running = append(running, r)
				if r.Workspace == "big" || !othersStopped {
					enqueue(r.Workspace)
				}
			}
		}
		for range 200 {
			enqueue("big")
		}
		for other := range otherCount {
			enqueue(fmt.Sprint(other))
			enqueue(fmt.Sprint(other))
		}
		for range 400 {
			step()
		}
		total := 0
		for _, tokens := range usedTokens {
			total += tokens
		}
		// The workspace may be ahead by a few of the longest answers.
		tolerance := 5 * maxTokens
		assert.Assert(t, usedTokens["big"] <= total/(otherCount+1)+tolerance, "%v of %v", usedTokens, total)
		othersStopped = true
		for range 200 {
			step()
		}
		for _, r := range running {
			assert.Equal(t, r.Workspace, "big")
		}
	})
}
