package simulator

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// The modelled engines.
const (
	stepBase       = 5200 * time.Microsecond // a step without any work
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
	output       int // tokens that it makes
	first        time.Duration
	latest       time.Time // event
	pause        time.Duration
	parts        []placer.PromptBlock
	prompt       int
}

// token makes one token and reports whether it completes an event.
func (s *sequence) token(now time.Time) bool {
	s.made++
	if s.made%tokensPerEvent != 0 && s.made < s.output {
		return false
	}
	s.pause = max(s.pause, now.Sub(s.latest))
	s.latest = now

	return true
}

// engine is one modelled engine.
type engine struct {
	waiting, reading, running []*sequence
	cache                     map[uint64]bool
	next                      time.Time // when the step under way ends
	down, dark                bool
}

// step is what one step of an engine brought.
type step struct {
	begun, ended, heard []*sequence
}

func newEngine(now time.Time) *engine {
	return &engine{cache: map[uint64]bool{}, next: now}
}

func (e *engine) idle() bool {
	return len(e.waiting)+len(e.reading)+len(e.running) == 0
}

// step runs one step.
func (e *engine) step(now time.Time) (result step) {
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
		if s.token(e.next) {
			result.heard = append(result.heard, s)
		}
		if s.made >= s.output {
			result.ended = append(result.ended, s)
		} else {
			live = append(live, s)
		}
	}
	e.running = live
	if done != nil {
		e.begin(done)
		result.begun = append(result.begun, done)
	}

	return result
}

// begin starts the stream of a sequence whose prompt is read.
func (e *engine) begin(s *sequence) {
	s.made = 1
	s.first = e.next.Sub(s.arrived)
	s.latest = e.next
	for _, part := range s.parts {
		e.cache[part.ID] = true
	}
	e.running = append(e.running, s)
}

// admit finds what of the prompt is cached.
func (e *engine) admit(s *sequence) {
	s.unread = e.fresh(s.prompt, s.parts)
	e.reading = append(e.reading, s)
}

// fresh is the tokens of a prompt that are not cached; at least 1.
func (e *engine) fresh(prompt int, parts []placer.PromptBlock) int {
	for _, part := range parts {
		if !e.cache[part.ID] {
			break
		}
		prompt -= part.Tokens
	}

	return max(1, prompt)
}

// unread is the tokens that the engine has yet to read.
func (e *engine) unread() int {
	sum := 0
	for _, s := range e.reading {
		sum += s.unread
	}
	for _, s := range e.waiting {
		sum += e.fresh(s.prompt, s.parts)
	}

	return sum
}

// clear takes everything off the engine and returns it.
func (e *engine) clear() []*sequence {
	all := append(append(e.running, e.reading...), e.waiting...)
	e.running, e.reading, e.waiting = nil, nil, nil

	return all
}
