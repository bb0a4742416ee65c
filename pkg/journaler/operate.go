package journaler

import (
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// shard returns the shard of a name. Over the bound the idle one that was
// longest of no use is forgotten.
func (j *Journaler) shard(now time.Time, name string) *shard {
	s, ok := j.shards[name]
	if !ok {
		j.evict()
		s = &shard{name: name}
		j.shards[name] = s
		j.order = append(j.order, s)
	}
	s.used = now

	return s
}

func (j *Journaler) evict() {
	if len(j.order) < j.settings.Cached {
		return
	}
	oldest := -1
	for i, s := range j.order {
		if s.idle() && (oldest < 0 || s.used.Before(j.order[oldest].used)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return
	}
	delete(j.shards, j.order[oldest].name)
	j.order = slices.Delete(j.order, oldest, oldest+1)
}

// pump begins the store operations that are due: writes as the gate allows,
// the shard that waits longest first, and reads for parked calls.
func (j *Journaler) pump(now time.Time) []Action {
	var actions []Action
	for !now.Before(j.gate) {
		s := j.urgent(now)
		if s == nil {
			break
		}
		j.gate = now.Add(j.gap())
		if !s.known || j.contended {
			actions = append(actions, j.read(s, true)...)
			continue
		}
		actions = append(actions, j.write(now, s)...)
	}
	for _, s := range j.order {
		if s.operation == idle && !s.poll.IsZero() && !now.Before(latest(s.poll, s.due)) {
			actions = append(actions, j.read(s, false)...)
		}
	}

	return actions
}

// urgent returns the idle shard whose need for a write is the oldest.
func (j *Journaler) urgent(now time.Time) *shard {
	var best *shard
	since := time.Time{}
	for _, s := range j.order {
		if !s.ready(now) {
			continue
		}
		if need := s.need(); best == nil || need.Before(since) {
			best, since = s, need
		}
	}

	return best
}

func (j *Journaler) read(s *shard, wanted bool) []Action {
	s.operation = reading
	s.wanted = wanted
	s.poll = time.Time{}

	return []Action{Read{Shard: s.name}}
}

// write begins a write with every queued intent and every outcome, if there
// are any.
func (j *Journaler) write(now time.Time, s *shard) []Action {
	epoch := s.contents.Epoch
	for _, p := range s.at(stageQueued) {
		epoch = max(epoch, p.epoch)
	}
	next := s.contents.at(epoch)
	changed := j.record(now, s, next)
	actions, added := j.intend(now, s, next)
	if !changed && !added {
		return actions
	}
	s.operation = writing
	s.next = next

	return append(actions, Write{Shard: s.name, ExpectedVersion: s.version, Contents: next.encode()})
}

// record puts the outcomes into the contents of a write. It forgets those
// whose intent is gone, and those whose intent did not show up in time.
func (j *Journaler) record(now time.Time, s *shard, next *contents) bool {
	changed := false
	size := next.size()
	s.outcomes = slices.DeleteFunc(s.outcomes, func(o *outcome) bool {
		r, ok := next.Records[o.key]
		switch {
		case o.epoch < next.Epoch:
			return true
		case !ok:
			// A write without an answer may still bring the intent.
			return !j.lookAgain(now, o)
		case r.Token != o.token || r.State != 0:
			return true
		}
		room := min(j.settings.AnswerBytes, j.settings.ShardBytes/2-size)
		settled := r.with(o.result, room)
		size += settled.size() - r.size()
		next.Records[o.key] = settled
		o.writing = true
		changed = true

		return false
	})

	return changed
}

func (j *Journaler) lookAgain(now time.Time, o *outcome) bool {
	if o.drop.IsZero() {
		o.drop = now.Add(j.settings.Settle)
	}
	o.due = now.Add(j.settings.OutcomeDelay)

	return now.Before(o.drop)
}

// intend puts the intents of the queued calls into the contents of a write.
func (j *Journaler) intend(now time.Time, s *shard, next *contents) ([]Action, bool) {
	var actions []Action
	added := false
	size := next.size()
	for _, p := range s.at(stageQueued) {
		found, _ := j.judge(s, next, p)
		if found != absent {
			actions = append(actions, j.apply(now, s, next, p)...)
			continue
		}
		if p.token == "" {
			p.token = hash(j.owner, j.token())
		}
		r := record{
			Fingerprint: p.fingerprint,
			Token:       p.token,
			Begun:       now.UnixMilli(),
			Attempt:     p.call.Attempt,
		}
		size += r.size()
		if size > j.settings.ShardBytes {
			actions = append(actions, j.full(now, s, p))
			continue
		}
		next.Records[p.key] = r
		p.stage = stageWriting
		added = true
	}

	return actions, added
}

func (j *Journaler) full(now time.Time, s *shard, p *pending) Action {
	err := answerer.New(answerer.KindLimited, "The journal has no room for more calls at this time.")
	j.drop(now, s, p)

	return Refuse{ID: p.call.ID, Error: p.call.AdjustRefusal(err)}
}

// delay makes a shard wait after a failure.
func (j *Journaler) delay(now time.Time, s *shard) {
	wait := j.settings.Backoff << min(s.failures, maxDoublings)
	s.failures++
	s.due = now.Add(min(wait, max(j.settings.Poll, j.settings.Backoff)))
}

// maxDoublings bounds the backoff's growth.
const maxDoublings = 10
