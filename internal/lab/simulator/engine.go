package simulator

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// The model of an engine.
const (
	baseStepDuration            = 5200 * time.Microsecond // a step without any work
	stepDurationPerStream       = 37 * time.Microsecond   // added for each running stream
	prefillChunkTokens          = 2048                    // most prompt tokens prefilled in a step
	prefillTokensPerMillisecond = 49.6
	tokensPerEvent              = 4 // tokens in a stream event
	maxQueuedPerSlot            = 3 // sequences that may wait at an engine, for each of its slots
)

// sequence is one attempt of a request at an engine.
type sequence struct {
	instance                               int // index of the instance that sent it
	id                                     uint64
	isLong                                 bool // whether the prompt is a long one
	arrivedAt                              time.Time
	remainingPromptTokens, generatedTokens int
	outputTokens                           int // tokens to generate in total
	timeToFirstToken                       time.Duration
	lastEventAt                            time.Time     // when the latest stream event was sent
	longestPause                           time.Duration // longest time between two stream events
	blocks                                 []placer.PromptBlock
	promptTokens                           int
}

// generateToken adds one output token and reports whether it completes a stream
// event. The last event may hold fewer than tokensPerEvent tokens.
func (s *sequence) generateToken(now time.Time) bool {
	s.generatedTokens++
	if s.generatedTokens%tokensPerEvent != 0 && s.generatedTokens < s.outputTokens {
		return false
	}
	s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	s.lastEventAt = now

	return true
}

// engine is one modelled engine.
type engine struct {
	slots                        int         // sequences that it works on at once
	waiting, prefilling, running []*sequence // waiting ones in the order of admission
	cachedBlocks                 map[uint64]bool
	stepEndsAt                   time.Time // when the current step ends
	// down: the engine has crashed and refuses connections. unresponsive: it keeps
	// its connections but sends nothing.
	down, unresponsive bool
	slowness           func(now time.Time) float64 // by which a step takes longer; nil for 1
	statedPace         func(now time.Time) int     // nil if it states none
}

// stepResult holds the sequences whose streams began, ended or sent an event in a
// step.
type stepResult struct {
	started, finished, sentEvent []*sequence
}

func newEngine(now time.Time, slots int) *engine {
	return &engine{slots: slots, cachedBlocks: map[uint64]bool{}, stepEndsAt: now}
}

// hasFreeSlot reports whether the engine would work on one more sequence at once.
func (e *engine) hasFreeSlot() bool {
	return !e.down && !e.unresponsive && len(e.waiting)+len(e.prefilling)+len(e.running) < e.slots
}

// isFull reports whether the engine refuses further sequences.
func (e *engine) isFull() bool {
	return len(e.waiting) >= maxQueuedPerSlot*e.slots
}

func (e *engine) isIdle() bool {
	return len(e.waiting)+len(e.prefilling)+len(e.running) == 0
}

// runStep runs one step: it admits waiting sequences to free slots, prefills a chunk
// of the first unfinished prompt and generates a token for each running stream.
func (e *engine) runStep(now time.Time) (result stepResult) {
	for len(e.waiting) > 0 && len(e.prefilling)+len(e.running) < e.slots {
		e.admit(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	duration := baseStepDuration + time.Duration(len(e.running))*stepDurationPerStream
	var prefilled *sequence
	if len(e.prefilling) > 0 {
		head := e.prefilling[0]
		chunk := min(prefillChunkTokens, head.remainingPromptTokens)
		head.remainingPromptTokens -= chunk
		duration += time.Duration(float64(chunk) / prefillTokensPerMillisecond * float64(time.Millisecond))
		if head.remainingPromptTokens == 0 {
			e.prefilling, prefilled = e.prefilling[1:], head
		}
	}
	if e.slowness != nil {
		duration = time.Duration(float64(duration) * e.slowness(now))
	}
	e.stepEndsAt = now.Add(duration)
	unfinished := e.running[:0]
	for _, s := range e.running {
		if s.generateToken(e.stepEndsAt) {
			result.sentEvent = append(result.sentEvent, s)
		}
		if s.generatedTokens >= s.outputTokens {
			result.finished = append(result.finished, s)
		} else {
			unfinished = append(unfinished, s)
		}
	}
	e.running = unfinished
	if prefilled != nil {
		e.startStream(prefilled)
		result.started = append(result.started, prefilled)
	}

	return result
}

// startStream generates the first token of a sequence whose prompt is prefilled, and
// caches the prompt's blocks.
func (e *engine) startStream(s *sequence) {
	s.generatedTokens = 1
	s.timeToFirstToken = e.stepEndsAt.Sub(s.arrivedAt)
	s.lastEventAt = e.stepEndsAt
	for _, block := range s.blocks {
		e.cachedBlocks[block.ID] = true
	}
	e.running = append(e.running, s)
}

// admit queues a sequence for prefill, less the prompt blocks that are cached.
func (e *engine) admit(s *sequence) {
	s.remainingPromptTokens = e.uncachedTokens(s.promptTokens, s.blocks)
	e.prefilling = append(e.prefilling, s)
}

// uncachedTokens returns how many tokens of a prompt are not cached, at least 1.
func (e *engine) uncachedTokens(promptTokens int, blocks []placer.PromptBlock) int {
	for _, block := range blocks {
		if !e.cachedBlocks[block.ID] {
			break
		}
		promptTokens -= block.Tokens
	}

	return max(1, promptTokens)
}

// pendingPrefillTokens returns the prompt tokens that the engine has yet to prefill.
func (e *engine) pendingPrefillTokens() int {
	sum := 0
	for _, s := range e.prefilling {
		sum += s.remainingPromptTokens
	}
	for _, s := range e.waiting {
		sum += e.uncachedTokens(s.promptTokens, s.blocks)
	}

	return sum
}

// removeAll removes all sequences from the engine and returns them.
func (e *engine) removeAll() []*sequence {
	all := append(append(e.running, e.prefilling...), e.waiting...)
	e.running, e.prefilling, e.waiting = nil, nil, nil

	return all
}
