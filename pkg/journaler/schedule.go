package journaler

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// Tick does what is due.
func (j *Journaler) Tick(now time.Time) []Action {
	var actions []Action
	for _, s := range j.order {
		for _, p := range append([]*pending(nil), s.calls...) {
			limit := j.limit(p)
			if limit.IsZero() || now.Before(limit) {
				continue
			}
			if p.stage == stageParked {
				actions = append(actions, j.refuse(s, p, j.overdue(now, s, p)))
				continue
			}
			actions = append(actions, j.tooLate(now, s, p))
		}
	}

	return append(actions, j.pump(now)...)
}

// limit returns when a held call is refused; zero: never.
func (j *Journaler) limit(p *pending) time.Time {
	switch {
	case p.answered:
		return time.Time{}
	case p.stage == stageParked:
		return p.begun.Add(j.settings.Wait)
	default:
		return p.begun.Add(j.settings.HandOver)
	}
}

// overdue returns the answer for a resend whose other try has no outcome yet.
func (j *Journaler) overdue(now time.Time, s *shard, p *pending) *answerer.Error {
	begun := time.UnixMilli(s.contents.Records[p.key].Begun)
	if now.Sub(begun) > j.settings.HandOver+j.settings.Run {
		return answerer.New(answerer.KindUncertain, "An earlier try may have run and its outcome is not known.")
	}

	return answerer.New(answerer.KindInProgress, "An earlier try is under way.")
}

// NextTick returns when Tick has something to do; zero: nothing.
func (j *Journaler) NextTick() time.Time {
	next := time.Time{}
	for _, s := range j.order {
		for _, p := range s.calls {
			next = earlier(next, j.limit(p))
		}
		if s.operation != idle {
			continue
		}
		if need := s.need(); !need.IsZero() {
			next = earlier(next, latest(latest(need, s.due), j.gate))
		}
		if !s.poll.IsZero() {
			next = earlier(next, latest(s.poll, s.due))
		}
	}

	return next
}
