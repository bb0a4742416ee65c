package emulator

import (
	"slices"
	"time"
)

const (
	// prefillSlice is the most time of one step that goes into prefill.
	prefillSlice = 10 * time.Millisecond
	// keepEnded is how long a finished stream can be read again.
	keepEnded = 30 * time.Second
	// maxBehind is how far the loop may fall behind before it gives up
	// catching up.
	maxBehind = 100 * time.Millisecond
	// idleEvery is how often an idle loop looks after finished streams.
	idleEvery = time.Second
)

// run makes steps until the engine is closed.
func (e *Emulator) run() {
	timer := time.NewTimer(idleEvery)
	defer timer.Stop()

	due := time.Now()
	for {
		now := time.Now()
		step, wait := e.prepare(now)
		if step == 0 {
			if !e.rest(timer, wait) {
				return
			}
			due = time.Now()

			continue
		}

		due = due.Add(step)
		if now.Sub(due) > maxBehind {
			due = now
		}
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-e.stop:
			return
		}
		e.step(time.Now())
	}
}

// rest waits for work or the time and reports whether the engine is still
// open.
func (e *Emulator) rest(timer *time.Timer, wait time.Duration) bool {
	timer.Reset(wait)
	select {
	case <-e.wake:
	case <-timer.C:
	case <-e.stop:
		return false
	}

	return true
}

// prepare forms the next batch and returns the time that its step takes, or
// zero and how long to rest.
func (e *Emulator) prepare(now time.Time) (step, wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.expire(now)
	if e.isDown(now) {
		return 0, min(idleEvery, e.upAt.Sub(now))
	}
	e.admit(now)
	if len(e.running) == 0 {
		e.keepReport(now)

		return 0, min(idleEvery, e.advanceOrders(now))
	}

	return e.stepTime(), 0
}

func (e *Emulator) isDown(now time.Time) bool {
	return e.upAt.After(now)
}

// expire forgets the streams that ended long ago.
func (e *Emulator) expire(now time.Time) {
	for len(e.ended) > 0 && now.Sub(e.ended[0].endedAt) > keepEnded {
		oldest := e.ended[0]
		e.ended[0] = nil
		e.ended = e.ended[1:]
		delete(e.streams, oldest.id)
		e.ids.add(oldest.id, progressOf(oldest), now)
	}
}

// admit fills the batch from the queue, highest priority first. The first
// that does not fit holds back those behind it.
func (e *Emulator) admit(now time.Time) {
	for len(e.waiting.streams) > 0 && len(e.running) < e.settings.Slots {
		next := e.waiting.first()
		if e.orphaned(next, now) {
			e.audit.Orphaned++
			e.end(next, stateCancelled, now)

			continue
		}
		needed := next.prompt + next.made
		if e.used+needed+len(e.running) >= e.settings.KVTokens {
			return
		}
		if next.poisoned {
			e.audit.Started++
			e.crash(now, e.settings.CrashTime)

			return
		}
		e.start(next, needed)
	}
}

func (e *Emulator) start(next *stream, needed int) {
	e.waiting.remove(next)
	cached := min(e.cache.hits(next.blocks)*blockTokens, needed-1)
	next.unread = needed - cached
	next.held = needed
	next.state = stateRunning
	if !next.started {
		next.started = true
		e.audit.Started++
		e.audit.Cached += cached
	}
	e.used += needed
	e.running = append(e.running, next)
}

// orphaned reports whether nobody has read a stream for too long.
func (e *Emulator) orphaned(s *stream, now time.Time) bool {
	return len(s.readers) == 0 && now.Sub(s.abandoned) > e.settings.OrphanAfter
}

// stepTime returns how long a step of the batch takes.
func (e *Emulator) stepTime() time.Duration {
	decoding, unread := 0, 0
	for _, s := range e.running {
		if s.unread == 0 {
			decoding++
		}
		unread += s.unread
	}
	prefill := float64(min(unread, e.prefillChunk())) / e.settings.PrefillRate
	step := e.settings.BaseStepTime + time.Duration(decoding)*e.settings.StepTimePerSequence
	seconds := (step.Seconds() + prefill) / e.settings.SpeedFactor
	if e.faults.Slow > 1 {
		seconds *= e.faults.Slow
	}

	return max(time.Microsecond, time.Duration(seconds*float64(time.Second)))
}

// prefillChunk returns the most prompt tokens read in one step.
func (e *Emulator) prefillChunk() int {
	return max(1, int(e.settings.PrefillRate*prefillSlice.Seconds()))
}

// step ends a step: prompts were read and each sequence whose prompt is read
// made a token.
func (e *Emulator) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()

	budget := e.prefillChunk()
	made := 0
	e.batch = append(e.batch[:0], e.running...)
	slices.SortFunc(e.batch, compare) // The highest priority's prompts are read first.
	for _, s := range e.batch {
		if s.state != stateRunning { // Preempted for another one.
			continue
		}
		if e.orphaned(s, now) {
			e.audit.Orphaned++
			e.end(s, stateCancelled, now)

			continue
		}
		budget -= e.prefill(s, budget, now)
		if s.unread > 0 {
			continue
		}
		made++
		e.make(s, now)
	}
	e.audit.GeneratedTokens += made
	e.reports.made(made, now)
	e.keepReport(now)
}

// prefill reads up to budget tokens of a stream's prompt.
func (e *Emulator) prefill(s *stream, budget int, now time.Time) int {
	if s.unread == 0 {
		return 0
	}
	read := min(s.unread, budget)
	s.unread -= read
	e.audit.Prefilled += read
	if s.unread == 0 {
		e.cache.store(s.blocks, now, e.losesEvent)
	}

	return read
}

func (e *Emulator) losesEvent() bool {
	share := e.settings.CacheEventLossFraction
	if e.faults.CacheGap > 0 {
		share = e.faults.CacheGap
	}

	return share > 0 && e.random.Float64() < share
}

// make adds a token to a stream.
func (e *Emulator) make(s *stream, now time.Time) {
	s.made++
	s.held++
	e.used++
	if s.made == s.length {
		e.audit.Finished++
		e.end(s, stateFinished, now)

		return
	}
	s.notify()
	for e.used > e.settings.KVTokens {
		e.preempt(e.victim())
	}
}

// victim returns the running stream to preempt: the lowest priority's newest.
func (e *Emulator) victim() *stream {
	last := e.running[0]
	for _, s := range e.running[1:] {
		if last.before(s) {
			last = s
		}
	}

	return last
}

// preempt frees a stream's memory; its tokens are recomputed when it runs
// again.
func (e *Emulator) preempt(s *stream) {
	e.audit.Preemptions++
	e.audit.RecomputedTokens += s.held - s.unread
	e.leave(s)
	s.state = stateQueued
	e.waiting.add(s)
}

// leave takes a stream out of the batch.
func (e *Emulator) leave(s *stream) {
	for i := range e.running {
		if e.running[i] == s {
			e.running = append(e.running[:i], e.running[i+1:]...)

			break
		}
	}
	e.used -= s.held
	s.held = 0
	s.unread = 0
}

// end ends a stream that is queued or running.
func (e *Emulator) end(s *stream, final state, now time.Time) {
	if s.state == stateRunning {
		e.leave(s)
	} else {
		e.waiting.remove(s)
	}
	s.state = final
	s.endedAt = now
	e.ended = append(e.ended, s)
	s.notify()
}
