package journaler

import (
	"math"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// Journaler decides when non-idempotent calls may be forwarded to their endpoints.
// It holds the calls in progress and the shards that it used last.
type Journaler struct {
	settings   Settings
	instanceID string
	newToken   func() string

	calls  map[uint64]*pendingCall
	shards map[string]*shard
	// shardsByAge holds the shards in the order in which they were added, so that
	// the same inputs always give the same actions.
	shardsByAge []*shard

	// contended reports whether other instances write to the same shards. If so, a
	// shard is read before each write, since a write without it is likely to
	// conflict.
	contended bool
	// nextWriteAt is the earliest time at which the next write may start.
	nextWriteAt time.Time
	// decayedCallCount is the number of calls that arrived, with exponential
	// decay.
	decayedCallCount float64
	lastArrivalAt    time.Time
}

// New returns a Journaler. The instanceID must be unique to each start of an
// instance; newToken must return another string at each call.
func New(settings Settings, instanceID string, newToken func() string) *Journaler {
	return &Journaler{
		settings:   settings.withMinimums(),
		instanceID: instanceID,
		newToken:   newToken,
		calls:      map[uint64]*pendingCall{},
		shards:     map[string]*shard{},
	}
}

// Begin processes a call that has arrived. Each call ends in one Replay or Refuse,
// or in one Forward, whose result must be reported to Finish even after Abandon. A
// call that is abandoned before that may end without an action.
func (j *Journaler) Begin(now time.Time, call Call) []Action {
	j.countArrival(now)
	firstAttemptTime := call.resolveFirstAttemptTime()
	if err := j.checkAdmission(now, firstAttemptTime); err != nil {
		return []Action{Refuse{ID: call.ID, Error: call.AdjustRefusal(err)}}
	}
	recordKey := hashParts(call.Workspace, call.Key)
	shardName, epoch := j.settings.locateShard(recordKey, firstAttemptTime)
	pending := &pendingCall{
		call:        call,
		recordKey:   recordKey,
		fingerprint: hashParts(call.Fingerprint),
		shardName:   shardName,
		epoch:       epoch,
		arrivedAt:   now,
	}
	s := j.findOrAddShard(now, shardName)
	s.calls = append(s.calls, pending)
	j.calls[call.ID] = pending

	return append(j.answerFromCache(now, s, pending), j.startDueOperations(now)...)
}

// answerFromCache replays the answer of a call from the contents in memory if they
// have it, since a recorded answer never changes. Everything else in memory may be
// out of date, so that a read of the shard decides.
func (j *Journaler) answerFromCache(now time.Time, s *shard, pending *pendingCall) []Action {
	if s.contents == nil {
		return nil
	}
	meaning, _ := j.lookUp(s, s.contents, pending)
	switch meaning {
	case lookupAbsent:
		return nil
	case lookupAnswered:
		return j.applyToCall(now, s, s.contents, pending)
	default:
		pending.stage = stageAwaitingOutcome
		s.pollAt = now

		return nil
	}
}

// checkAdmission returns the error for a call that is refused on arrival, because
// there are MaxCalls already or because the time of its first attempt is unknown,
// too old or in the future.
func (j *Journaler) checkAdmission(now, firstAttemptTime time.Time) *answerer.Error {
	switch {
	case len(j.calls) >= j.settings.MaxCalls:
		return answerer.New(answerer.KindLimited, "Too many calls wait for the journal.")
	case firstAttemptTime.IsZero():
		return answerer.New(answerer.KindKeyExpired, "The key's age is unknown. State the time of the first try.")
	case firstAttemptTime.After(now.Add(j.settings.MaxClockSkew)):
		return answerer.New(answerer.KindMalformed, "The time of the first try is in the future.")
	case firstAttemptTime.Before(now.Add(-j.settings.KeyTTL)):
		return answerer.New(answerer.KindKeyExpired, "The key is too old.")
	default:
		return nil
	}
}

// OnRead processes the contents of a shard that were read from the store. Version
// zero means that the shard does not exist.
func (j *Journaler) OnRead(now time.Time, shardName string, version uint64, data []byte) []Action {
	s, ok := j.shards[shardName]
	if !ok || s.operation != readInFlight {
		return nil
	}
	contents, err := decodeContents(data)
	if err != nil || version < s.minVersion {
		return j.OnReadFailed(now, shardName)
	}
	s.operation = noOperation
	if s.mayBeCurrent {
		j.contended = version != s.version
	}
	s.setContents(version, contents)
	s.pollAt = time.Time{}
	actions := j.applyContents(now, s, contents)
	if s.hasCallIn(stageAwaitingOutcome) {
		s.pollAt = now.Add(j.settings.PollInterval)
	}
	if s.writeAfterRead || (s.isWriteDue(now) && !now.Before(j.nextWriteAt)) {
		j.nextWriteAt = later(j.nextWriteAt, now.Add(j.minWriteInterval()))
		actions = append(actions, j.startWrite(now, s)...)
	}

	return append(actions, j.startDueOperations(now)...)
}

// OnReadFailed reports that the read of a shard failed. The shard is read again after
// a backoff.
func (j *Journaler) OnReadFailed(now time.Time, shardName string) []Action {
	s, ok := j.shards[shardName]
	if !ok || s.operation != readInFlight {
		return nil
	}
	s.operation = noOperation
	j.backOff(now, s)

	return j.startDueOperations(now)
}

// OnWritten reports that the write in flight took effect, and at which version.
func (j *Journaler) OnWritten(now time.Time, shardName string, version uint64) []Action {
	s, ok := j.shards[shardName]
	if !ok || s.operation != writeInFlight {
		return nil
	}
	s.setContents(version, s.contentsInFlight)
	s.removeWrittenOutcomes()
	s.clearOperation()
	var actions []Action
	for _, pending := range s.callsIn(stageWritingIntent) {
		actions = append(actions, j.forwardUnlessLate(now, s, pending)...)
	}
	actions = append(actions, j.applyContents(now, s, s.contents)...)

	return append(actions, j.startDueOperations(now)...)
}

// OnWriteConflict reports that the write in flight had no effect, because the shard had
// another version than the expected one. The shard is read again.
func (j *Journaler) OnWriteConflict(now time.Time, shardName string) []Action {
	s, ok := j.shards[shardName]
	if !ok || s.operation != writeInFlight {
		return nil
	}
	s.minVersion = max(s.minVersion, s.version+1)
	s.mayBeCurrent = false
	j.contended = true
	j.requeueCalls(now, s, false)
	j.nextWriteAt = later(j.nextWriteAt, now.Add(j.minWriteInterval()))

	return append(j.startRead(s, true), j.startDueOperations(now)...)
}

// OnWriteFailed reports that the write in flight failed. If inDoubt is true, it may
// have taken effect or may yet do so.
func (j *Journaler) OnWriteFailed(now time.Time, shardName string, inDoubt bool) []Action {
	s, ok := j.shards[shardName]
	if !ok || s.operation != writeInFlight {
		return nil
	}
	if inDoubt {
		s.mayBeCurrent = false
	}
	j.requeueCalls(now, s, inDoubt)
	j.backOff(now, s)

	return j.startDueOperations(now)
}

// requeueCalls queues the calls again whose intents were in a write that is not
// known to have taken effect. If inDoubt is true, it may have.
func (j *Journaler) requeueCalls(now time.Time, s *shard, inDoubt bool) {
	s.clearOperation()
	for _, pending := range s.callsIn(stageWritingIntent) {
		pending.intentInDoubt = pending.intentInDoubt || inDoubt
		pending.stage = stageQueued
		if pending.withdrawn {
			j.discardCall(now, s, pending)
		}
	}
}

// discardCall removes a call that is not forwarded and for which nobody waits. If
// its intent may be in the store, its outcome is recorded as NotRun.
func (j *Journaler) discardCall(now time.Time, s *shard, pending *pendingCall) {
	if pending.intentInDoubt {
		j.addPendingOutcome(now, s, pending, Result{State: NotRun})
	}
	j.removeCall(s, pending)
}

// Finish reports the result of a forwarded call. A result without a valid State
// counts as Uncertain.
func (j *Journaler) Finish(now time.Time, id uint64, result Result) []Action {
	pending, ok := j.calls[id]
	if !ok || pending.stage != stageForwarded {
		return nil
	}
	delete(j.calls, id)
	if result.State < Done || result.State > Uncertain {
		result.State = Uncertain
	}
	s := j.findOrAddShard(now, pending.shardName)
	j.addPendingOutcome(now, s, pending, record{}.withResult(result, j.settings.MaxAnswerBytes).result())
	var actions []Action
	if s.contents != nil {
		actions = j.applyContents(now, s, s.contents)
	}

	return append(actions, j.startDueOperations(now)...)
}

// Abandon reports that the caller of a call is gone. A call that was forwarded
// continues.
func (j *Journaler) Abandon(now time.Time, id uint64) []Action {
	pending, ok := j.calls[id]
	if !ok || pending.stage == stageForwarded {
		return nil
	}
	pending.withdrawn = true
	if pending.stage != stageWritingIntent {
		j.discardCall(now, j.shards[pending.shardName], pending)
	}

	return j.startDueOperations(now)
}

// rateTimeConstant is the time constant of the exponential decay with which the
// rate of calls is averaged.
const rateTimeConstant = 2 * time.Second

// countArrival counts a call for the rate of arrivals.
func (j *Journaler) countArrival(now time.Time) {
	elapsed := max(now.Sub(j.lastArrivalAt), 0)
	j.decayedCallCount = j.decayedCallCount*math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds()) + 1
	j.lastArrivalAt = now
}

// minWriteInterval returns the minimum time between the starts of two writes. It is
// zero up to MaxUnbatchedRate; above that it is chosen so that TargetWritesPerCall
// is met, but not longer than MaxBatchDelay.
func (j *Journaler) minWriteInterval() time.Duration {
	rate := j.decayedCallCount / rateTimeConstant.Seconds()
	if rate <= j.settings.MaxUnbatchedRate {
		return 0
	}
	if j.settings.TargetWritesPerCall <= 0 {
		return j.settings.MaxBatchDelay
	}
	interval := time.Duration(float64(time.Second) / (rate * j.settings.TargetWritesPerCall))

	return min(interval, j.settings.MaxBatchDelay)
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}

	return a
}
