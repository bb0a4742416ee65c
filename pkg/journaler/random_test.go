package journaler_test

import (
	"flag"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/journaler"
)

// The seed and the number of checks are fixed, so that each run makes the same
// checks.
func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "3000")
}

// TestRandomFaultsKeepGuarantees checks the guarantees with more instances, keys,
// attempts and faults than can be explored exhaustively, stale reads included.
func TestRandomFaultsKeepGuarantees(t *testing.T) {
	answerCounts := map[string]int{}
	rapid.Check(t, func(r *rapid.T) {
		settings := journaler.DefaultSettings()
		settings.MaxShardBytes = rapid.SampledFrom([]int{1 << 10, 1 << 19}).Draw(r, "max shard bytes")
		settings.MaxUnbatchedRate = rapid.SampledFrom([]float64{0, 10}).Draw(r, "max unbatched rate")
		settings.MaxCachedShards = rapid.IntRange(1, 4).Draw(r, "max cached shards")
		statesAttempt := rapid.Bool().Draw(r, "states attempts")
		lastAttempt := map[string]int{}
		attemptCount := rapid.IntRange(2, 9).Draw(r, "attempts")
		attempts := make([]*callerAttempt, 0, attemptCount)
		for id := range attemptCount {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "key")
			lastAttempt[key]++
			call := journaler.Call{ID: uint64(id), Workspace: "w", Key: key, Fingerprint: "f", FirstAttemptTime: startTime}
			if statesAttempt && rapid.IntRange(0, 4).Draw(r, "states this attempt") > 0 {
				call.Attempt = lastAttempt[key]
			}
			attempts = append(attempts, &callerAttempt{instanceIndex: rapid.IntRange(0, 2).Draw(r, "instance"), call: call})
		}
		s := newSimulation(r, settings, 3, rapid.IntRange(0, 8).Draw(r, "faults"), attempts...)
		for range rapid.IntRange(10, 80).Draw(r, "steps") {
			if steps := s.possibleSteps(); len(steps) > 0 {
				steps[rapid.IntRange(0, len(steps)-1).Draw(r, "step index")].run()
				s.verifyGuarantees()
			}
		}
		runWithoutFaults(r, s)
		for _, attempt := range s.attempts {
			answerCounts[strings.SplitN(attempt.answer+" ", " ", 2)[0]]++
		}
	})
	for _, answer := range []string{"", "replay", "unknown", "not-run"} {
		assert.Assert(t, answerCounts[answer] > 0, "no attempt was answered %q", answer)
	}
}

// referenceJournal is a simple implementation of the journal as a map with one
// record per key, for comparison.
type referenceJournal map[string]*referenceRecord

// referenceRecord is what the reference journal stores for a key.
type referenceRecord struct {
	fingerprint      string
	firstAttemptTime time.Time
	attemptNumber    int
	state            journaler.CallState
	// latestRefusedAttempt is the highest attempt number that was not run.
	latestRefusedAttempt int
}

// begin returns the beginning of the answer that a call must get, or "" if the call
// must be forwarded.
func (journal referenceJournal) begin(now time.Time, keyTTL time.Duration, call journaler.Call) string {
	record := journal[call.Key]
	switch {
	case now.Sub(call.FirstAttemptTime) > keyTTL:
		return "unknown"
	case record == nil:
		journal[call.Key] = &referenceRecord{fingerprint: call.Fingerprint, firstAttemptTime: call.FirstAttemptTime, attemptNumber: call.Attempt}
		return ""
	case record.fingerprint != call.Fingerprint:
		return "not-run key-reused"
	case record.state == journaler.Done:
		return "replay " + call.Key
	case record.state == journaler.NotRun && record.attemptNumber > 0 && call.Attempt > record.attemptNumber:
		*record = referenceRecord{fingerprint: call.Fingerprint, firstAttemptTime: call.FirstAttemptTime, attemptNumber: call.Attempt, latestRefusedAttempt: record.attemptNumber}
		return ""
	case record.state == journaler.NotRun && (record.attemptNumber == 0 || call.Attempt > 0):
		return "not-run refused"
	default:
		return "unknown"
	}
}

// TestAnswersMatchReferenceJournalWithoutFaults compares the answers of the
// journaler with those of the reference journal, with epochs so long that shard
// names repeat soon.
func TestAnswersMatchReferenceJournalWithoutFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		settings := journaler.DefaultSettings()
		settings.EpochDuration = 10 * time.Minute
		s := newSimulation(r, settings, 3, 0)
		reference := referenceJournal{}
		firstAttemptTimes := map[string]time.Time{}
		for range rapid.IntRange(1, 30).Draw(r, "steps") {
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0:
				s.now = s.now.Add(25 * time.Minute)
			case 1, 2, 3:
				finishOneCall(r, s, reference)
			default:
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(r, "key")
				if firstAttemptTimes[key].IsZero() {
					firstAttemptTimes[key] = s.now
				}
				call := journaler.Call{
					ID: uint64(len(s.attempts)), Key: key, FirstAttemptTime: firstAttemptTimes[key],
					Fingerprint: rapid.SampledFrom([]string{"f", "f", "f", "g"}).Draw(r, "fingerprint"),
					Attempt:     rapid.IntRange(0, 3).Draw(r, "attempt"),
				}
				attempt := &callerAttempt{call: call, instanceIndex: rapid.IntRange(0, 2).Draw(r, "instance")}
				s.attempts = append(s.attempts, attempt)
				expected := reference.begin(s.now, settings.KeyTTL, call)
				for attempt.answer == "" && !attempt.forwarded {
					runNextStep(s)
				}
				assert.Equal(r, attempt.forwarded, expected == "")
				// An attempt whose number is not above that of a refused one
				// may be answered "not run", whatever became of later attempts.
				refusedBefore := call.Attempt > 0 && call.Attempt <= reference[key].latestRefusedAttempt && attempt.answer == "not-run refused"
				assert.Assert(r, refusedBefore || strings.HasPrefix(attempt.answer, expected), "%s instead of %s", attempt.answer, expected)
			}
		}
	})
}

// runNextStep runs the first possible step that does not give a forwarded call its
// result. If there is none, it advances the time and runs Tick for the instance
// that is due first.
func runNextStep(s *simulation) {
	for _, step := range s.possibleSteps() {
		if step.name != "done" && step.name != "refused" && !strings.HasPrefix(step.name, "tick") {
			step.run()
			return
		}
	}
	var next *instance
	nextTime := func(inst *instance) time.Time { return inst.NextTick().Add(-inst.clockSkew) }
	for _, inst := range s.instances {
		if !inst.NextTick().IsZero() && (next == nil || nextTime(inst).Before(nextTime(next))) {
			next = inst
		}
	}
	if tickTime := nextTime(next); tickTime.After(s.now) {
		s.now = tickTime
	}
	s.apply(next, "t", next.Tick(s.time(next)))
}

// finishOneCall gives one forwarded call a random result, records it in the
// reference journal, and runs the simulation until nothing is in progress.
func finishOneCall(r *rapid.T, s *simulation, reference referenceJournal) {
	for _, inst := range s.instances {
		if len(inst.forwardedIDs) == 0 {
			continue
		}
		id := inst.forwardedIDs[0]
		inst.forwardedIDs = inst.forwardedIDs[1:]
		state := rapid.SampledFrom([]journaler.CallState{journaler.Done, journaler.NotRun, journaler.Uncertain}).Draw(r, "state")
		key := s.attempts[id].call.Key
		s.apply(inst, "f", inst.Finish(s.time(inst), id, journaler.Result{State: state, Body: []byte(key)}))
		reference[key].state = state
		for s.hasPendingWork() {
			runNextStep(s)
		}
		return
	}
}

// hasPendingWork reports whether any instance has a store operation in flight or a
// scheduled Tick.
func (s *simulation) hasPendingWork() bool {
	for _, inst := range s.instances {
		if len(inst.pendingOperations) > 0 || !inst.NextTick().IsZero() {
			return true
		}
	}
	return false
}
