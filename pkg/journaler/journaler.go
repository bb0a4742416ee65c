package journaler

import (
	"math"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// Journaler decides when non-idempotent calls may leave.
type Journaler struct {
	settings Settings
	owner    string
	token    func() string

	calls  map[uint64]*pending
	shards map[string]*shard
	// order holds the shards from the oldest on, so that the same events
	// give the same actions.
	order []*shard

	// contended says that other instances write to the same shards, so that
	// a read before a write is worth its time.
	contended bool
	// gate is the earliest time at which the next write may begin.
	gate time.Time
	// arrivals is the number of calls that came, with exponential decay.
	arrivals float64
	arrived  time.Time
}

// New returns a Journaler for the instance named owner, which must be unique
// for each start; token returns a new string at each call.
func New(settings Settings, owner string, token func() string) *Journaler {
	return &Journaler{
		settings: settings.usable(),
		owner:    owner,
		token:    token,
		calls:    map[uint64]*pending{},
		shards:   map[string]*shard{},
	}
}

// Begin takes a call that arrived. Each call ends in one Replay or Refuse, or
// in one Forward that is to be followed by Finished, also after Abandon.
func (j *Journaler) Begin(now time.Time, call Call) []Action {
	j.count(now)
	first := call.firstTry()
	if err := j.check(now, first); err != nil {
		return []Action{Refuse{ID: call.ID, Error: call.AdjustRefusal(err)}}
	}
	key := hash(call.Workspace, call.Key)
	name, epoch := j.settings.place(key, first)
	p := &pending{
		call:        call,
		key:         key,
		fingerprint: hash(call.Fingerprint),
		shard:       name,
		epoch:       epoch,
		begun:       now,
	}
	s := j.shard(now, name)
	s.calls = append(s.calls, p)
	j.calls[call.ID] = p

	return append(j.remember(now, s, p), j.pump(now)...)
}

// remember answers a resend from memory when its call is done, which stays
// so. Whatever else is in memory may be old: a read decides.
func (j *Journaler) remember(now time.Time, s *shard, p *pending) []Action {
	if s.contents == nil {
		return nil
	}
	found, _ := j.judge(s, s.contents, p)
	switch found {
	case absent:
		return nil
	case done:
		return j.apply(now, s, s.contents, p)
	default:
		p.stage = stageParked
		s.poll = now

		return nil
	}
}

func (j *Journaler) check(now, first time.Time) *answerer.Error {
	switch {
	case len(j.calls) >= j.settings.Calls:
		return answerer.New(answerer.KindLimited, "Too many calls wait for the journal.")
	case first.IsZero():
		return answerer.New(answerer.KindKeyExpired, "The key's age is unknown. State the time of the first try.")
	case first.After(now.Add(j.settings.Skew)):
		return answerer.New(answerer.KindMalformed, "The time of the first try is in the future.")
	case first.Before(now.Add(-j.settings.Retention)):
		return answerer.New(answerer.KindKeyExpired, "The key is too old.")
	default:
		return nil
	}
}

// OnRead takes a shard's contents; version zero says that it is absent.
func (j *Journaler) OnRead(now time.Time, shard string, version uint64, data []byte) []Action {
	s, ok := j.shards[shard]
	if !ok || s.operation != reading {
		return nil
	}
	c, err := decode(data)
	if err != nil || version < s.floor {
		return j.OnReadFailed(now, shard)
	}
	s.operation = idle
	if s.known {
		j.contended = version != s.version
	}
	s.hold(version, c)
	s.poll = time.Time{}
	actions := j.review(now, s, c)
	if s.has(stageParked) {
		s.poll = now.Add(j.settings.Poll)
	}
	if s.wanted || (s.ready(now) && !now.Before(j.gate)) {
		j.gate = latest(j.gate, now.Add(j.gap()))
		actions = append(actions, j.write(now, s)...)
	}

	return append(actions, j.pump(now)...)
}

// OnReadFailed reports a read without an answer.
func (j *Journaler) OnReadFailed(now time.Time, shard string) []Action {
	s, ok := j.shards[shard]
	if !ok || s.operation != reading {
		return nil
	}
	s.operation = idle
	j.delay(now, s)

	return j.pump(now)
}

// OnWritten reports that the write in flight took effect.
func (j *Journaler) OnWritten(now time.Time, shard string, version uint64) []Action {
	s, ok := j.shards[shard]
	if !ok || s.operation != writing {
		return nil
	}
	s.hold(version, s.next)
	s.dropWritten()
	s.release()
	var actions []Action
	for _, p := range s.at(stageWriting) {
		actions = append(actions, j.leave(now, s, p)...)
	}
	actions = append(actions, j.review(now, s, s.contents)...)

	return append(actions, j.pump(now)...)
}

// OnWriteConflict reports that the write in flight found another version.
func (j *Journaler) OnWriteConflict(now time.Time, shard string) []Action {
	s, ok := j.shards[shard]
	if !ok || s.operation != writing {
		return nil
	}
	s.floor = max(s.floor, s.version+1)
	s.known = false
	j.contended = true
	j.requeue(now, s, false)
	j.gate = latest(j.gate, now.Add(j.gap()))

	return append(j.read(s, true), j.pump(now)...)
}

// OnWriteFailed reports a failed write; uncertain: it may have taken effect, or
// may yet do so.
func (j *Journaler) OnWriteFailed(now time.Time, shard string, uncertain bool) []Action {
	s, ok := j.shards[shard]
	if !ok || s.operation != writing {
		return nil
	}
	if uncertain {
		s.known = false
	}
	j.requeue(now, s, uncertain)
	j.delay(now, s)

	return j.pump(now)
}

// requeue takes back the calls of a write that gave no proof.
func (j *Journaler) requeue(now time.Time, s *shard, uncertain bool) {
	s.release()
	for _, p := range s.at(stageWriting) {
		p.unsure = p.unsure || uncertain
		p.stage = stageQueued
		if p.answered {
			j.drop(now, s, p)
		}
	}
}

// drop forgets a call that is not forwarded and that nobody waits for.
func (j *Journaler) drop(now time.Time, s *shard, p *pending) {
	if p.unsure {
		j.keep(now, s, p, Result{State: NotRun})
	}
	j.settle(s, p)
}

// Finish reports the result of a forwarded call.
func (j *Journaler) Finish(now time.Time, id uint64, result Result) []Action {
	p, ok := j.calls[id]
	if !ok || p.stage != stageForwarded {
		return nil
	}
	delete(j.calls, id)
	if result.State < Done || result.State > Uncertain {
		result.State = Uncertain
	}
	s := j.shard(now, p.shard)
	j.keep(now, s, p, record{}.with(result, j.settings.AnswerBytes).result())
	var actions []Action
	if s.contents != nil {
		actions = j.review(now, s, s.contents)
	}

	return append(actions, j.pump(now)...)
}

// Abandon reports that the caller left. A call that was forwarded goes on.
func (j *Journaler) Abandon(now time.Time, id uint64) []Action {
	p, ok := j.calls[id]
	if !ok || p.stage == stageForwarded {
		return nil
	}
	p.answered = true
	if p.stage != stageWriting {
		j.drop(now, j.shards[p.shard], p)
	}

	return j.pump(now)
}

// rateWindow is the time over which the rate of calls is averaged.
const rateWindow = 2 * time.Second

func (j *Journaler) count(now time.Time) {
	elapsed := max(now.Sub(j.arrived), 0)
	j.arrivals = j.arrivals*math.Exp(-elapsed.Seconds()/rateWindow.Seconds()) + 1
	j.arrived = now
}

// gap returns the time to leave between two writes.
func (j *Journaler) gap() time.Duration {
	rate := j.arrivals / rateWindow.Seconds()
	if rate <= j.settings.Calm {
		return 0
	}
	if j.settings.WritesPerCall <= 0 {
		return j.settings.Linger
	}
	gap := time.Duration(float64(time.Second) / (rate * j.settings.WritesPerCall))

	return min(gap, j.settings.Linger)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}

	return a
}
