package journaler

import (
	"slices"
	"time"
)

// callStage is how far a call has been processed.
type callStage int8

const (
	// stageQueued is the stage of a call whose intent is still to be written.
	stageQueued callStage = iota
	// stageWritingIntent is the stage of a call whose intent is part of the write
	// in flight.
	stageWritingIntent
	// stageAwaitingOutcome is the stage of a duplicate, which waits for the
	// outcome of another attempt with the same key.
	stageAwaitingOutcome
	// stageForwarded is the stage of a call that was forwarded and has no result
	// yet.
	stageForwarded
)

// pendingCall is a call that has not been answered and, if it was forwarded, has no
// result yet.
type pendingCall struct {
	call        Call
	recordKey   string
	fingerprint string
	shardName   string
	epoch       int64
	arrivedAt   time.Time
	token       string
	stage       callStage
	// intentInDoubt means that the result of a write with the intent is unknown:
	// it may have taken effect or may yet do so.
	intentInDoubt bool
	// withdrawn means that nobody waits for the call any more, because its caller
	// is gone or was refused. The call must not be forwarded then.
	withdrawn bool
}

// pendingOutcome is the outcome of a call that is not in the store yet.
type pendingOutcome struct {
	recordKey string
	token     string
	epoch     int64
	result    Result
	// writeAt is when the outcome is written even if no intent shares the write.
	writeAt time.Time
	// discardAt is when the outcome is dropped because its intent was not found in
	// the store; zero while the intent has not been missed.
	discardAt time.Time
	// inFlight reports whether the outcome is part of the write in flight.
	inFlight bool
}

// storeOperation is the kind of the store operation in flight for a shard.
type storeOperation int8

const (
	noOperation storeOperation = iota
	readInFlight
	writeInFlight
)

// shard is the state of one shard at this instance: the last known contents, the
// operation in flight, and the calls and outcomes to be written.
type shard struct {
	name string
	// mayBeCurrent reports whether version and contents may be those in the store.
	// It is false until the shard is read, after a conflict, and after a write
	// whose result is unknown.
	mayBeCurrent bool
	version      uint64
	contents     *shardContents
	// minVersion is the lowest version that a read may return; a lower one is
	// stale.
	minVersion uint64

	operation storeOperation
	// writeAfterRead reports whether a write follows the read in flight.
	writeAfterRead bool
	// consecutiveFailures is the number of failed operations since the last
	// successful one.
	consecutiveFailures int
	// contentsInFlight are the contents of the write in flight.
	contentsInFlight *shardContents

	// calls are the calls that are not forwarded, in order of arrival.
	calls           []*pendingCall
	pendingOutcomes []*pendingOutcome
	// retryAt is the earliest time of the next operation after a failure.
	retryAt time.Time
	// pollAt is when the shard is read next for the outcomes that duplicates wait
	// for; zero means never.
	pollAt time.Time
	// lastUsedAt is when the shard was last used for a call.
	lastUsedAt time.Time
}

// isIdle reports whether the shard has no operation in flight, no calls and no
// outcomes to be written.
func (s *shard) isIdle() bool {
	return s.operation == noOperation && len(s.calls) == 0 && len(s.pendingOutcomes) == 0
}

// hasCallIn reports whether there is a call in the stage.
func (s *shard) hasCallIn(stage callStage) bool {
	return slices.ContainsFunc(s.calls, func(pending *pendingCall) bool { return pending.stage == stage })
}

// pendingResult returns the result of the call whose intent has the token, if the
// result is known but not in the store yet.
func (s *shard) pendingResult(token string) (Result, bool) {
	for _, outcome := range s.pendingOutcomes {
		if outcome.token == token {
			return outcome.result, true
		}
	}

	return Result{}, false
}

// writeNeededAt returns the time since or from which a write is needed: the arrival
// of the oldest queued call or the writeAt of an outcome. Zero means that no write
// is needed.
func (s *shard) writeNeededAt() time.Time {
	neededAt := time.Time{}
	for _, pending := range s.calls {
		if pending.stage == stageQueued {
			neededAt = earlierNonZero(neededAt, pending.arrivedAt)
		}
	}
	for _, outcome := range s.pendingOutcomes {
		neededAt = earlierNonZero(neededAt, outcome.writeAt)
	}

	return neededAt
}

// isWriteDue reports whether a write is needed at this time and no other operation
// or backoff delays it.
func (s *shard) isWriteDue(now time.Time) bool {
	neededAt := s.writeNeededAt()
	return s.operation == noOperation && !neededAt.IsZero() && !now.Before(later(neededAt, s.retryAt))
}

// callsIn returns the calls in a stage, in order of arrival.
func (s *shard) callsIn(stage callStage) []*pendingCall {
	var calls []*pendingCall
	for _, pending := range s.calls {
		if pending.stage == stage {
			calls = append(calls, pending)
		}
	}

	return calls
}

// setContents records the version and contents that the store has, and resets the
// count of failures.
func (s *shard) setContents(version uint64, contents *shardContents) {
	s.mayBeCurrent = true
	s.version = version
	s.minVersion = version
	s.contents = contents
	s.consecutiveFailures = 0
}

// removeWrittenOutcomes removes the outcomes that are in the store now.
func (s *shard) removeWrittenOutcomes() {
	s.pendingOutcomes = slices.DeleteFunc(s.pendingOutcomes, func(outcome *pendingOutcome) bool { return outcome.inFlight })
}

// removeCall removes a call from the shard.
func (s *shard) removeCall(pending *pendingCall) {
	s.calls = slices.DeleteFunc(s.calls, func(other *pendingCall) bool { return other == pending })
}

// clearOperation marks the operation in flight as ended. Outcomes that were part of
// it are no longer marked as such.
func (s *shard) clearOperation() {
	s.operation = noOperation
	s.contentsInFlight = nil
	for _, outcome := range s.pendingOutcomes {
		outcome.inFlight = false
	}
}

// earlierNonZero returns the earlier one of two times, where a zero time counts as
// none.
func earlierNonZero(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}

	return a
}
