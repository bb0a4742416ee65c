package journaler

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// finding is what a shard's contents mean for a call.
type finding int8

const (
	// absent is a key without a record: the call may write its intent.
	absent finding = iota
	// own is a record with the call's own token: its write took effect.
	own
	// busy is another try's intent.
	busy
	// done is an answer to replay.
	done
	// final is a call to refuse.
	final
)

// judge returns what the contents mean for a call, with the answer if there
// is one.
func (j *Journaler) judge(s *shard, c *contents, p *pending) (finding, Action) {
	if c.Epoch > p.epoch {
		return final, refusal(p, answerer.KindKeyExpired, "The records of this key's time have expired.")
	}
	r, ok := c.Records[p.key]
	if !ok || c.Epoch < p.epoch {
		return absent, nil
	}
	if p.token != "" && r.Token == p.token {
		return own, nil
	}
	if r.Fingerprint != p.fingerprint {
		return final, refusal(p, answerer.KindKeyReused, "The key belongs to another request.")
	}
	result := r.result()
	if r.State == 0 {
		result, ok = s.result(r.Token)
		if !ok {
			return busy, nil
		}
	}

	return j.judgeResult(p, r, result)
}

func (j *Journaler) judgeResult(p *pending, r record, result Result) (finding, Action) {
	switch result.State {
	case Done:
		return done, Replay{ID: p.call.ID, Result: result}
	case NotRun:
		return judgeNotRun(p, r)
	default:
		return final, refusal(p, answerer.KindUncertain, "The call may have run and its answer is lost.")
	}
}

// judgeNotRun holds an answer of "not run" good: only a stated later try runs
// under the same key, so a try that may be older than the answer never does.
func judgeNotRun(p *pending, r record) (finding, Action) {
	switch {
	case r.Attempt > 0 && p.call.Attempt > r.Attempt:
		return absent, nil
	case r.Attempt > 0 && p.call.Attempt == 0:
		// A later try may be under way that these contents do not show.
		return final, refusal(p, answerer.KindUncertain, "One try was not run; state the attempt to try again.")
	default:
		return final, refusal(p, answerer.KindRefusedByEndpoint, "The call was not run. Use a new key or a higher attempt.")
	}
}

func refusal(p *pending, kind answerer.Kind, message string) Action {
	return Refuse{ID: p.call.ID, Error: answerer.New(kind, message)}
}

// review settles what a shard's contents answer and parks what they make
// wait. Queued calls without a record stay queued.
func (j *Journaler) review(now time.Time, s *shard, c *contents) []Action {
	var actions []Action
	for _, p := range append([]*pending(nil), s.calls...) {
		if p.stage == stageWriting {
			continue
		}
		actions = append(actions, j.apply(now, s, c, p)...)
	}

	return actions
}

func (j *Journaler) apply(now time.Time, s *shard, c *contents, p *pending) []Action {
	found, action := j.judge(s, c, p)
	switch found {
	case own:
		return j.leave(now, s, p)
	case busy:
		j.park(now, s, p)
		return nil
	case done, final:
		j.settle(s, p)

		return []Action{action}
	default:
		p.stage = stageQueued
		return nil
	}
}

func (j *Journaler) park(now time.Time, s *shard, p *pending) {
	if p.stage != stageParked {
		p.stage = stageParked
		s.poll = earlier(s.poll, now.Add(j.settings.Poll))
	}
}

// leave forwards a call whose intent is in the store, unless it is too late
// or nobody waits for it any more.
func (j *Journaler) leave(now time.Time, s *shard, p *pending) []Action {
	until := p.begun.Add(j.settings.HandOver)
	if !p.answered && now.Before(until) {
		s.forget(p)
		p.stage = stageForwarded

		return []Action{Forward{ID: p.call.ID, SendDeadline: until}}
	}
	j.keep(now, s, p, Result{State: NotRun})
	if p.answered {
		j.settle(s, p)
		return nil
	}

	// The intent is the proof: no other try had one, and this one stays.
	return []Action{j.refuse(s, p, answerer.New(answerer.KindStoreDown, "The journal was written too late."))}
}
