package journaler_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/journaler"
)

// Times of the simulated store, endpoint and load.
const (
	storeRTT        = 5 * time.Millisecond
	callRunTime     = 30 * time.Millisecond
	arrivalDuration = 7 * time.Second
	// warmUpDuration is the time at the start of a run that is not measured.
	warmUpDuration = 4 * time.Second
)

// loadRun simulates a constant mean rate of calls to several instances with one
// store, in virtual time. Calls arrive independently of how long earlier ones take.
type loadRun struct {
	*simulation
	events            []scheduledEvent
	forwardDelays     []time.Duration
	arrivalTimes      []time.Time
	reads             int
	writes            int
	conflicts         int
	largestWriteBytes int
}

// scheduledEvent is a function that runs at a time of the simulation.
type scheduledEvent struct {
	at  time.Time
	run func()
}

// isMeasuring reports whether the warm-up is over.
func (l *loadRun) isMeasuring() bool {
	return l.now.Sub(startTime) > warmUpDuration
}

// countIfMeasuring increments the counter once the warm-up is over.
func (l *loadRun) countIfMeasuring(counter *int) {
	if l.isMeasuring() {
		*counter++
	}
}

// schedule adds an event after the given delay. Events at the same time run in the
// order in which they were added.
func (l *loadRun) schedule(delay time.Duration, run func()) {
	newEvent := scheduledEvent{at: l.now.Add(delay), run: run}
	position, _ := slices.BinarySearchFunc(l.events, newEvent, func(a, b scheduledEvent) int { return cmp.Or(a.at.Compare(b.at), -1) })
	l.events = slices.Insert(l.events, position, newEvent)
}

// scheduleActions schedules the results of the actions of an instance, and its next
// Tick.
func (l *loadRun) scheduleActions(inst *instance, actions []journaler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case journaler.Read:
			l.countIfMeasuring(&l.reads)
			l.schedule(storeRTT/2, func() {
				object := l.objects[a.Shard]
				l.schedule(storeRTT/2, func() { l.scheduleActions(inst, inst.OnRead(l.now, a.Shard, object.version, object.data)) })
			})
		case journaler.Write:
			l.countIfMeasuring(&l.writes)
			l.largestWriteBytes = max(l.largestWriteBytes, len(a.Contents))
			l.schedule(storeRTT/2, func() { l.answerWrite(inst, a, l.putIfVersion(a), l.lastVersion) })
		case journaler.Forward:
			if l.isMeasuring() {
				l.forwardDelays = append(l.forwardDelays, l.now.Sub(l.arrivalTimes[a.ID]))
			}
			l.schedule(callRunTime, func() {
				l.scheduleActions(inst, inst.Finish(l.now, a.ID, journaler.Result{State: journaler.Done, Status: 200, Body: []byte(`{"ok":true}`)}))
			})
		}
	}
	if next := inst.NextTick(); !next.IsZero() {
		l.schedule(max(next.Sub(l.now), 0), func() {
			if due := inst.NextTick(); !due.IsZero() && !l.now.Before(due) {
				l.scheduleActions(inst, inst.Tick(l.now))
			}
		})
	}
}

// answerWrite schedules the answer of the store to a write.
func (l *loadRun) answerWrite(inst *instance, action journaler.Write, tookEffect bool, version uint64) {
	l.schedule(storeRTT/2, func() {
		if tookEffect {
			l.scheduleActions(inst, inst.OnWritten(l.now, action.Shard, version))
			return
		}
		l.countIfMeasuring(&l.conflicts)
		l.scheduleActions(inst, inst.OnWriteConflict(l.now, action.Shard))
	})
}

// simulateLoad runs calls at the given rate per instance until all have ended.
// Arrivals are random with exponentially distributed intervals and a fixed seed.
func simulateLoad(t testing.TB, settings journaler.Settings, instanceCount int, callsPerSecond float64) *loadRun {
	l := &loadRun{simulation: newSimulation(t, settings, instanceCount, 0)}
	random := rand.New(rand.NewPCG(1, 2))
	for _, inst := range l.instances {
		for arrival := time.Duration(0); arrival < arrivalDuration; arrival += time.Duration(random.ExpFloat64() / callsPerSecond * float64(time.Second)) {
			l.schedule(arrival, func() {
				id := uint64(len(l.arrivalTimes))
				l.arrivalTimes = append(l.arrivalTimes, l.now)
				call := journaler.Call{ID: id, Key: inst.newToken(), FirstAttemptTime: l.now, Fingerprint: "f"}
				l.scheduleActions(inst, inst.Begin(l.now, call))
			})
		}
	}
	for len(l.events) > 0 {
		next := l.events[0]
		l.events = l.events[1:]
		l.now = next.at
		next.run()
	}
	for _, inst := range l.instances {
		assert.Assert(t, inst.NextTick().IsZero(), "an instance still has operations scheduled")
	}
	slices.Sort(l.forwardDelays)
	return l
}

// loadCase is a combination of settings and load.
type loadCase struct {
	name                             string
	instances                        int
	callsPerSecond, maxUnbatchedRate float64
	maxBatchDelay                    time.Duration
	targetWritesPerCall              float64
	shardsPerEpoch                   int
	epochDuration                    time.Duration
}

// loadResults are the results of a run: store operations per call, delays until a
// call is forwarded in round trips to the store, and the largest write in
// kilobytes.
type loadResults struct{ writesPerCall, readsPerCall, conflictsPerCall, medianDelay, p99Delay, largestWriteKB float64 }

// run simulates the load and returns its results.
func (c loadCase) run(t testing.TB) loadResults {
	settings := journaler.DefaultSettings()
	settings.MaxUnbatchedRate, settings.MaxBatchDelay, settings.TargetWritesPerCall, settings.ShardsPerEpoch = c.maxUnbatchedRate, c.maxBatchDelay, c.targetWritesPerCall, c.shardsPerEpoch
	settings.EpochDuration = c.epochDuration
	l := simulateLoad(t, settings, c.instances, c.callsPerSecond)
	callCount := float64(len(l.forwardDelays))
	delayAt := func(q float64) float64 { return float64(l.forwardDelays[int(q*callCount)]) / float64(storeRTT) }
	return loadResults{float64(l.writes) / callCount, float64(l.reads) / callCount, float64(l.conflicts) / callCount, delayAt(0.5), delayAt(0.99), float64(l.largestWriteBytes) / 1000}
}

var (
	defaults = journaler.DefaultSettings()
	highRate = loadCase{"default, 50 calls/s", 7, 50, defaults.MaxUnbatchedRate, defaults.MaxBatchDelay, defaults.TargetWritesPerCall, defaults.ShardsPerEpoch, defaults.EpochDuration}
	lowRate  = loadCase{"default, 5 calls/s", 7, 5, defaults.MaxUnbatchedRate, defaults.MaxBatchDelay, defaults.TargetWritesPerCall, defaults.ShardsPerEpoch, defaults.EpochDuration}
)

// TestHighRateLimitsWritesAndLowRateLimitsDelay checks that calls share writes at a
// high rate, and that at a low rate half of the calls are forwarded within two
// round trips to the store.
func TestHighRateLimitsWritesAndLowRateLimitsDelay(t *testing.T) {
	high := highRate.run(t)
	assert.Assert(t, high.writesPerCall <= 0.2, "%+v", high)
	low := lowRate.run(t)
	assert.Assert(t, low.medianDelay <= 2, "%+v", low)
}

// BenchmarkStoreOperationsAndDelay reports, for several settings, the store
// operations per call and the delay that batching adds.
func BenchmarkStoreOperationsAndDelay(b *testing.B) {
	for _, c := range []loadCase{
		highRate,
		lowRate,
		{"no batching, 50 calls/s", 7, 50, 1e9, 0, 1, 1, defaults.EpochDuration},
		{"half the batching delay, 50 calls/s", 7, 50, 10, 75 * time.Millisecond, 0.3, 1, defaults.EpochDuration},
		{"two shards, 50 calls/s", 7, 50, 10, defaults.MaxBatchDelay, defaults.TargetWritesPerCall, 2, defaults.EpochDuration},
		{"twice the epoch duration, 50 calls/s", 7, 50, 10, defaults.MaxBatchDelay, defaults.TargetWritesPerCall, 1, 2 * defaults.EpochDuration},
		{"half the epoch duration, 50 calls/s", 7, 50, 10, defaults.MaxBatchDelay, defaults.TargetWritesPerCall, 1, defaults.EpochDuration / 2},
		{"one instance, 350 calls/s", 1, 350, 10, defaults.MaxBatchDelay, 0.2, 1, defaults.EpochDuration},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				results := c.run(b)
				b.ReportMetric(results.writesPerCall, "writes/call")
				b.ReportMetric(results.readsPerCall, "reads/call")
				b.ReportMetric(results.conflictsPerCall, "conflicts/call")
				b.ReportMetric(results.medianDelay, "trips-median")
				b.ReportMetric(results.p99Delay, "trips-p99")
				b.ReportMetric(results.largestWriteKB, "largest-KB")
			}
		})
	}
}
