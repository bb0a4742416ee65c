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

// TestPrefixIndexMatchesNaiveSets checks the index against a set of holders per prefix,
// with random positions guessed for its entries.
func TestPrefixIndexMatchesNaiveSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxLen := rapid.IntRange(1, 12).Draw(t, "most")
		index, naive := newIndex(maxLen), map[uint64]map[*trackedEndpoint]bool{}
		endpoints := []*trackedEndpoint{newTrackedEndpoint("x"), newTrackedEndpoint("y"), newTrackedEndpoint("z")}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			hash := rapid.Uint64Range(1, 16).Draw(t, "hash")
			e := rapid.SampledFrom(endpoints).Draw(t, "engine")
			if naive[hash] == nil {
				naive[hash] = map[*trackedEndpoint]bool{}
			}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				index.removeHolder(hash, e)
				delete(naive[hash], e)
			case 1:
				e.cacheEpoch++
				for _, holders := range naive {
					delete(holders, e)
				}
			default:
				guessedPosition := rapid.IntRange(0, maxLen).Draw(t, "guess")
				position, alreadyHeld := index.recordHolder(hash, e, guessedPosition)
				assert.Assert(t, index.entries[position].hash == hash && (!alreadyHeld || naive[hash][e]))
				naive[hash][e] = true
			}
			assert.Assert(t, len(index.entries) <= maxLen && len(index.byHash) <= maxLen)
		}
		for hash, holders := range naive {
			found := index.find(hash)
			heldCount := 0
			for i := 0; found != nil && i < int(found.holderCount); i++ {
				if h := found.holders[i]; h.isValid() {
					heldCount++
					assert.Assert(t, holders[h.endpoint], "prefix %d: %s doesn't hold it", hash, h.endpoint.Name)
				}
			}
			assert.Assert(t, heldCount == len(holders) || len(naive) > maxLen, "prefix %d: holders lost", hash)
		}
	})
}

// TestRequestHistoryMatchesNaiveList checks look-ups of past counts against a complete
// list of the changes.
func TestRequestHistoryMatchesNaiveList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h requestHistory
		naive := make([]historySample, 0, maxHistorySamples)
		now := startTime
		for range rapid.IntRange(0, maxHistorySamples-1).Draw(t, "changes") {
			now = now.Add(minHistoryInterval * time.Duration(rapid.IntRange(1, 9).Draw(t, "step")))
			requests := rapid.IntRange(0, 9).Draw(t, "running")
			h.record(now, requests, 0)
			naive = append(naive, historySample{since: now, requests: requests})
		}
		past := startTime.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "past")) * time.Millisecond)
		want := 0
		for _, m := range naive {
			if !m.since.After(past) {
				want = m.requests
			}
		}
		assert.Equal(t, h.at(past).requests, want)
	})
}

// TestMedianOfOthersMatchesNaiveMedian checks the median without one value against a
// copy of the values with that one removed.
func TestMedianOfOthersMatchesNaiveMedian(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Float64Range(0.01, 1), 3, 30).Draw(t, "values")
		slices.Sort(values)
		excludedIndex := rapid.IntRange(0, len(values)-1).Draw(t, "own")
		others := slices.Delete(slices.Clone(values), excludedIndex, excludedIndex+1)
		g := group{endpoints: make([]*trackedEndpoint, len(values)), sortedIntervals: values}
		median, known := g.medianOfOthers(values[excludedIndex])
		assert.Assert(t, known && median == others[len(others)/2])
	})
}

// TestLoadReportExcludesLocalRequests checks that the local requests at the time of a
// report are subtracted from it, and that repeated and older reports are ignored.
func TestLoadReportExcludesLocalRequests(t *testing.T) {
	b := newTestBalancer(newEndpoints(1, 16))
	for id := range uint64(4) {
		b.RecordStart(startTime, id, "e000", basicRequest)
	}
	later := startTime.Add(3 * time.Second)
	b.RecordStart(later, 9, "e000", basicRequest)
	b.RecordLoad(later, "e000", LoadReport{MeasuredAt: startTime.Add(time.Second), Running: 5, Waiting: 1})
	assert.Equal(t, b.States()[0].RemoteRequests, 2.0)
	b.RecordLoad(later, "e000", LoadReport{MeasuredAt: startTime.Add(time.Second), Running: 16})
	b.RecordLoad(later, "e000", LoadReport{MeasuredAt: startTime, Running: 16})
	assert.Equal(t, b.States()[0].RemoteRequests, 2.0, "a repeated or older report was recorded")
	b.RecordLoad(later, "e000", LoadReport{MeasuredAt: later.Add(time.Hour), Running: 6})
	assert.Equal(t, b.States()[0].RemoteRequests, 1.0)
}

// TestPrefixHolderIsPreferredUpToLoadBound checks that prompts go to endpoints that
// cached their prefix, but never more than the load bound allows.
func TestPrefixHolderIsPreferredUpToLoadBound(t *testing.T) {
	b := newTestBalancer(newEndpoints(20, 16))
	request := basicRequest
	request.Prefixes, request.PromptTokens, request.TotalTokens = []uint64{1, 2, 3, 4}, 4000, 4100
	first, _ := b.Pick(startTime, request, nil)
	counts, cachedPicks := map[string]int{}, 0
	for id := range uint64(40) {
		choice, ok := b.Pick(startTime, request, nil)
		assert.Assert(t, ok)
		b.RecordStart(startTime, id, choice.Endpoint, request)
		counts[choice.Endpoint]++
		if choice.CachedTokens > 0 {
			assert.Equal(t, choice.CachedTokens, 4000)
			cachedPicks++
		}
		mean := float64(id+1) / 20
		assert.Assert(t, counts[choice.Endpoint] <= int(math.Ceil(maxAffinityLoadRatio*(mean+1))), "%v", counts)
	}
	assert.Equal(t, first.CachedTokens, 0)
	assert.Assert(t, cachedPicks >= 20, "only %d picks found a cached prefix", cachedPicks)

	b.RecordCacheEvents(startTime, "e007", nil, request.Prefixes)
	for _, holder := range b.prefixIndex.find(4).recordedHolders() {
		assert.Assert(t, !holder.isValid() || holder.endpoint.Name != "e007")
	}
}

// TestCrashedEndpointRecoversThroughSingleProbe ejects an endpoint by repeated failures
// and checks that it receives only one probe at a time, that retried requests are not
// used for it, and that one probe decides about its return.
func TestCrashedEndpointRecoversThroughSingleProbe(t *testing.T) {
	b := newTestBalancer(newEndpoints(3, 16))
	for id := range uint64(4) {
		b.RecordStart(startTime, id, "e001", basicRequest)
	}
	b.RecordStart(startTime, 8, "e002", basicRequest)
	b.RecordEnd(startTime, 8, Failed)
	assert.Equal(t, b.States()[2].Status, Suspect, "after one failed answer")
	for id := range uint64(4) {
		b.RecordEnd(startTime, id, Failed)
	}
	assert.Equal(t, b.States()[1].Status, Ejected)
	assert.Equal(t, b.NextProbe(), startTime.Add(time.Second))

	probeTime := b.NextProbe().Add(time.Second)
	retry := basicRequest
	retry.TriedEndpoints = []string{"e000"}
	b.RecordEnd(probeTime, 99, Failed)
	probes := map[string]uint64{}
	for id := range uint64(8) {
		choice, ok := b.Pick(probeTime, basicRequest, nil)
		assert.Assert(t, ok)
		b.RecordStart(probeTime, 100+id, choice.Endpoint, basicRequest)
		if choice.Endpoint != "e000" {
			assert.Equal(t, probes[choice.Endpoint], uint64(0), "two probes at once")
			probes[choice.Endpoint] = 100 + id
		}
	}
	assert.Equal(t, len(probes), 2)
	_, ok := b.Pick(probeTime, retry, nil)
	assert.Assert(t, !ok, "a retried request was sent to a suspect endpoint under probe")

	b.RecordProgress(probeTime, probes["e001"], 1)
	assert.Equal(t, b.States()[1].Status, Healthy)
	b.RecordEnd(probeTime, probes["e002"], Failed)
	assert.Equal(t, b.States()[2].Status, Ejected)
	b.RecordEnd(probeTime, probes["e001"], Failed)
	assert.Equal(t, b.States()[1].Status, Suspect, "the cap prevents a second ejection")
}

// TestShrunkGroupReleasesEjectionsOverCap removes all endpoints but an ejected one and
// checks that this one is tried again.
func TestShrunkGroupReleasesEjectionsOverCap(t *testing.T) {
	b := newTestBalancer(newEndpoints(3, 16))
	for id := range uint64(minFailuresToEject) {
		b.RecordStart(startTime, id, "e000", basicRequest)
		b.RecordEnd(startTime, id, Failed)
	}
	assert.Equal(t, b.States()[0].Status, Ejected)
	b.Configure(startTime, newEndpoints(1, 16))
	assert.Equal(t, b.States()[0].Status, Suspect)
	_, ok := b.Pick(startTime, basicRequest, nil)
	assert.Assert(t, ok, "the last endpoint is tried")
}

// TestFailedProbesDoubleEjectionDuration checks that each failed probe doubles the
// ejection, up to 30 seconds.
func TestFailedProbesDoubleEjectionDuration(t *testing.T) {
	b := newTestBalancer(newEndpoints(4, 16))
	request := basicRequest
	request.Prefixes = []uint64{7}
	for id := range uint64(minFailuresToEject) {
		b.RecordStart(startTime, id, "e000", request)
		b.RecordEnd(startTime, id, Failed)
	}
	assert.Assert(t, !b.prefixIndex.find(7).recordedHolders()[0].isValid(), "the cache of a crashed engine is still considered valid")
	now := startTime
	for _, seconds := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		assert.Equal(t, b.NextProbe(), now.Add(seconds*time.Second))
		now = b.NextProbe()
		choice, _ := b.Pick(now, basicRequest, nil)
		assert.Equal(t, choice.Endpoint, "e000", "the probe")
		b.RecordStart(now, 9, "e000", basicRequest)
		b.RecordEnd(now, 9, Failed)
	}
}

// TestSilentEndpointIsEjectedUntilTokensResume checks that an endpoint whose stream
// stalls is ejected, and restored once its tokens arrive at full speed.
func TestSilentEndpointIsEjectedUntilTokensResume(t *testing.T) {
	b := newTestBalancer(newEndpoints(4, 16))
	now := startTime
	for id := range uint64(4) {
		b.RecordStart(now, id, fmt.Sprintf("e%03d", id), basicRequest)
		b.RecordProgress(now, id, 1)
	}
	for receivedTokens := range 100 {
		now = now.Add(20 * time.Millisecond)
		for id := range uint64(3) {
			b.RecordProgress(now, id, receivedTokens+2)
		}
	}
	states := b.States()
	assert.Equal(t, states[3].Status, Ejected)
	assert.Equal(t, states[3].ProbeDueAt.Sub(startTime) < 6*time.Second, true)
	for _, state := range states[:3] {
		assert.Equal(t, state.Status, Healthy)
	}
	b.RecordProgress(now.Add(time.Second), 3, 60)
	b.RecordProgress(now.Add(2*time.Second), 3, 120)
	assert.Equal(t, b.States()[3].Status, Healthy, "its stream continues at full speed")
}

// TestIsolatedRequestExcludesOtherRequests checks that an isolated request goes to an
// endpoint without requests, which then receives no other until it ends.
func TestIsolatedRequestExcludesOtherRequests(t *testing.T) {
	b := newTestBalancer(newEndpoints(2, 16))
	b.RecordStart(startTime, 1, "e000", basicRequest)
	isolatedRequest := basicRequest
	isolatedRequest.Isolated = true
	choice, _ := b.Pick(startTime, isolatedRequest, nil)
	assert.Equal(t, choice.Endpoint, "e001")
	b.RecordStart(startTime, 2, "e001", isolatedRequest)
	for id := range uint64(9) {
		choice, _ = b.Pick(startTime, basicRequest, nil)
		assert.Equal(t, choice.Endpoint, "e000")
		b.RecordStart(startTime, 10+id, choice.Endpoint, basicRequest)
	}
	b.RecordEnd(startTime, 2, Finished)
	choice, _ = b.Pick(startTime, basicRequest, nil)
	assert.Equal(t, choice.Endpoint, "e001")
}

// TestSlowEndpointConcurrencyLimitFallsAndRecovers checks that the limit of an endpoint
// slower than the target falls, that it holds back requests even where capacity is
// granted, and that it rises again.
func TestSlowEndpointConcurrencyLimitFallsAndRecovers(t *testing.T) {
	b := newTestBalancer(newEndpoints(1, 16))
	now := startTime
	for id := range uint64(16) {
		b.RecordStart(now, id, "e000", basicRequest)
	}
	for receivedTokens := range 40 {
		now = now.Add(60 * time.Millisecond)
		for id := range uint64(16) {
			b.RecordProgress(now, id, receivedTokens+1)
		}
	}
	assert.Assert(t, b.States()[0].ConcurrencyLimit < 16, "%+v", b.States()[0])
	assert.Assert(t, b.States()[0].ConcurrencyLimit >= 4)
	b.RecordEnd(now, 0, Finished)
	alwaysHasCapacity := func(string, int, int) bool { return true }
	_, ok := b.Pick(now, basicRequest, alwaysHasCapacity)
	assert.Assert(t, !ok, "a request was placed over the limit")
	for id := range uint64(16) {
		b.RecordEnd(now, id, Finished)
	}
	for range 20 {
		now = now.Add(time.Second)
		_, ok = b.Pick(now, basicRequest, alwaysHasCapacity)
		assert.Assert(t, ok)
	}
	assert.Equal(t, b.States()[0].ConcurrencyLimit, 16, "the limit rises again")
}

// BenchmarkDecision measures Pick, RecordStart and RecordEnd for one request by the
// number of endpoints.
func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{60, 600, 6000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			endpoints := newEndpoints(count, 32)
			for i := range endpoints {
				endpoints[i].DataCentre = []string{"a", "b", "c"}[i%3]
			}
			balancer := newTestBalancer(endpoints)
			prefixes := make([]uint64, 16)
			request := basicRequest
			now, id := startTime, uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now = now.Add(50 * time.Microsecond)
				for i := range prefixes {
					prefixes[i] = (id%1000)<<8 | uint64(i)
				}
				request.Prefixes = prefixes
				choice, _ := balancer.Pick(now, request, nil)
				balancer.RecordStart(now, id, choice.Endpoint, request)
				balancer.RecordEnd(now, id-min(id, 400), Finished)
			}
		})
	}
}
