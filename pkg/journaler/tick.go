package journaler

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// Tick refuses the calls whose time limit has passed and starts the store
// operations that are due. It may be called at any time; NextTick returns when it
// has something to do.
func (j *Journaler) Tick(now time.Time) []Action {
	var actions []Action
	for _, s := range j.shardsByAge {
		for _, pending := range append([]*pendingCall(nil), s.calls...) {
			expiry := j.callExpiry(pending)
			if expiry.IsZero() || now.Before(expiry) {
				continue
			}
			if pending.stage == stageAwaitingOutcome {
				actions = append(actions, j.refuseCall(s, pending, j.duplicateTimeoutError(now, s, pending)))
				continue
			}
			actions = append(actions, j.refuseLate(now, s, pending))
		}
	}

	return append(actions, j.startDueOperations(now)...)
}

// callExpiry returns when a call in memory is refused; zero means never.
func (j *Journaler) callExpiry(pending *pendingCall) time.Time {
	switch {
	case pending.withdrawn:
		return time.Time{}
	case pending.stage == stageAwaitingOutcome:
		return pending.arrivedAt.Add(j.settings.DuplicateWaitTimeout)
	default:
		return pending.arrivedAt.Add(j.settings.ForwardTimeout)
	}
}

// duplicateTimeoutError returns the error for a duplicate that has waited for
// DuplicateWaitTimeout without getting the outcome of another attempt. Once that
// attempt is older than ForwardTimeout and ExpectedRunTime together, it may have
// been lost, and its outcome is in doubt.
func (j *Journaler) duplicateTimeoutError(now time.Time, s *shard, pending *pendingCall) *answerer.Error {
	intentTime := time.UnixMilli(s.contents.Records[pending.recordKey].IntentUnixMilli)
	if now.Sub(intentTime) > j.settings.ForwardTimeout+j.settings.ExpectedRunTime {
		return answerer.New(answerer.KindUncertain, "An earlier try may have run and its outcome is not known.")
	}

	return answerer.New(answerer.KindInProgress, "An earlier try is under way.")
}

// NextTick returns the time at which Tick has something to do; zero means never.
func (j *Journaler) NextTick() time.Time {
	next := time.Time{}
	for _, s := range j.shardsByAge {
		for _, pending := range s.calls {
			next = earlierNonZero(next, j.callExpiry(pending))
		}
		if s.operation != noOperation {
			continue
		}
		if neededAt := s.writeNeededAt(); !neededAt.IsZero() {
			next = earlierNonZero(next, later(later(neededAt, s.retryAt), j.nextWriteAt))
		}
		if !s.pollAt.IsZero() {
			next = earlierNonZero(next, later(s.pollAt, s.retryAt))
		}
	}

	return next
}
