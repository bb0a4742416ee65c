package quarantiner_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

const (
	free        = quarantiner.Clear
	suspect     = quarantiner.Suspect
	quarantined = quarantiner.Quarantined
)

func TestVerdicts(t *testing.T) {
	type step struct {
		at      time.Duration
		crashed []uint64
		ran     uint64
		want    quarantiner.Verdict
	}
	// Each step ends with the verdict on fingerprint 1.
	for name, steps := range map[string][]step{
		"never crashed":            {{0, nil, 0, free}, {1, []uint64{2}, 0, free}},
		"once, runs alone":         {{0, []uint64{1, 2}, 0, suspect}, {1, nil, 0, quarantined}, {2, nil, 1, free}},
		"trial without an end":     {{0, []uint64{1}, 0, suspect}, {29, nil, 0, quarantined}, {30, nil, 0, suspect}},
		"once, long ago":           {{0, []uint64{2, 1}, 0, suspect}, {630, nil, 0, free}},
		"twice, alone":             {{0, []uint64{1, 2}, 0, suspect}, {1, []uint64{1}, 0, quarantined}, {600, nil, 0, quarantined}, {1199, nil, 0, quarantined}, {1800, nil, 0, free}},
		"twice, the one suspect":   {{0, []uint64{1, 2}, 0, suspect}, {1, []uint64{1, 3}, 0, quarantined}, {600, nil, 0, quarantined}},
		"twice, with another":      {{0, []uint64{1, 2}, 0, suspect}, {1, []uint64{1, 2}, 0, quarantined}, {61, nil, 0, suspect}, {62, []uint64{1}, 0, quarantined}, {600, nil, 0, quarantined}},
		"twice in one crash":       {{0, []uint64{1, 1}, 0, suspect}},
		"copies of one":            {{0, []uint64{1, 1}, 0, suspect}, {1, []uint64{1, 1}, 0, quarantined}, {600, nil, 0, quarantined}},
		"cleared, then once more":  {{0, []uint64{1}, 0, suspect}, {1, nil, 1, free}, {2, []uint64{1}, 0, suspect}},
		"cleared while in doubt":   {{0, []uint64{1, 2}, 0, suspect}, {1, []uint64{1, 2}, 0, quarantined}, {2, nil, 1, free}},
		"another crash while held": {{0, []uint64{1}, 0, suspect}, {1, []uint64{2}, 0, quarantined}},
	} {
		q := quarantiner.New(quarantiner.DefaultSettings())
		for _, s := range steps {
			now := start.Add(s.at * time.Second)
			if s.crashed != nil {
				q.RecordLocalCrash(now, s.crashed)
			}
			if s.ran != 0 {
				q.RecordCompletion(now, s.ran)
			}
			assert.Equal(t, q.Decide(now, 1), s.want, "%s at %d", name, s.at)
		}
	}
}

func TestQuarantineIsBounded(t *testing.T) {
	q := quarantiner.New(quarantiner.DefaultSettings())
	q.RecordLocalCrash(start, []uint64{1})
	q.RecordLocalCrash(start.Add(1), []uint64{1})
	for minute := range 60 {
		assert.Equal(t, q.Decide(start.Add(time.Duration(minute)*time.Minute), 1), quarantined)
	}
	assert.Equal(t, q.Decide(start.Add(time.Hour+1), 1), suspect)
}

func TestFullKeepsTheQuarantined(t *testing.T) {
	settings := quarantiner.DefaultSettings()
	settings.Entries, settings.Shared = 4, 3
	q := quarantiner.New(settings)
	q.RecordLocalCrash(start, []uint64{1})
	q.RecordLocalCrash(start.Add(1), []uint64{1})
	for k := range uint64(20) {
		q.RecordLocalCrash(start.Add(time.Duration(k+2)), []uint64{100 + k})
	}
	assert.Equal(t, q.Decide(start.Add(time.Minute), 1), quarantined)
	assert.Equal(t, q.Decide(start.Add(time.Minute), 100), free)
	assert.Equal(t, q.Decide(start.Add(time.Minute), 119), suspect)
	assert.Equal(t, len(q.EntriesToShare(start.Add(time.Minute))), 3)
}

func TestMerge(t *testing.T) {
	at := func(seconds time.Duration) time.Time { return start.Add(seconds * time.Second) }
	a, b := quarantiner.New(quarantiner.DefaultSettings()), quarantiner.New(quarantiner.DefaultSettings())
	a.RecordLocalCrash(at(0), []uint64{1, 2})
	assert.Equal(t, a.Decide(at(1), 1), suspect)
	shared := a.EntriesToShare(at(1))
	b.Merge(at(1), shared)
	assert.Equal(t, b.Decide(at(2), 1), quarantined) // A copy runs at a.

	b.RecordLocalCrash(at(40), []uint64{1, 2})
	c := quarantiner.New(quarantiner.DefaultSettings())
	c.RecordLocalCrash(at(50), []uint64{1}) // Alone, and unknown here.
	b.Merge(at(50), c.EntriesToShare(at(50)))
	assert.Equal(t, b.Decide(at(300), 1), quarantined)
	c.Merge(at(300), b.EntriesToShare(at(300)))
	assert.Equal(t, c.Decide(at(890), 1), quarantined) // Asked for at b.

	a.RecordCompletion(at(891), 1)
	c.Merge(at(891), a.EntriesToShare(at(891)))
	assert.Equal(t, c.Decide(at(892), 1), free)
	assert.DeepEqual(t, shared[0].Crashes, []quarantiner.Crash{{EndpointID: uint64(at(0).UnixNano()), At: at(0)}})
}

func TestEntriesFromAheadAreIgnored(t *testing.T) {
	q := quarantiner.New(quarantiner.DefaultSettings())
	ahead := start.Add(time.Hour)
	q.Merge(start, []quarantiner.Entry{{Fingerprint: 1, Crashes: []quarantiner.Crash{{EndpointID: 1, At: ahead}}}})
	assert.Equal(t, q.Decide(start, 1), free)
}

// TestLikeNaive compares instances that exchange entries with a list of all
// crashes that each of them has heard of.
func TestLikeNaive(t *testing.T) {
	type heard struct {
		crashes map[time.Time]bool
		cleared time.Time
	}
	rapid.Check(t, func(r *rapid.T) {
		settings := quarantiner.DefaultSettings()
		settings.Trial = time.Second
		models := make([]map[uint64]*heard, 3)
		instances := make([]*quarantiner.Quarantiner, 0, len(models))
		for i := range models {
			instances = append(instances, quarantiner.New(settings))
			models[i] = map[uint64]*heard{}
			for fingerprint := range uint64(4) {
				models[i][fingerprint] = &heard{crashes: map[time.Time]bool{}}
			}
		}
		now := start
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			now = now.Add(time.Second)
			i, k := rapid.IntRange(0, 2).Draw(r, "instance"), rapid.IntRange(0, 2).Draw(r, "other")
			fingerprint := rapid.Uint64Range(0, 3).Draw(r, "fingerprint")
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0:
				instances[i].RecordLocalCrash(now, []uint64{fingerprint, 99})
				models[i][fingerprint].crashes[now] = true
			case 1:
				instances[i].RecordCompletion(now, fingerprint)
				if one := models[i][fingerprint]; len(one.crashes) > 0 || !one.cleared.IsZero() {
					one.cleared = now
				}
			default:
				entries := instances[k].EntriesToShare(now)
				instances[i].Merge(now, entries)
				instances[i].Merge(now, entries)
				for fingerprint, other := range models[k] {
					one := models[i][fingerprint]
					for crash := range other.crashes {
						one.crashes[crash] = true
					}
					if other.cleared.After(one.cleared) {
						one.cleared = other.cleared
					}
				}
			}
			for fingerprint, one := range models[i] {
				count := 0
				for crash := range one.crashes {
					if crash.After(one.cleared) {
						count++
					}
				}
				got := instances[i].Decide(now, fingerprint)
				want := []quarantiner.Verdict{free, suspect, quarantined}[min(count, 2)]
				assert.Equal(r, got, want, "fingerprint %d after %d crashes", fingerprint, count)
			}
		}
	})
}

// siege has one poison request resent for ever among healthy ones, on nine
// endpoints in batches of 16 asked through three instances. It returns the
// number of crashes, and of healthy runs refused.
func siege(seed uint64, alone bool, exchange int) (crashes, refused, healthy int) {
	const endpoints, batch, rounds, poison = 9, 16, 30, 1
	random := rand.New(rand.NewPCG(seed, 2))
	instances := make([]*quarantiner.Quarantiner, 3)
	for i := range instances {
		instances[i] = quarantiner.New(quarantiner.DefaultSettings())
	}
	next := uint64(100)
	again := []uint64{poison}
	for round := range rounds {
		now := start.Add(time.Duration(round) * time.Second)
		waiting := again
		for len(waiting) < endpoints*batch/2 {
			waiting = append(waiting, next)
			next++
		}
		again = []uint64{poison}
		random.Shuffle(len(waiting), func(i, k int) { waiting[i], waiting[k] = waiting[k], waiting[i] })
		batches := make([][]uint64, endpoints, endpoints*batch)
		owner := func(k int) *quarantiner.Quarantiner { return instances[(round+k)%len(instances)] }
		for _, fingerprint := range waiting {
			k := random.IntN(endpoints)
			verdict := owner(k).Decide(now, fingerprint)
			switch {
			case verdict == quarantined && fingerprint != poison:
				refused++
			case verdict == quarantined:
			case verdict == suspect && alone:
				batches = slices.Insert(batches, len(batches), []uint64{fingerprint})
			default:
				batches[k] = append(batches[k], fingerprint)
			}
		}
		for k, running := range batches {
			crashed := false
			for _, fingerprint := range running {
				crashed = crashed || fingerprint == poison
			}
			if crashed {
				crashes++
				owner(k).RecordLocalCrash(now.Add(time.Duration(k)), running)
				for _, fingerprint := range running {
					if fingerprint != poison {
						again = append(again, fingerprint)
					}
				}
				continue
			}
			for _, fingerprint := range running {
				owner(k).RecordCompletion(now.Add(time.Duration(k)), fingerprint)
				healthy++
			}
		}
		if round%exchange == 0 {
			for _, from := range instances {
				for _, to := range instances {
					to.Merge(now.Add(time.Second/2), from.EntriesToShare(now.Add(time.Second/2)))
				}
			}
		}
	}
	return crashes, refused, healthy
}

func TestPoisonResentForEver(t *testing.T) {
	const sieges = 100
	for _, c := range []struct {
		alone         bool
		exchange, max int
	}{{true, 1, 2}, {false, 1, 2}, {true, 1000, 6}} {
		worst, crashes, refused, healthy := 0, 0, 0, 0
		for seed := range uint64(sieges) {
			fell, lost, ran := siege(seed, c.alone, c.exchange)
			worst, crashes, refused, healthy = max(worst, fell), crashes+fell, refused+lost, healthy+ran
		}
		t.Logf("suspects alone %t, exchange every %d s: %d crashes in %d sieges, at most %d; %d healthy runs refused of %d",
			c.alone, c.exchange, crashes, sieges, worst, refused, healthy)
		assert.Assert(t, crashes >= 2*sieges && worst <= c.max)
		assert.Assert(t, !c.alone || refused == 0)
	}
}

func TestTrying(t *testing.T) {
	settings := quarantiner.DefaultSettings()
	q := quarantiner.New(settings)
	assert.Assert(t, !q.IsOnTrial(start, 1))
	q.RecordLocalCrash(start, []uint64{1, 2})
	assert.Assert(t, !q.IsOnTrial(start, 1), "nobody runs it yet")
	assert.Equal(t, q.Decide(start.Add(1), 1), quarantiner.Suspect)
	assert.Assert(t, q.IsOnTrial(start.Add(2), 1))
	assert.Assert(t, !q.IsOnTrial(start.Add(2), 2))
	assert.Assert(t, !q.IsOnTrial(start.Add(1+settings.Trial), 1))
	q.RecordCompletion(start.Add(3), 1)
	assert.Assert(t, !q.IsOnTrial(start.Add(4), 1))
}

// TestOneCrashSeenByTwo: a prompt that two instances ran on one endpoint when it
// crashed has crashed it once; a second endpoint makes it two.
func TestOneCrashSeenByTwo(t *testing.T) {
	here, there := quarantiner.New(quarantiner.DefaultSettings()), quarantiner.New(quarantiner.DefaultSettings())
	later := start.Add(300 * time.Millisecond)
	here.RecordCrash(start, "engine-1", []uint64{1, 2})
	there.RecordCrash(later, "engine-1", []uint64{1, 3})
	here.Merge(later, there.EntriesToShare(later))
	there.Merge(later, here.EntriesToShare(later))
	for _, q := range []*quarantiner.Quarantiner{here, there} {
		assert.Equal(t, q.Decide(later, 1), quarantiner.Suspect)
	}
	here.RecordCrash(later, "engine-2", []uint64{1})
	assert.Equal(t, here.Decide(later, 1), quarantiner.Quarantined)
	there.RecordCrash(start.Add(time.Minute), "engine-1", []uint64{1})
	assert.Equal(t, there.Decide(start.Add(time.Minute), 1), quarantiner.Quarantined)
}
