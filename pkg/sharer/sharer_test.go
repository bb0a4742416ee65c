package sharer_test

import (
	"testing"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/sharer"
)

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

func TestTable(t *testing.T) {
	for _, pattern := range []struct {
		name  string
		apply func(m *model)
	}{
		{"calm", func(*model) {}},
		{"one workspace at 7.5", func(m *model) {
			m.surge = func(at time.Duration, w int) float64 {
				if w == 0 && at > 5*time.Second && at < 15*time.Second {
					return 7.5
				}

				return 1
			}
		}},
		{"prompts at 2.8", func(m *model) {
			m.surge = func(at time.Duration, _ int) float64 {
				if at > 5*time.Second && at < 14*time.Second {
					return 2.8
				}

				return 1
			}
		}},
		{"quarter lost, third cut off", func(m *model) {
			m.surge = func(at time.Duration, w int) float64 {
				if w == 0 && at > 5*time.Second && at < 15*time.Second {
					return 7.5
				}

				return 1
			}
			m.loss = func(at time.Duration) int {
				if at > 8*time.Second && at < 12*time.Second {
					return len(m.engines) / 4
				}

				return 0
			}
			m.cut = func(at time.Duration) int {
				if at > 7*time.Second && at < 14*time.Second {
					return len(m.sharers) / 3
				}

				return 0
			}
		}},
	} {
		for _, way := range []struct {
			name   string
			policy policy
			shared bool
		}{{"ours", nil, false}, {"before", before, false}, {"first come", firstCome, false}, {"equal", equalShares(25), false}, {"sees all", nil, true}} {
			m := newModel(1, 25, 30)
			m.policy, m.shared = way.policy, way.shared
			pattern.apply(m)
			m.run(20 * time.Second)
			share, index := others(m)
			t.Logf("%-28s %-10s tier0 %.3f tier1 %.3f others %.3f jain %.3f wasted %.3f of %.0f free %d again %d/%d %v %.0f", pattern.name, way.name, m.inTime[0]/m.all[0], m.inTime[1]/m.all[1], share, index, m.wasted/m.done, m.done, m.refusedFree, m.again, m.back, m.reasons, m.waits)
		}
	}
}
