package journaler

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// lookupResult says what the contents of a shard mean for a call.
type lookupResult int8

const (
	// lookupAbsent means that the call may write its intent: its key has no
	// record, or only one of an attempt that was not run.
	lookupAbsent lookupResult = iota
	// lookupIntentWritten means that the record has the token of the call: the write
	// of its intent took effect.
	lookupIntentWritten
	// lookupInProgress means that the key has the intent of another attempt, whose
	// outcome is not known yet.
	lookupInProgress
	// lookupAnswered means that the key has a recorded answer, which is to be
	// replayed.
	lookupAnswered
	// lookupRefused means that the call is to be refused.
	lookupRefused
)

// lookUp returns what the contents mean for a call and, if the call is to be
// replayed or refused, the action for it.
func (j *Journaler) lookUp(s *shard, contents *shardContents, pending *pendingCall) (lookupResult, Action) {
	if contents.Epoch > pending.epoch {
		return lookupRefused, newRefusal(pending, answerer.KindKeyExpired, "The records of this key's time have expired.")
	}
	r, ok := contents.Records[pending.recordKey]
	if !ok || contents.Epoch < pending.epoch {
		return lookupAbsent, nil
	}
	if pending.token != "" && r.Token == pending.token {
		return lookupIntentWritten, nil
	}
	if r.Fingerprint != pending.fingerprint {
		return lookupRefused, newRefusal(pending, answerer.KindKeyReused, "The key belongs to another request.")
	}
	result := r.result()
	if r.State == 0 {
		result, ok = s.pendingResult(r.Token)
		if !ok {
			return lookupInProgress, nil
		}
	}

	return j.interpretResult(pending, r, result)
}

// interpretResult returns what the result of another attempt of the same key means
// for a call.
func (j *Journaler) interpretResult(pending *pendingCall, r record, result Result) (lookupResult, Action) {
	switch result.State {
	case Done:
		return lookupAnswered, Replay{ID: pending.call.ID, Result: result}
	case NotRun:
		return interpretNotRun(pending, r)
	default:
		return lookupRefused, newRefusal(pending, answerer.KindUncertain, "The call may have run and its answer is lost.")
	}
}

// interpretNotRun returns what an earlier attempt that was not run means for a
// call. The call may run only if it states a higher attempt number. An attempt that
// may be older than the one that was answered "not run" thus never runs, and that
// answer stays true.
func interpretNotRun(pending *pendingCall, r record) (lookupResult, Action) {
	switch {
	case r.Attempt > 0 && pending.call.Attempt > r.Attempt:
		return lookupAbsent, nil
	case r.Attempt > 0 && pending.call.Attempt == 0:
		// A later attempt that is not in these contents may be in progress.
		return lookupRefused, newRefusal(pending, answerer.KindUncertain, "One try was not run; state the attempt to try again.")
	default:
		return lookupRefused, newRefusal(pending, answerer.KindRefusedByEndpoint, "The call was not run. Use a new key or a higher attempt.")
	}
}

// newRefusal returns the action that refuses a call with an error.
func newRefusal(pending *pendingCall, kind answerer.Kind, message string) Action {
	return Refuse{ID: pending.call.ID, Error: answerer.New(kind, message)}
}

// applyContents handles the calls for which the contents of the shard decide: it
// forwards, replays or refuses them, or lets them wait for another attempt in
// progress. Queued calls without a record stay queued.
func (j *Journaler) applyContents(now time.Time, s *shard, contents *shardContents) []Action {
	var actions []Action
	for _, pending := range append([]*pendingCall(nil), s.calls...) {
		if pending.stage == stageWritingIntent {
			continue
		}
		actions = append(actions, j.applyToCall(now, s, contents, pending)...)
	}

	return actions
}

// applyToCall does for one call what the contents of the shard mean for it.
func (j *Journaler) applyToCall(now time.Time, s *shard, contents *shardContents, pending *pendingCall) []Action {
	meaning, action := j.lookUp(s, contents, pending)
	switch meaning {
	case lookupIntentWritten:
		return j.forwardUnlessLate(now, s, pending)
	case lookupInProgress:
		j.awaitOutcome(now, s, pending)
		return nil
	case lookupAnswered, lookupRefused:
		j.removeCall(s, pending)

		return []Action{action}
	default:
		pending.stage = stageQueued
		return nil
	}
}

// awaitOutcome lets a duplicate wait for the outcome of another attempt, for which
// the shard is then read repeatedly.
func (j *Journaler) awaitOutcome(now time.Time, s *shard, pending *pendingCall) {
	if pending.stage != stageAwaitingOutcome {
		pending.stage = stageAwaitingOutcome
		s.pollAt = earlierNonZero(s.pollAt, now.Add(j.settings.PollInterval))
	}
}

// forwardUnlessLate forwards a call whose intent is in the store, unless its
// deadline has passed or its caller is gone. In these cases its outcome is recorded
// as NotRun.
func (j *Journaler) forwardUnlessLate(now time.Time, s *shard, pending *pendingCall) []Action {
	deadline := pending.arrivedAt.Add(j.settings.ForwardTimeout)
	if !pending.withdrawn && now.Before(deadline) {
		s.removeCall(pending)
		pending.stage = stageForwarded

		return []Action{Forward{ID: pending.call.ID, SendDeadline: deadline}}
	}
	j.addPendingOutcome(now, s, pending, Result{State: NotRun})
	if pending.withdrawn {
		j.removeCall(s, pending)
		return nil
	}

	// The refusal may say "not run": the stored intent proves that no other
	// attempt has one, and it stays in the store.
	return []Action{j.refuseCall(s, pending, answerer.New(answerer.KindStoreDown, "The journal was written too late."))}
}
