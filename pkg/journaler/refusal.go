package journaler

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// AdjustRefusal returns the answer for a call of this key that was not forwarded on
// this try. Only a caller that states that this is its first try can be told
// that the call was not run: an earlier try may have run elsewhere.
func (c Call) AdjustRefusal(err *answerer.Error) *answerer.Error {
	if c.Attempt == 1 || answerer.Lookup(err.Kind).Outcome != answerer.NotRun {
		return err
	}

	return answerer.Wrap(answerer.KindUncertain, "This try was not run; an earlier one may have been.", err)
}

// refuse settles a call that is not forwarded, with the error as it is.
func (j *Journaler) refuse(s *shard, p *pending, err *answerer.Error) Action {
	j.settle(s, p)
	return Refuse{ID: p.call.ID, Error: err}
}

// settle forgets a call that was not forwarded.
func (j *Journaler) settle(s *shard, p *pending) {
	s.forget(p)
	delete(j.calls, p.call.ID)
}

// tooLate refuses a call that could not leave in time.
func (j *Journaler) tooLate(now time.Time, s *shard, p *pending) Action {
	err := answerer.New(answerer.KindStoreDown, "The journal could not be written in time.")
	err = p.call.AdjustRefusal(err)
	if j.twin(p) {
		err = answerer.Wrap(answerer.KindUncertain, "Another try of this key is under way.", err)
	}
	p.answered = true
	if p.stage == stageWriting {
		// The write's answer decides what remains to be done.
		return Refuse{ID: p.call.ID, Error: err}
	}
	if p.unsure {
		j.keep(now, s, p, Result{State: NotRun})
	}

	return j.refuse(s, p, err)
}

// twin says whether another call of the same key is held, which disproves
// that this is the first try.
func (j *Journaler) twin(p *pending) bool {
	for _, other := range j.calls {
		if other != p && other.key == p.key {
			return true
		}
	}

	return false
}

// keep holds an outcome until it is in the store. Over the bound the shard's
// oldest goes, whose resends are then told that the call may have run.
func (j *Journaler) keep(now time.Time, s *shard, p *pending, result Result) {
	if len(s.outcomes) >= j.settings.Calls && !s.outcomes[0].writing {
		s.outcomes = s.outcomes[1:]
	}
	s.outcomes = append(s.outcomes, &outcome{
		key:    p.key,
		token:  p.token,
		epoch:  p.epoch,
		result: result,
		due:    now.Add(j.settings.OutcomeDelay),
	})
}
