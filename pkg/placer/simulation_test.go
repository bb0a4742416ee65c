package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// The engines of the simulation: a step reads a chunk of the prompt at the head
// of the queue and makes a token for each running stream.
const (
	stepBase       = 5200 * time.Microsecond
	stepPerStream  = 37 * time.Microsecond
	chunkTokens    = 2048
	tokensPerMilli = 49.6
	tokensPerEvent = 4
	engineSlots    = 64
)

// sequence is a request at an engine.
type sequence struct {
	instance     int
	id           uint64
	long         bool
	arrived      time.Time
	unread, made int
	output       int
	first        time.Duration
	latest       time.Time
	pause        time.Duration
	parts        []placer.Part
	prompt       int
}

type engine struct {
	waiting, reading, running []*sequence
	cache                     map[uint64]bool
	next                      time.Time
}

// step runs one step and returns the sequences that begin and end with it.
func (e *engine) step(now time.Time) (begun, ended []*sequence) {
	for len(e.waiting) > 0 && len(e.reading)+len(e.running) < engineSlots {
		e.admit(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	took := stepBase + time.Duration(len(e.running))*stepPerStream
	var done *sequence
	if len(e.reading) > 0 {
		head := e.reading[0]
		chunk := min(chunkTokens, head.unread)
		head.unread -= chunk
		took += time.Duration(float64(chunk) / tokensPerMilli * float64(time.Millisecond))
		if head.unread == 0 {
			e.reading, done = e.reading[1:], head
		}
	}
	e.next = now.Add(took)
	live := e.running[:0]
	for _, s := range e.running {
		s.token(e.next)
		if s.made >= s.output {
			ended = append(ended, s)
		} else {
			live = append(live, s)
		}
	}
	e.running = live
	if done != nil {
		done.first = e.next.Sub(done.arrived)
		done.latest, done.made = e.next, 1
		for _, part := range done.parts {
			e.cache[part.ID] = true
		}
		e.running = append(e.running, done)
		begun = append(begun, done)
	}

	return begun, ended
}

// admit finds what of the prompt is cached.
func (e *engine) admit(s *sequence) {
	s.unread = s.prompt
	for _, part := range s.parts {
		if !e.cache[part.ID] {
			break
		}
		s.unread -= part.Tokens
	}
	s.unread = max(1, s.unread)
	e.reading = append(e.reading, s)
}

func (s *sequence) token(now time.Time) {
	s.made++
	if s.made%tokensPerEvent == 0 || s.made >= s.output {
		s.pause = max(s.pause, now.Sub(s.latest))
		s.latest = now
	}
}

// way is how the simulated instances choose; nil: by their placers.
type way func(serial int, ask placer.Ask) (engine int)

type outcome struct {
	chats, lateChats, longs, lateLongs, refused, read int
}

func (o outcome) String() string {
	return fmt.Sprintf("%d of %d short late, %d of %d long late, %d refused, %d tokens read",
		o.lateChats, o.chats, o.lateLongs, o.longs, o.refused, o.read)
}

// simulation is a fleet of instances before one service of engines.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	engines   []*engine
	instances []*placer.Placer
	choose    way
	serial    int
	live      map[uint64]*sequence
	result    outcome
}

func newSimulation(instances, n int, choose way) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(1, 2)), now: start, choose: choose, live: map[uint64]*sequence{}}
	for range n {
		s.engines = append(s.engines, &engine{cache: map[uint64]bool{}, next: start})
	}
	for i := range instances {
		s.instances = append(s.instances, newPlacer(fmt.Sprintf("i%d", i), engines(n)))
	}

	return s
}

// run plays arrivals at rates a second for a time.
func (s *simulation) run(length time.Duration, chats, longs float64) {
	end := s.now.Add(length)
	nextChat, nextLong, nextGossip := s.after(chats), s.after(longs), s.now
	for s.now.Before(end) {
		earliest := nextGossip
		for _, at := range []time.Time{nextChat, nextLong} {
			if at.Before(earliest) {
				earliest = at
			}
		}
		s.steps(earliest)
		s.now = earliest
		switch earliest {
		case nextGossip:
			s.gossip()
			nextGossip = nextGossip.Add(150 * time.Millisecond)
		case nextChat:
			s.arrive(false)
			nextChat = s.after(chats)
		default:
			s.arrive(true)
			nextLong = s.after(longs)
		}
	}
}

func (s *simulation) after(rate float64) time.Time {
	return s.now.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
}

// steps runs the engines up to a time.
func (s *simulation) steps(until time.Time) {
	for _, e := range s.engines {
		for e.next.Before(until) {
			if len(e.waiting)+len(e.reading)+len(e.running) == 0 {
				e.next = until

				break
			}
			begun, ended := e.step(e.next)
			for _, q := range begun {
				s.instances[q.instance].First(e.next, q.id)
			}
			for _, q := range ended {
				s.end(e.next, q)
			}
		}
	}
}

func (s *simulation) end(now time.Time, q *sequence) {
	s.instances[q.instance].End(now, q.id, placer.Finished)
	if q.long {
		s.result.longs++
		if q.first > 600*time.Millisecond {
			s.result.lateLongs++
		}

		return
	}
	s.result.chats++
	if q.first > 300*time.Millisecond || q.pause > 200*time.Millisecond {
		s.result.lateChats++
	}
}

// gossip tells each instance what the others have.
func (s *simulation) gossip() {
	for i, teller := range s.instances {
		for j, hearer := range s.instances {
			if i != j {
				hearer.Heard(s.now, fmt.Sprintf("i%d", i), teller.Loads(), teller.Demands(s.now))
				hearer.HeardReads(teller.Reads(s.now))
			}
		}
	}
}

func (s *simulation) arrive(isLong bool) {
	s.serial++
	ask, output := short(), 20+int(s.random.ExpFloat64()*250)
	ask.Prompt = min(3300, 100+int(s.random.ExpFloat64()*600))
	if isLong {
		ask, output = long(uint64(s.random.IntN(140)), uint64(s.serial)), 52
		ask.Prompt = shared + 200 + int(s.random.ExpFloat64()*2600)
		ask.Parts[1].Tokens = ask.Prompt - shared
	}
	q := &sequence{
		instance: s.random.IntN(len(s.instances)), id: uint64(s.serial), long: isLong,
		arrived: s.now, prompt: ask.Prompt, output: output, parts: ask.Parts,
	}
	at, source, ok := s.place(q, ask)
	if !ok {
		s.result.refused++

		return
	}
	e := s.engines[at]
	if source >= 0 {
		for _, part := range ask.Parts {
			e.cache[part.ID] = e.cache[part.ID] || s.engines[source].cache[part.ID]
		}
	}
	e.waiting = append(e.waiting, q)
	s.result.read += ask.Prompt
}

// place chooses the engine, and the one to copy cached parts from.
func (s *simulation) place(q *sequence, ask placer.Ask) (at, source int, ok bool) {
	if s.choose != nil {
		return s.choose(s.serial, ask), -1, true
	}
	p := s.instances[q.instance]
	choice, ok := p.Pick(s.now, ask)
	if !ok {
		return 0, -1, false
	}
	if _, postponed := p.Postpone(ask, choice); postponed {
		return 0, -1, false
	}
	p.Start(s.now, q.id, choice, ask)
	source = -1
	for i, registered := range engines(len(s.engines)) {
		if registered.ID == choice.ID {
			at = i
		}
		if registered.Address == choice.Source {
			source = i
		}
	}

	return at, source, true
}

// The naive ways: engines in turn, and two groups of fixed size with families
// kept together.
func inTurn(n int) way {
	return func(serial int, _ placer.Ask) int { return serial % n }
}

func fixedThird(n int) way {
	return func(serial int, ask placer.Ask) int {
		border := n / 3
		if ask.Prompt < 4096 {
			return serial % border
		}

		return border + int(ask.Parts[0].ID)%(n-border)
	}
}

// load is a pattern of arrivals: short and long prompts a second.
type load struct {
	chats, longs float64
}

// The patterns that cost most on a busy day. At a surge late and refused
// requests must be fewer than with the naive ways, and few at any time.
func TestSurgesAgainstNaiveWays(t *testing.T) {
	for name, test := range map[string]struct {
		load

		surge                bool
		lateChats, lateLongs float64 // most shares that may be late or refused
	}{
		"calm day":               {load{35, 20}, false, 0.02, 0.02},
		"burst of long prompts":  {load{35, 45}, true, 0.05, 0.10},
		"burst of short prompts": {load{95, 20}, true, 0.10, 0.10},
		"both surge":             {load{70, 40}, true, 0.10, 0.15},
	} {
		t.Run(name, func(t *testing.T) {
			const n = 9
			play := func(choose way) outcome {
				s := newSimulation(7, n, choose)
				s.run(4*time.Second, 35, 20) // Warm caches.
				s.result = outcome{}
				s.run(9*time.Second, test.chats, test.longs)
				s.run(6*time.Second, 35, 20)

				return s.result
			}
			ours, turn, third := play(nil), play(inTurn(n)), play(fixedThird(n))
			t.Logf("ours: %s", ours)
			t.Logf("in turn: %s", turn)
			t.Logf("a fixed third: %s", third)
			lost := func(o outcome) int { return o.lateChats + o.lateLongs + o.refused }
			if test.surge {
				assert.Assert(t, lost(ours) < lost(turn) && lost(ours) < lost(third))
			}
			assert.Assert(t, float64(ours.lateChats) <= test.lateChats*float64(ours.chats))
			assert.Assert(t, float64(ours.lateLongs+ours.refused) <= test.lateLongs*float64(ours.longs+ours.refused))
		})
	}
}
