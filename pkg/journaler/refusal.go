package journaler

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// AdjustRefusal returns the error for the caller of a call that was refused with err in
// this attempt. Only a caller that states that this is its first attempt can get the
// answer "not run", since an earlier attempt may have run at another instance. For any
// other attempt, an error that means "not run" is replaced by one of KindUncertain.
func (c Call) AdjustRefusal(err *answerer.Error) *answerer.Error {
	if c.Attempt == 1 || answerer.Lookup(err.Kind).Outcome != answerer.NotRun {
		return err
	}

	return answerer.Wrap(answerer.KindUncertain, "This try was not run; an earlier one may have been.", err)
}

// refuseCall removes a call that is not forwarded and refuses it with the error as
// it is.
func (j *Journaler) refuseCall(s *shard, pending *pendingCall, err *answerer.Error) Action {
	j.removeCall(s, pending)
	return Refuse{ID: pending.call.ID, Error: err}
}

// removeCall removes a call that is not forwarded from its shard and from the
// journaler.
func (j *Journaler) removeCall(s *shard, pending *pendingCall) {
	s.removeCall(pending)
	delete(j.calls, pending.call.ID)
}

// refuseLate refuses a call that could not be forwarded within ForwardTimeout.
func (j *Journaler) refuseLate(now time.Time, s *shard, pending *pendingCall) Action {
	err := answerer.New(answerer.KindStoreDown, "The journal could not be written in time.")
	err = pending.call.AdjustRefusal(err)
	if j.hasDuplicate(pending) {
		err = answerer.Wrap(answerer.KindUncertain, "Another try of this key is under way.", err)
	}
	pending.withdrawn = true
	if pending.stage == stageWritingIntent {
		// Whether the intent is in the store is known only when the write is
		// answered; the call is removed then.
		return Refuse{ID: pending.call.ID, Error: err}
	}
	if pending.intentInDoubt {
		j.addPendingOutcome(now, s, pending, Result{State: NotRun})
	}

	return j.refuseCall(s, pending, err)
}

// hasDuplicate reports whether another call with the same key is in memory. If so,
// this one is not sure to be the first attempt, whatever its caller states.
func (j *Journaler) hasDuplicate(pending *pendingCall) bool {
	for _, other := range j.calls {
		if other != pending && other.recordKey == pending.recordKey {
			return true
		}
	}

	return false
}

// addPendingOutcome keeps an outcome until it is in the store. If the shard has
// MaxCalls of them already, the oldest one is dropped; refusals of later attempts
// of its call then say that it may have run.
func (j *Journaler) addPendingOutcome(now time.Time, s *shard, pending *pendingCall, result Result) {
	if len(s.pendingOutcomes) >= j.settings.MaxCalls && !s.pendingOutcomes[0].inFlight {
		s.pendingOutcomes = s.pendingOutcomes[1:]
	}
	s.pendingOutcomes = append(s.pendingOutcomes, &pendingOutcome{
		recordKey: pending.recordKey,
		token:     pending.token,
		epoch:     pending.epoch,
		result:    result,
		writeAt:   now.Add(j.settings.OutcomeWriteDelay),
	})
}
