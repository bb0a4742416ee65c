package journaler_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/journaler"
)

// startTime is the time at which each simulation starts.
var startTime = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// storedObject is an object in the simulated store.
type storedObject struct {
	version uint64
	data    []byte
}

// callerAttempt is one attempt of a caller, and what became of it.
type callerAttempt struct {
	call          journaler.Call
	instanceIndex int
	begun         bool
	forwarded     bool
	// ran reports whether the endpoint ran the call. A call that was forwarded by
	// an instance that then crashed counts as run.
	ran bool
	// answer is the answer that the caller got, such as "not-run limited" or "replay k";
	// empty while it has no answer.
	answer string
}

// instance is a simulated instance with its own clock.
type instance struct {
	*journaler.Journaler
	index      int
	clockSkew  time.Duration
	tokenCount int
	// pendingOperations are the store operations without an answer.
	pendingOperations []journaler.Action
	// forwardedIDs are the forwarded calls without a result.
	forwardedIDs []uint64
	// historyHash is a hash of all inputs of the instance, which determine its
	// state.
	historyHash uint64
	crashed     bool
}

// newToken returns a token that is unique in the simulation, and the same in each
// run.
func (inst *instance) newToken() string {
	inst.tokenCount++
	return fmt.Sprintf("%d/%d", inst.index, inst.tokenCount)
}

// simulation is a set of instances, a store that fails, and the attempts of
// callers. At each point it offers the steps that can come next, and the test
// chooses one.
type simulation struct {
	t           testReporter
	settings    journaler.Settings
	now         time.Time
	lastVersion uint64
	objects     map[string]storedObject
	// previousObjects holds the previous version of each object, which a stale
	// read returns.
	previousObjects map[string]storedObject
	// delayedWrites are writes whose answer was lost and that may still take
	// effect.
	delayedWrites []journaler.Write
	instances     []*instance
	attempts      []*callerAttempt
	// faultsLeft is the number of faults that may still occur.
	faultsLeft int
	// noStaleReads excludes stale reads, which the random tests cover.
	noStaleReads bool
}

// testReporter is a *testing.T, *testing.B or *rapid.T.
type testReporter interface {
	assert.TestingT
	Fatalf(format string, arguments ...any)
}

// possibleStep is an event that can come next; run makes it happen.
type possibleStep struct {
	name string
	run  func()
}

// newSimulation returns a simulation of instanceCount instances, whose clocks
// differ by 7 s each, with at most maxFaults faults.
func newSimulation(t testReporter, settings journaler.Settings, instanceCount, maxFaults int, attempts ...*callerAttempt) *simulation {
	s := &simulation{t: t, settings: settings, now: startTime, objects: map[string]storedObject{}, previousObjects: map[string]storedObject{}, faultsLeft: maxFaults, attempts: attempts}
	for index := range instanceCount {
		inst := &instance{index: index, clockSkew: time.Duration(index) * 7 * time.Second}
		inst.Journaler = journaler.New(settings, fmt.Sprint(index), inst.newToken)
		s.instances = append(s.instances, inst)
	}
	return s
}

// clone returns a deep copy, so that both can continue independently.
func (s *simulation) clone() *simulation {
	copied := *s
	copied.objects, copied.previousObjects = maps.Clone(s.objects), maps.Clone(s.previousObjects)
	copied.delayedWrites = slices.Clone(s.delayedWrites)
	copied.instances, copied.attempts = nil, nil
	for _, inst := range s.instances {
		other := *inst
		other.pendingOperations, other.forwardedIDs = slices.Clone(inst.pendingOperations), slices.Clone(inst.forwardedIDs)
		other.Journaler = inst.Clone(other.newToken)
		copied.instances = append(copied.instances, &other)
	}
	for _, attempt := range s.attempts {
		other := *attempt
		copied.attempts = append(copied.attempts, &other)
	}
	return &copied
}

// time returns the time by the clock of an instance.
func (s *simulation) time(inst *instance) time.Time { return s.now.Add(inst.clockSkew) }

// apply carries out the actions of an instance after an event, and adds the event
// to the history of the instance.
func (s *simulation) apply(inst *instance, event string, actions []journaler.Action) {
	hash := fnv.New64a()
	fmt.Fprint(hash, inst.historyHash, event, s.now.Sub(startTime))
	inst.historyHash = hash.Sum64()
	for _, action := range actions {
		switch a := action.(type) {
		case journaler.Read, journaler.Write:
			inst.pendingOperations = append(inst.pendingOperations, a)
		case journaler.Forward:
			assert.Assert(s.t, !s.attempts[a.ID].forwarded && s.attempts[a.ID].answer == "" && s.time(inst).Before(a.SendDeadline))
			s.attempts[a.ID].forwarded = true
			inst.forwardedIDs = append(inst.forwardedIDs, a.ID)
		case journaler.Replay:
			s.recordAnswer(a.ID, "replay "+s.replayedBody(a))
		case journaler.Refuse:
			s.recordAnswer(a.ID, answerer.Lookup(a.Error.Kind).Outcome.String()+" "+a.Error.Kind.String())
		}
	}
}

// recordAnswer records the answer of an attempt, which must be its only one.
func (s *simulation) recordAnswer(id uint64, text string) {
	assert.Equal(s.t, s.attempts[id].answer, "")
	assert.Assert(s.t, !s.attempts[id].forwarded)
	s.attempts[id].answer = text
}

// replayedBody returns the replayed body. For an omitted body it returns the key of
// the call, which is the body that was recorded, if the digest matches.
func (s *simulation) replayedBody(a journaler.Replay) string {
	key := s.attempts[a.ID].call.Key
	if a.Result.BodyOmitted && a.Result.BodyDigest == fmt.Sprintf("%x", sha256.Sum256([]byte(key))) {
		return key
	}
	return string(a.Result.Body)
}

// putIfVersion carries out a conditional write and reports whether it took effect.
func (s *simulation) putIfVersion(a journaler.Write) bool {
	if s.objects[a.Shard].version != a.ExpectedVersion {
		return false
	}
	s.lastVersion++
	s.previousObjects[a.Shard] = s.objects[a.Shard]
	s.objects[a.Shard] = storedObject{version: s.lastVersion, data: a.Contents}
	return true
}

// possibleSteps returns all steps that can come next: "begin" and "abandon" for an
// attempt, "land" for a delayed write that is carried out now, and the steps that
// addStoreSteps, addResultSteps and addTickAndCrashSteps add. Steps that are faults
// are only offered while faultsLeft is not zero.
func (s *simulation) possibleSteps() []possibleStep {
	var steps []possibleStep
	add := func(name string, isFault bool, run func()) {
		if !isFault {
			steps = append(steps, possibleStep{name: name, run: run})
		} else if s.faultsLeft > 0 {
			steps = append(steps, possibleStep{name: name, run: func() { s.faultsLeft--; run() }})
		}
	}
	for id, attempt := range s.attempts {
		inst := s.instances[attempt.instanceIndex]
		switch {
		case inst.crashed:
		case !attempt.begun:
			add("begin", false, func() {
				attempt.begun = true
				s.apply(inst, fmt.Sprint("b", id), inst.Begin(s.time(inst), attempt.call))
			})
		case !attempt.forwarded && attempt.answer == "":
			add("abandon", true, func() {
				attempt.answer = "abandoned"
				s.apply(inst, fmt.Sprint("a", id), inst.Abandon(s.time(inst), uint64(id)))
			})
		}
	}
	for k, delayed := range s.delayedWrites {
		add("land", false, func() {
			s.delayedWrites = append(s.delayedWrites[:k:k], s.delayedWrites[k+1:]...)
			s.putIfVersion(delayed)
		})
	}
	for index, inst := range s.instances {
		if !inst.crashed {
			s.addStoreSteps(inst, add)
			s.addResultSteps(inst, add)
			s.addTickAndCrashSteps(index, inst, add)
		}
	}
	return steps
}

// addStoreSteps adds the possible answers of the store: to a read "read", "stale"
// and "unread" (the read failed); to a write "write" (it took effect or
// conflicted), "down" (it failed without effect), "lost" (it took effect, its
// answer was lost) and "late" (its answer was lost and it may take effect later).
func (s *simulation) addStoreSteps(i *instance, add func(string, bool, func())) {
	for k, operation := range i.pendingOperations {
		pop := func() { i.pendingOperations = append(i.pendingOperations[:k:k], i.pendingOperations[k+1:]...) }
		switch a := operation.(type) {
		case journaler.Read:
			read := func(o storedObject) func() {
				return func() { pop(); s.apply(i, fmt.Sprint("r", o.version), i.OnRead(s.time(i), a.Shard, o.version, o.data)) }
			}
			add("read", false, read(s.objects[a.Shard]))
			if !s.noStaleReads {
				add("stale", true, read(s.previousObjects[a.Shard]))
			}
			add("unread", true, func() { pop(); s.apply(i, "u", i.OnReadFailed(s.time(i), a.Shard)) })
		case journaler.Write:
			fail := func(event string, inDoubt bool) {
				pop()
				s.apply(i, event, i.OnWriteFailed(s.time(i), a.Shard, inDoubt))
			}
			add("write", false, func() {
				if pop(); s.putIfVersion(a) {
					s.apply(i, fmt.Sprint("w", s.lastVersion), i.OnWritten(s.time(i), a.Shard, s.lastVersion))
					return
				}
				s.apply(i, "c", i.OnWriteConflict(s.time(i), a.Shard))
			})
			add("down", true, func() { fail("d", false) })
			add("lost", true, func() { s.putIfVersion(a); fail("l", true) })
			add("late", true, func() { s.delayedWrites = append(s.delayedWrites, a); fail("l", true) })
		}
	}
}

// addResultSteps adds the possible results of a forwarded call: "done", "refused"
// by the endpoint without having run, and "cut" (it ran, its answer was lost).
func (s *simulation) addResultSteps(inst *instance, add func(string, bool, func())) {
	for k, id := range inst.forwardedIDs {
		finish := func(state journaler.CallState, ran bool) func() {
			return func() {
				inst.forwardedIDs = append(inst.forwardedIDs[:k:k], inst.forwardedIDs[k+1:]...)
				s.attempts[id].ran = ran
				result := journaler.Result{State: state, Status: 200, Body: []byte(s.attempts[id].call.Key)}
				s.apply(inst, fmt.Sprint("f", state), inst.Finish(s.time(inst), id, result))
			}
		}
		add("done", false, finish(journaler.Done, true))
		add("refused", false, finish(journaler.NotRun, false))
		add("cut", true, finish(journaler.Uncertain, true))
	}
}

// addTickAndCrashSteps adds "tick" and "crash", with the index of the instance
// appended. A tick advances the time to the next one due; it counts as a fault
// while operations or calls are in flight.
func (s *simulation) addTickAndCrashSteps(index int, inst *instance, add func(string, bool, func())) {
	if next := inst.NextTick(); !next.IsZero() {
		add(fmt.Sprint("tick", index), len(inst.pendingOperations)+len(inst.forwardedIDs) > 0, func() {
			if nextTime := next.Add(-inst.clockSkew); nextTime.After(s.now) {
				s.now = nextTime
			}
			s.apply(inst, "t", inst.Tick(s.time(inst)))
		})
	}
	add(fmt.Sprint("crash", index), true, func() {
		inst.crashed = true
		for _, id := range inst.forwardedIDs {
			s.attempts[id].ran = true
		}
	})
}

// verifyGuarantees checks that a key has run at most once, that a replay follows
// exactly one run, and that an attempt answered "not run" has not run, nor has any
// earlier attempt of its key.
func (s *simulation) verifyGuarantees() {
	runsByKey := map[string]int{}
	for _, attempt := range s.attempts {
		if attempt.ran {
			runsByKey[attempt.call.Key]++
		}
	}
	for _, attempt := range s.attempts {
		key := attempt.call.Key
		if runsByKey[key] > 1 {
			s.t.Fatalf("key %s ran %d times", key, runsByKey[key])
		}
		if strings.HasPrefix(attempt.answer, "replay") && (runsByKey[key] != 1 || attempt.answer != "replay "+key) {
			s.t.Fatalf("%s after %d runs", attempt.answer, runsByKey[key])
		}
		if !strings.HasPrefix(attempt.answer, "not-run") || strings.HasSuffix(attempt.answer, "key-reused") {
			continue
		}
		for _, other := range s.attempts {
			// An attempt with number 1 states that all others are later.
			isLater := attempt.call.Attempt == 1 || attempt.call.Attempt > 0 && other.call.Attempt > attempt.call.Attempt
			isLater = isLater && other != attempt
			sameRequest := other.call.Key == key && other.call.Fingerprint == attempt.call.Fingerprint
			if sameRequest && other.ran && !isLater {
				s.t.Fatalf("answer %q is wrong: attempt %d ran", attempt.answer, other.call.ID)
			}
		}
	}
}

// stateKey returns a string that is equal for equal states. It uses the history of
// each instance, which determines its state.
func (s *simulation) stateKey() string {
	var buffer bytes.Buffer
	for _, inst := range s.instances {
		fmt.Fprint(&buffer, inst.historyHash, " ", inst.crashed, len(inst.forwardedIDs), "|")
	}
	for _, delayed := range s.delayedWrites {
		fmt.Fprint(&buffer, "g", delayed.ExpectedVersion, string(delayed.Contents))
	}
	for name, object := range s.objects {
		fmt.Fprint(&buffer, name, object.version, string(object.data), s.previousObjects[name].version)
	}
	fmt.Fprint(&buffer, s.now.UnixMilli(), s.faultsLeft)
	return buffer.String()
}
