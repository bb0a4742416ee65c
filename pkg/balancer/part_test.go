package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestTableEqualsNaiveSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 12).Draw(t, "most")
		table, naive := newTable(most), map[uint64]map[*engine]bool{}
		engines := []*engine{newEngine("x"), newEngine("y"), newEngine("z")}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			hash := rapid.Uint64Range(1, 16).Draw(t, "hash")
			e := rapid.SampledFrom(engines).Draw(t, "engine")
			if naive[hash] == nil {
				naive[hash] = map[*engine]bool{}
			}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				table.remove(hash, e)
				delete(naive[hash], e)
			case 1:
				e.epoch++
				for _, holders := range naive {
					delete(holders, e)
				}
			default:
				guess := rapid.IntRange(0, most).Draw(t, "guess")
				index, held := table.hold(hash, e, guess)
				assert.Assert(t, table.entries[index].hash == hash && (!held || naive[hash][e]))
				naive[hash][e] = true
			}
			assert.Assert(t, len(table.entries) <= most && len(table.index) <= most)
		}
		for hash, holders := range naive {
			found := table.find(hash)
			held := 0
			for i := 0; found != nil && i < int(found.count); i++ {
				if h := found.holders[i]; h.valid() {
					held++
					assert.Assert(t, holders[h.engine], "prefix %d: %s doesn't hold it", hash, h.engine.Name)
				}
			}
			assert.Assert(t, held == len(holders) || len(naive) > most, "prefix %d: holders lost", hash)
		}
	})
}

func TestHistoryEqualsNaiveList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		naive := make([]mark, 0, historySize)
		now := start
		for range rapid.IntRange(0, historySize-1).Draw(t, "changes") {
			now = now.Add(historyStep * time.Duration(rapid.IntRange(1, 9).Draw(t, "step")))
			running := rapid.IntRange(0, 9).Draw(t, "running")
			h.note(now, running, 0)
			naive = append(naive, mark{at: now, running: running})
		}
		past := start.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "past")) * time.Millisecond)
		want := 0
		for _, m := range naive {
			if !m.at.After(past) {
				want = m.running
			}
		}
		assert.Equal(t, h.at(past).running, want)
	})
}

func TestPeersEqualNaiveMedian(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Float64Range(0.01, 1), 3, 30).Draw(t, "values")
		slices.Sort(values)
		own := rapid.IntRange(0, len(values)-1).Draw(t, "own")
		rest := slices.Delete(slices.Clone(values), own, own+1)
		g := group{engines: make([]*engine, len(values)), sorted: values}
		median, known := g.peers(values[own])
		assert.Assert(t, known && median == rest[len(rest)/2])
	})
}

func TestOwnRequestsAreNotCountedTwice(t *testing.T) {
	b := build(fleet(1, 16))
	for id := range uint64(4) {
		b.RecordStart(start, id, "e000", plain)
	}
	later := start.Add(3 * time.Second)
	b.RecordStart(later, 9, "e000", plain)
	b.RecordLoad(later, "e000", LoadReport{MeasuredAt: start.Add(time.Second), Running: 5, Waiting: 1})
	assert.Equal(t, b.States()[0].Others, 2.0)
	b.RecordLoad(later, "e000", LoadReport{MeasuredAt: start.Add(time.Second), Running: 16})
	b.RecordLoad(later, "e000", LoadReport{MeasuredAt: start, Running: 16})
	assert.Equal(t, b.States()[0].Others, 2.0, "a repeated or older report was taken in")
	b.RecordLoad(later, "e000", LoadReport{MeasuredAt: later.Add(time.Hour), Running: 6})
	assert.Equal(t, b.States()[0].Others, 1.0)
}

func TestPrefixGoesToItsHolderWithinTheBound(t *testing.T) {
	b := build(fleet(20, 16))
	ask := plain
	ask.Prefixes, ask.PromptTokens, ask.TotalTokens = []uint64{1, 2, 3, 4}, 4000, 4100
	first, _ := b.Pick(start, ask, nil)
	counts, reused := map[string]int{}, 0
	for id := range uint64(40) {
		choice, ok := b.Pick(start, ask, nil)
		assert.Assert(t, ok)
		b.RecordStart(start, id, choice.Endpoint, ask)
		counts[choice.Endpoint]++
		if choice.Reused > 0 {
			assert.Equal(t, choice.Reused, 4000)
			reused++
		}
		mean := float64(id+1) / 20
		assert.Assert(t, counts[choice.Endpoint] <= int(math.Ceil(affinityBound*(mean+1))), "%v", counts)
	}
	assert.Equal(t, first.Reused, 0)
	assert.Assert(t, reused >= 20, "only %d reused a cache", reused)

	b.Cached(start, "e007", nil, ask.Prefixes)
	for _, holder := range b.table.find(4).list() {
		assert.Assert(t, !holder.valid() || holder.engine.Name != "e007")
	}
}

func TestCrashedEndpointComesBackByOneProbe(t *testing.T) {
	b := build(fleet(3, 16))
	for id := range uint64(4) {
		b.RecordStart(start, id, "e001", plain)
	}
	b.RecordStart(start, 8, "e002", plain)
	b.RecordEnd(start, 8, Failed)
	assert.Equal(t, b.States()[2].Status, Suspect, "one broken answer")
	for id := range uint64(4) {
		b.RecordEnd(start, id, Failed)
	}
	assert.Equal(t, b.States()[1].Status, Ejected)
	assert.Equal(t, b.Next(), start.Add(time.Second))

	due := b.Next().Add(time.Second)
	retry := plain
	retry.TriedEndpoints = []string{"e000"}
	b.RecordEnd(due, 99, Failed)
	probes := map[string]uint64{}
	for id := range uint64(8) {
		choice, ok := b.Pick(due, plain, nil)
		assert.Assert(t, ok)
		b.RecordStart(due, 100+id, choice.Endpoint, plain)
		if choice.Endpoint != "e000" {
			assert.Equal(t, probes[choice.Endpoint], uint64(0), "two probes at once")
			probes[choice.Endpoint] = 100 + id
		}
	}
	assert.Equal(t, len(probes), 2)
	_, ok := b.Pick(due, retry, nil)
	assert.Assert(t, !ok, "a retried request was sent to a suspect endpoint under probe")

	b.RecordProgress(due, probes["e001"], 1)
	assert.Equal(t, b.States()[1].Status, Healthy)
	b.RecordEnd(due, probes["e002"], Failed)
	assert.Equal(t, b.States()[2].Status, Ejected)
	b.RecordEnd(due, probes["e001"], Failed)
	assert.Equal(t, b.States()[1].Status, Suspect, "the cap keeps a second one in")
}

func TestShrunkGroupKeepsTheCap(t *testing.T) {
	b := build(fleet(3, 16))
	for id := range uint64(failuresMost) {
		b.RecordStart(start, id, "e000", plain)
		b.RecordEnd(start, id, Failed)
	}
	assert.Equal(t, b.States()[0].Status, Ejected)
	b.Configure(start, fleet(1, 16))
	assert.Equal(t, b.States()[0].Status, Suspect)
	_, ok := b.Pick(start, plain, nil)
	assert.Assert(t, ok, "the last endpoint is tried")
}

func TestProbesThatFailComeLaterAndLater(t *testing.T) {
	b := build(fleet(4, 16))
	ask := plain
	ask.Prefixes = []uint64{7}
	for id := range uint64(failuresMost) {
		b.RecordStart(start, id, "e000", ask)
		b.RecordEnd(start, id, Failed)
	}
	assert.Assert(t, !b.table.find(7).list()[0].valid(), "the cache of a crashed engine")
	now := start
	for _, pause := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		assert.Equal(t, b.Next(), now.Add(pause*time.Second))
		now = b.Next()
		choice, _ := b.Pick(now, plain, nil)
		assert.Equal(t, choice.Endpoint, "e000", "the probe")
		b.RecordStart(now, 9, "e000", plain)
		b.RecordEnd(now, 9, Failed)
	}
}

func TestSilentEndpointIsEjected(t *testing.T) {
	b := build(fleet(4, 16))
	now := start
	for id := range uint64(4) {
		b.RecordStart(now, id, fmt.Sprintf("e%03d", id), plain)
		b.RecordProgress(now, id, 1)
	}
	for made := range 100 {
		now = now.Add(20 * time.Millisecond)
		for id := range uint64(3) {
			b.RecordProgress(now, id, made+2)
		}
	}
	states := b.States()
	assert.Equal(t, states[3].Status, Ejected)
	assert.Equal(t, states[3].Probe.Sub(start) < 6*time.Second, true)
	for _, state := range states[:3] {
		assert.Equal(t, state.Status, Healthy)
	}
	b.RecordProgress(now.Add(time.Second), 3, 60)
	b.RecordProgress(now.Add(2*time.Second), 3, 120)
	assert.Equal(t, b.States()[3].Status, Healthy, "its stream goes on at full speed")
}

func TestAloneKeepsOthersOut(t *testing.T) {
	b := build(fleet(2, 16))
	b.RecordStart(start, 1, "e000", plain)
	alone := plain
	alone.Isolated = true
	choice, _ := b.Pick(start, alone, nil)
	assert.Equal(t, choice.Endpoint, "e001")
	b.RecordStart(start, 2, "e001", alone)
	for id := range uint64(9) {
		choice, _ = b.Pick(start, plain, nil)
		assert.Equal(t, choice.Endpoint, "e000")
		b.RecordStart(start, 10+id, choice.Endpoint, plain)
	}
	b.RecordEnd(start, 2, Finished)
	choice, _ = b.Pick(start, plain, nil)
	assert.Equal(t, choice.Endpoint, "e001")
}

func TestSlowEndpointIsNotFilled(t *testing.T) {
	b := build(fleet(1, 16))
	now := start
	for id := range uint64(16) {
		b.RecordStart(now, id, "e000", plain)
	}
	for made := range 40 {
		now = now.Add(60 * time.Millisecond)
		for id := range uint64(16) {
			b.RecordProgress(now, id, made+1)
		}
	}
	assert.Assert(t, b.States()[0].Limit < 16, "%+v", b.States()[0])
	assert.Assert(t, b.States()[0].Limit >= 4)
	b.RecordEnd(now, 0, Finished)
	open := func(string, int, int) bool { return true }
	_, ok := b.Pick(now, plain, open)
	assert.Assert(t, !ok, "filled over its limit")
	for id := range uint64(16) {
		b.RecordEnd(now, id, Finished)
	}
	for range 20 {
		now = now.Add(time.Second)
		_, ok = b.Pick(now, plain, open)
		assert.Assert(t, ok)
	}
	assert.Equal(t, b.States()[0].Limit, 16, "the limit rises again")
}

func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{60, 600, 6000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			endpoints := fleet(count, 32)
			for i := range endpoints {
				endpoints[i].DataCentre = []string{"a", "b", "c"}[i%3]
			}
			balancer := build(endpoints)
			prefixes := make([]uint64, 16)
			ask := plain
			now, id := start, uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now = now.Add(50 * time.Microsecond)
				for i := range prefixes {
					prefixes[i] = (id%1000)<<8 | uint64(i)
				}
				ask.Prefixes = prefixes
				choice, _ := balancer.Pick(now, ask, nil)
				balancer.RecordStart(now, id, choice.Endpoint, ask)
				balancer.RecordEnd(now, id-min(id, 400), Finished)
			}
		})
	}
}
