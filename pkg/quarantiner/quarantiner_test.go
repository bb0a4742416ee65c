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
	allowed     = quarantiner.Allowed
	suspect     = quarantiner.Suspect
	quarantined = quarantiner.Quarantined
)

func TestVerdictFollowsCrashesAndCompletions(t *testing.T) {
	type step struct {
		at       time.Duration
		crashed  []uint64
		finished uint64
		want     quarantiner.Verdict
	}
	// After each step, the verdict on fingerprint 1 is checked.
	for name, steps := range map[string][]step{
		"never crashed":                                        {{0, nil, 0, allowed}, {1, []uint64{2}, 0, allowed}},
		"one crash, then finishes alone":                       {{0, []uint64{1, 2}, 0, suspect}, {1, nil, 0, quarantined}, {2, nil, 1, allowed}},
		"trial times out":                                      {{0, []uint64{1}, 0, suspect}, {29, nil, 0, quarantined}, {30, nil, 0, suspect}},
		"one crash, long ago":                                  {{0, []uint64{2, 1}, 0, suspect}, {630, nil, 0, allowed}},
		"two crashes, alone at the second":                     {{0, []uint64{1, 2}, 0, suspect}, {1, []uint64{1}, 0, quarantined}, {600, nil, 0, quarantined}, {1199, nil, 0, quarantined}, {1800, nil, 0, allowed}},
		"two crashes, the only suspect at the second":          {{0, []uint64{1, 2}, 0, suspect}, {1, []uint64{1, 3}, 0, quarantined}, {600, nil, 0, quarantined}},
		"two crashes, with another suspect":                    {{0, []uint64{1, 2}, 0, suspect}, {1, []uint64{1, 2}, 0, quarantined}, {61, nil, 0, suspect}, {62, []uint64{1}, 0, quarantined}, {600, nil, 0, quarantined}},
		"listed twice for one crash":                           {{0, []uint64{1, 1}, 0, suspect}},
		"two crashes with only its own copies":                 {{0, []uint64{1, 1}, 0, suspect}, {1, []uint64{1, 1}, 0, quarantined}, {600, nil, 0, quarantined}},
		"finishes, then one more crash":                        {{0, []uint64{1}, 0, suspect}, {1, nil, 1, allowed}, {2, []uint64{1}, 0, suspect}},
		"finishes during an ambiguous quarantine":              {{0, []uint64{1, 2}, 0, suspect}, {1, []uint64{1, 2}, 0, quarantined}, {2, nil, 1, allowed}},
		"another request crashes an endpoint during the trial": {{0, []uint64{1}, 0, suspect}, {1, []uint64{2}, 0, quarantined}},
	} {
		q := quarantiner.New(quarantiner.DefaultSettings())
		for _, s := range steps {
			now := start.Add(s.at * time.Second)
			if s.crashed != nil {
				q.RecordLocalCrash(now, s.crashed)
			}
			if s.finished != 0 {
				q.RecordCompletion(now, s.finished)
			}
			assert.Equal(t, q.Decide(now, 1), s.want, "%s at %d", name, s.at)
		}
	}
}

func TestQuarantineEndsAfterMaxDuration(t *testing.T) {
	q := quarantiner.New(quarantiner.DefaultSettings())
	q.RecordLocalCrash(start, []uint64{1})
	q.RecordLocalCrash(start.Add(1), []uint64{1})
	for minute := range 60 {
		assert.Equal(t, q.Decide(start.Add(time.Duration(minute)*time.Minute), 1), quarantined)
	}
	assert.Equal(t, q.Decide(start.Add(time.Hour+1), 1), suspect)
}

func TestEvictionKeepsQuarantinedEntries(t *testing.T) {
	settings := quarantiner.DefaultSettings()
	settings.MaxEntries, settings.MaxSharedEntries = 4, 3
	q := quarantiner.New(settings)
	q.RecordLocalCrash(start, []uint64{1})
	q.RecordLocalCrash(start.Add(1), []uint64{1})
	for i := range uint64(20) {
		q.RecordLocalCrash(start.Add(time.Duration(i+2)), []uint64{100 + i})
	}
	assert.Equal(t, q.Decide(start.Add(time.Minute), 1), quarantined)
	assert.Equal(t, q.Decide(start.Add(time.Minute), 100), allowed)
	assert.Equal(t, q.Decide(start.Add(time.Minute), 119), suspect)
	assert.Equal(t, len(q.EntriesToShare(start.Add(time.Minute))), 3)
}

func TestMergeSharesTrialsCrashesRefusalsAndCompletions(t *testing.T) {
	at := func(seconds time.Duration) time.Time { return start.Add(seconds * time.Second) }
	a, b := quarantiner.New(quarantiner.DefaultSettings()), quarantiner.New(quarantiner.DefaultSettings())
	a.RecordLocalCrash(at(0), []uint64{1, 2})
	assert.Equal(t, a.Decide(at(1), 1), suspect)
	shared := a.EntriesToShare(at(1))
	b.Merge(at(1), shared)
	assert.Equal(t, b.Decide(at(2), 1), quarantined) // A copy is on trial at instance a.

	b.RecordLocalCrash(at(40), []uint64{1, 2})
	c := quarantiner.New(quarantiner.DefaultSettings())
	c.RecordLocalCrash(at(50), []uint64{1}) // It was running alone, and instance c has no entry for it.
	b.Merge(at(50), c.EntriesToShare(at(50)))
	assert.Equal(t, b.Decide(at(300), 1), quarantined)
	c.Merge(at(300), b.EntriesToShare(at(300)))
	assert.Equal(t, c.Decide(at(890), 1), quarantined) // Refused at instance b meanwhile, which extends the quarantine.

	a.RecordCompletion(at(891), 1)
	c.Merge(at(891), a.EntriesToShare(at(891)))
	assert.Equal(t, c.Decide(at(892), 1), allowed)
	assert.DeepEqual(t, shared[0].Crashes, []quarantiner.Crash{{EndpointID: uint64(at(0).UnixNano()), At: at(0)}})
}

func TestEntriesFromFutureAreIgnored(t *testing.T) {
	q := quarantiner.New(quarantiner.DefaultSettings())
	future := start.Add(time.Hour)
	q.Merge(start, []quarantiner.Entry{{Fingerprint: 1, Crashes: []quarantiner.Crash{{EndpointID: 1, At: future}}}})
	assert.Equal(t, q.Decide(start, 1), allowed)
}

// TestVerdictsMatchNaiveModel compares the verdicts of instances that exchange entries with
// those of a naive model, which stores all crashes that an instance recorded or received.
func TestVerdictsMatchNaiveModel(t *testing.T) {
	type model struct {
		crashes map[time.Time]bool
		cleared time.Time
	}
	rapid.Check(t, func(r *rapid.T) {
		settings := quarantiner.DefaultSettings()
		settings.TrialTimeout = time.Second
		models := make([]map[uint64]*model, 3)
		instances := make([]*quarantiner.Quarantiner, 0, len(models))
		for i := range models {
			instances = append(instances, quarantiner.New(settings))
			models[i] = map[uint64]*model{}
			for fingerprint := range uint64(4) {
				models[i][fingerprint] = &model{crashes: map[time.Time]bool{}}
			}
		}
		now := start
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			now = now.Add(time.Second)
			i, peer := rapid.IntRange(0, 2).Draw(r, "instance"), rapid.IntRange(0, 2).Draw(r, "other")
			fingerprint := rapid.Uint64Range(0, 3).Draw(r, "fingerprint")
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0:
				instances[i].RecordLocalCrash(now, []uint64{fingerprint, 99})
				models[i][fingerprint].crashes[now] = true
			case 1:
				instances[i].RecordCompletion(now, fingerprint)
				if current := models[i][fingerprint]; len(current.crashes) > 0 || !current.cleared.IsZero() {
					current.cleared = now
				}
			default:
				entries := instances[peer].EntriesToShare(now)
				instances[i].Merge(now, entries)
				instances[i].Merge(now, entries)
				for fingerprint, peerModel := range models[peer] {
					current := models[i][fingerprint]
					for crash := range peerModel.crashes {
						current.crashes[crash] = true
					}
					if peerModel.cleared.After(current.cleared) {
						current.cleared = peerModel.cleared
					}
				}
			}
			for fingerprint, current := range models[i] {
				count := 0
				for crash := range current.crashes {
					if crash.After(current.cleared) {
						count++
					}
				}
				got := instances[i].Decide(now, fingerprint)
				want := []quarantiner.Verdict{allowed, suspect, quarantined}[min(count, 2)]
				assert.Equal(r, got, want, "fingerprint %d after %d crashes", fingerprint, count)
			}
		}
	})
}

// simulatePoisonRequest resends one poison request in every round, among healthy requests,
// to nine endpoints with batches of 16, through three instances. It returns the number of
// crashes, of refused healthy requests, and of healthy requests that ran to completion.
func simulatePoisonRequest(seed uint64, runSuspectsAlone bool, roundsPerExchange int) (crashes, refused, healthy int) {
	const endpointCount, batchSize, roundCount, poison = 9, 16, 30, 1
	random := rand.New(rand.NewPCG(seed, 2))
	instances := make([]*quarantiner.Quarantiner, 3)
	for i := range instances {
		instances[i] = quarantiner.New(quarantiner.DefaultSettings())
	}
	nextFingerprint := uint64(100)
	resent := []uint64{poison}
	for round := range roundCount {
		now := start.Add(time.Duration(round) * time.Second)
		waiting := resent
		for len(waiting) < endpointCount*batchSize/2 {
			waiting = append(waiting, nextFingerprint)
			nextFingerprint++
		}
		resent = []uint64{poison}
		random.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
		batches := make([][]uint64, endpointCount, endpointCount*batchSize)
		instanceOf := func(index int) *quarantiner.Quarantiner { return instances[(round+index)%len(instances)] }
		for _, fingerprint := range waiting {
			index := random.IntN(endpointCount)
			verdict := instanceOf(index).Decide(now, fingerprint)
			switch {
			case verdict == quarantined && fingerprint != poison:
				refused++
			case verdict == quarantined:
			case verdict == suspect && runSuspectsAlone:
				batches = slices.Insert(batches, len(batches), []uint64{fingerprint})
			default:
				batches[index] = append(batches[index], fingerprint)
			}
		}
		for index, running := range batches {
			hasPoison := false
			for _, fingerprint := range running {
				hasPoison = hasPoison || fingerprint == poison
			}
			if hasPoison {
				crashes++
				instanceOf(index).RecordLocalCrash(now.Add(time.Duration(index)), running)
				for _, fingerprint := range running {
					if fingerprint != poison {
						resent = append(resent, fingerprint)
					}
				}
				continue
			}
			for _, fingerprint := range running {
				instanceOf(index).RecordCompletion(now.Add(time.Duration(index)), fingerprint)
				healthy++
			}
		}
		if round%roundsPerExchange == 0 {
			for _, from := range instances {
				for _, to := range instances {
					to.Merge(now.Add(time.Second/2), from.EntriesToShare(now.Add(time.Second/2)))
				}
			}
		}
	}
	return crashes, refused, healthy
}

func TestRepeatedPoisonRequestCausesFewCrashes(t *testing.T) {
	const runCount = 100
	for _, c := range []struct {
		runSuspectsAlone              bool
		roundsPerExchange, maxCrashes int
	}{{true, 1, 2}, {false, 1, 2}, {true, 1000, 6}} {
		mostCrashes, crashes, refused, healthy := 0, 0, 0, 0
		for seed := range uint64(runCount) {
			seedCrashes, seedRefused, seedHealthy := simulatePoisonRequest(seed, c.runSuspectsAlone, c.roundsPerExchange)
			mostCrashes, crashes, refused, healthy = max(mostCrashes, seedCrashes), crashes+seedCrashes, refused+seedRefused, healthy+seedHealthy
		}
		t.Logf("suspects alone %t, exchange every %d s: %d crashes in %d runs, at most %d; %d healthy requests refused, %d completed",
			c.runSuspectsAlone, c.roundsPerExchange, crashes, runCount, mostCrashes, refused, healthy)
		assert.Assert(t, crashes >= 2*runCount && mostCrashes <= c.maxCrashes)
		assert.Assert(t, !c.runSuspectsAlone || refused == 0)
	}
}

func TestIsOnTrialOnlyWhileSuspectRuns(t *testing.T) {
	settings := quarantiner.DefaultSettings()
	q := quarantiner.New(settings)
	assert.Assert(t, !q.IsOnTrial(start, 1))
	q.RecordLocalCrash(start, []uint64{1, 2})
	assert.Assert(t, !q.IsOnTrial(start, 1), "no copy has been allowed to run yet")
	assert.Equal(t, q.Decide(start.Add(1), 1), quarantiner.Suspect)
	assert.Assert(t, q.IsOnTrial(start.Add(2), 1))
	assert.Assert(t, !q.IsOnTrial(start.Add(2), 2))
	assert.Assert(t, !q.IsOnTrial(start.Add(1+settings.TrialTimeout), 1))
	q.RecordCompletion(start.Add(3), 1)
	assert.Assert(t, !q.IsOnTrial(start.Add(4), 1))
}

// TestCrashReportedByTwoInstancesCountsOnce checks that one crash is counted against a
// request that two instances were running on an endpoint when it crashed, and that a crash
// of a second endpoint is counted as another.
func TestCrashReportedByTwoInstancesCountsOnce(t *testing.T) {
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
