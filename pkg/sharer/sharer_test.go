package sharer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/sharer"
)

// before decides as the placer does without shares.
func before(_ time.Time, _ *model, _ int, work sharer.Work, room sharer.Room) (bool, time.Duration) {
	return work.Tier == 0 || room.Expected <= work.Target, room.Expected + time.Second
}

func firstCome(time.Time, *model, int, sharer.Work, sharer.Room) (bool, time.Duration) {
	return true, 0
}

// equalShares lets each instance admit its part of the engines' rate, without regard to workspaces.
func equalShares(instances int) policy {
	levels, at := make([]float64, instances), make([]time.Time, instances)

	return func(now time.Time, m *model, i int, work sharer.Work, _ sharer.Room) (bool, time.Duration) {
		rate := 49600 * float64(len(m.engines)) / float64(instances)
		levels[i] = min(0.5*rate, levels[i]+rate*min(1, now.Sub(at[i]).Seconds()))
		at[i] = now
		if levels[i] <= 0 {
			return false, seconds(1 - levels[i]/rate)
		}
		levels[i] -= float64(work.Tokens)

		return true, 0
	}
}

// others returns the share in time of the workspaces but the first, and Jain's index over them.
func others(m *model) (share, jain float64) {
	sum, squares := 0.0, 0.0
	for name, counts := range m.workspace {
		if name != "0" {
			x := counts[0] / counts[1]
			sum += x
			squares += x * x
		}
	}
	n := float64(len(m.workspace) - 1)

	return sum / n, sum * sum / squares / n
}

// during returns a factor from 5 s to an end, for one workspace or, if it is negative, for all.
func during(end time.Duration, factor float64, workspace int) func(time.Duration, int) float64 {
	return func(at time.Duration, w int) float64 {
		if at > 5*time.Second && at < end && (workspace < 0 || w == workspace) {
			return factor
		}

		return 1
	}
}

// count returns a number of engines or instances between two times.
func count(from, to time.Duration, n int) func(time.Duration) int {
	return func(at time.Duration) int {
		if at > from && at < to {
			return n
		}

		return 0
	}
}

var patterns = map[string]func(m *model){
	"calm":             func(*model) {},
	"workspace at 7.5": func(m *model) { m.surge = during(15*time.Second, 7.5, 0) },
	"prompts at 2.8":   func(m *model) { m.surge = during(14*time.Second, 2.8, -1) },
	"two workspaces at 7.5": func(m *model) {
		first, second := during(15*time.Second, 7.5, 0), during(15*time.Second, 7.5, 1)
		m.surge = func(at time.Duration, w int) float64 { return first(at, w) * second(at, w) }
	},
	"engines lost, cut off": func(m *model) {
		m.surge = during(15*time.Second, 7.5, 0)
		m.loss = count(8*time.Second, 12*time.Second, len(m.engines)/4)
		m.cut = count(7*time.Second, 14*time.Second, len(m.sharers)/3)
	},
}

func play(t *testing.T, pattern, way string, instances, engines int) *model {
	t.Helper()
	m := newModel(1, instances, engines)
	m.policy = map[string]policy{"before": before, "first come": firstCome, "equal": equalShares(instances)}[way]
	m.shared = way == "sees all"
	patterns[pattern](m)
	m.run(20 * time.Second)
	share, index := others(m)
	t.Logf("%s, %s, %d instances: tier 0 %.3f, tier 1 %.3f, others %.3f, Jain %.3f, wasted %.3f of %.1f million, refused with a free engine %d, refused again %d of %d",
		pattern, way, instances, m.inTime[0]/m.all[0], m.inTime[1]/m.all[1], share, index, m.wasted/m.done, m.done/1e6, m.refusedFree, m.again, m.back)

	return m
}

// Guards against engines that spend their time on late requests, a workspace that takes the others'
// room, refusals while places are free, and returns that are refused again or come all at once.
func TestOverloadIsServedInTimeAndFairly(t *testing.T) {
	for pattern := range patterns {
		ours, old := play(t, pattern, "ours", 25, 30), play(t, pattern, "before", 25, 30)
		if testing.Verbose() { // For the design note's table only.
			for _, way := range []string{"first come", "equal", "sees all"} {
				play(t, pattern, way, 25, 30)
			}
		}
		if pattern == "calm" {
			assert.Equal(t, ours.back+ours.refusedFree, 0)

			continue
		}
		oursOthers, jain := others(ours)
		oldOthers, _ := others(old)
		assert.Check(t, ours.wasted/ours.done < 0.08, pattern)
		assert.Check(t, ours.inTime[0]/ours.all[0] > old.inTime[0]/old.all[0]-0.01, "%s: the highest tier", pattern)
		assert.Check(t, ours.inTime[1]/ours.all[1] > old.inTime[1]/old.all[1]+0.1, pattern)
		assert.Check(t, oursOthers > oldOthers+0.1, pattern)
		assert.Check(t, jain > 0.98, pattern)
		assert.Check(t, float64(ours.again) < 0.3*float64(ours.back), "%s: refused again", pattern)
		assert.Check(t, ours.done > 0.95*old.done, "%s: work is conserved", pattern)
		most := 0
		for _, n := range ours.returnsAt {
			most = max(most, n)
		}
		assert.Check(t, most < ours.back/20, "%s: %d of %d returns within 50 ms", pattern, most, ours.back)
	}
}

// Guards against a lower tier that is served while a higher one is refused, at any instance.
func TestTiersAreNotInverted(t *testing.T) {
	m := newModel(1, 25, 30)
	m.surge0 = during(12*time.Second, 20, -1) // 1.6 times what the engines can do
	m.run(20 * time.Second)
	for second := 6; second < 12; second++ {
		assert.Check(t, m.sentIn[second][0] > 1000 && m.sentIn[second][1] < 10, "%d s: %v", second, m.sentIn[second])
	}
	assert.Check(t, m.sentIn[19][1] > 300, "the lower tier is served afterwards")
	t.Logf("tier 0 %.3f, wasted %.3f, sent by second %v", m.inTime[0]/m.all[0], m.wasted/m.done, m.sentIn)
}

// Guards against shares that hold only in a small fleet, where claims reach everyone soon.
func TestSharesHoldInFleetsOfAnySize(t *testing.T) {
	for _, instances := range []int{7, 76, 380} {
		ours := play(t, "workspace at 7.5", "ours", instances, 30)
		share, jain := others(ours)
		assert.Check(t, share > 0.9, instances)
		assert.Check(t, jain > 0.98, instances)
	}
}

// Guards against a gain for callers that ask again at once, and a refusal of those that waited.
func TestCallerThatWaitsGoesFirst(t *testing.T) {
	s, now := sharer.New(sharer.Settings{}), time.Unix(1_000_000, 0)
	room := sharer.Room{Expected: 400 * time.Millisecond, Prefill: 20 * time.Millisecond}
	work := func(id string) sharer.Work {
		return sharer.Work{ID: id, Service: "s", Workspace: "w", Tokens: 1000, Target: 600 * time.Millisecond, TimeLeft: 5 * time.Second}
	}
	ask := func(id string) sharer.Decision {
		s.Want(now, work(id))

		return s.Admit(now, work(id), room)
	}
	for _, id := range []string{"a", "b"} {
		assert.Assert(t, ask(id).Admitted == (id == "a"), id)
		s.Start(now, work("a"))
		now = now.Add(10 * time.Millisecond)
	}
	early := ask("b")
	assert.Assert(t, !early.Admitted && early.Reason == sharer.TooEarly)
	now = now.Add(early.RetryAfter)
	assert.Assert(t, ask("b").Admitted && ask("b").IsReturned)
}
