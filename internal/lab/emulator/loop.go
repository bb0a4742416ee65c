package emulator

import (
	"slices"
	"time"
)

const (
	// maxPrefillTimePerStep is the maximum time of one step spent on prefill, at
	// Settings.SpeedFactor 1.
	maxPrefillTimePerStep = 10 * time.Millisecond
	// endedStreamTTL is how long an ended stream is kept, so that it can be read again.
	endedStreamTTL = 30 * time.Second
	// maxLoopLag is how far the loop may fall behind schedule before it drops the
	// backlog instead of catching up.
	maxLoopLag = 100 * time.Millisecond
	// idleInterval is the longest that an idle loop waits before it expires ended
	// streams again.
	idleInterval = time.Second
)

// runLoop runs one batch step after another until the engine is closed.
func (e *Emulator) runLoop() {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()

	due := time.Now() // End of the current step.
	for {
		now := time.Now()
		duration, wait := e.prepareStep(now)
		if duration == 0 {
			if !e.waitIdle(timer, wait) {
				return
			}
			due = time.Now()

			continue
		}

		due = due.Add(duration)
		if now.Sub(due) > maxLoopLag {
			due = now
		}
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-e.stop:
			return
		}
		e.completeStep(time.Now())
	}
}

// waitIdle waits for a signal of work, but at most the given time, and reports
// whether the engine is still open.
func (e *Emulator) waitIdle(timer *time.Timer, wait time.Duration) bool {
	timer.Reset(wait)
	select {
	case <-e.wake:
	case <-timer.C:
	case <-e.stop:
		return false
	}

	return true
}

// prepareStep forms the next batch and returns the duration of its step. If no
// sequence can run, the duration is zero and wait says how long to stay idle.
func (e *Emulator) prepareStep(now time.Time) (duration, wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.expireEndedStreams(now)
	if e.isDownAt(now) {
		return 0, min(idleInterval, e.downUntil.Sub(now))
	}
	e.fillBatch(now)
	if len(e.running) == 0 {
		e.recordReport(now)

		return 0, min(idleInterval, e.advanceModelLoad(now))
	}

	return e.stepDuration(), 0
}

func (e *Emulator) isDownAt(now time.Time) bool {
	return e.downUntil.After(now)
}

// expireEndedStreams drops the streams that ended more than endedStreamTTL ago and
// leaves a tombstone for each.
func (e *Emulator) expireEndedStreams(now time.Time) {
	for len(e.endedStreams) > 0 && now.Sub(e.endedStreams[0].endedAt) > endedStreamTTL {
		oldest := e.endedStreams[0]
		e.endedStreams[0] = nil
		e.endedStreams = e.endedStreams[1:]
		delete(e.streams, oldest.id)
		e.tombstones.add(oldest.id, statusOf(oldest), now)
	}
}

// fillBatch moves streams from the queue into the batch, highest priority first.
// It stops at the first stream that does not fit into memory, so that smaller
// streams behind it do not overtake it.
func (e *Emulator) fillBatch(now time.Time) {
	for len(e.waitQueue.streams) > 0 && len(e.running) < e.settings.Slots {
		next := e.waitQueue.peek()
		if e.isOrphaned(next, now) {
			e.audit.Orphaned++
			e.endStream(next, stateCancelled, now)

			continue
		}
		neededTokens := next.promptTokens + next.generatedTokens
		if e.usedTokens+neededTokens+len(e.running) >= e.settings.KVTokens {
			return
		}
		if next.isPoison {
			e.audit.Started++
			e.crash(now, e.settings.PoisonDowntime)

			return
		}
		e.startStream(next, neededTokens)
	}
}

// startStream moves a stream from the queue into the batch. Its prefill leaves out
// the blocks that the prefix cache holds, but computes at least one token.
func (e *Emulator) startStream(s *stream, neededTokens int) {
	e.waitQueue.remove(s)
	cachedTokens := min(e.prefixCache.matchPrefix(s.prefixHashes)*blockTokens, neededTokens-1)
	s.remainingPrefill = neededTokens - cachedTokens
	s.kvTokens = neededTokens
	s.state = stateRunning
	if !s.hasStarted {
		s.hasStarted = true
		e.audit.Started++
		e.audit.CachedTokens += cachedTokens
	}
	e.usedTokens += neededTokens
	e.running = append(e.running, s)
}

// isOrphaned reports whether a stream has had no subscriber for longer than
// Settings.OrphanTimeout.
func (e *Emulator) isOrphaned(s *stream, now time.Time) bool {
	return len(s.subscribers) == 0 && now.Sub(s.lastUnsubscribedAt) > e.settings.OrphanTimeout
}

// stepDuration returns the duration of a step of the current batch: the base
// time, the time of each decoding sequence and the time of the prefill.
func (e *Emulator) stepDuration() time.Duration {
	decodingCount, pendingPrefill := 0, 0
	for _, s := range e.running {
		if s.remainingPrefill == 0 {
			decodingCount++
		}
		pendingPrefill += s.remainingPrefill
	}
	prefillSeconds := float64(min(pendingPrefill, e.maxPrefillTokensPerStep())) / e.settings.PrefillRate
	decodeTime := e.settings.BaseStepTime + time.Duration(decodingCount)*e.settings.StepTimePerSequence
	seconds := (decodeTime.Seconds() + prefillSeconds) / e.settings.SpeedFactor
	if e.faults.Slow > 1 {
		seconds *= e.faults.Slow
	}

	return max(time.Microsecond, time.Duration(seconds*float64(time.Second)))
}

// maxPrefillTokensPerStep returns the maximum number of tokens prefilled in one
// step.
func (e *Emulator) maxPrefillTokensPerStep() int {
	return max(1, int(e.settings.PrefillRate*maxPrefillTimePerStep.Seconds()))
}

// completeStep applies the results of a step: it advances prefills within the
// step's token budget and adds a token to each sequence whose prefill is done.
func (e *Emulator) completeStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()

	prefillBudget := e.maxPrefillTokensPerStep()
	generated := 0
	e.stepBatch = append(e.stepBatch[:0], e.running...)
	slices.SortFunc(e.stepBatch, compareStreams) // Prefill of the highest priority comes first.
	for _, s := range e.stepBatch {
		if s.state != stateRunning { // Preempted earlier in this step.
			continue
		}
		if e.isOrphaned(s, now) {
			e.audit.Orphaned++
			e.endStream(s, stateCancelled, now)

			continue
		}
		prefillBudget -= e.prefill(s, prefillBudget, now)
		if s.remainingPrefill > 0 {
			continue
		}
		generated++
		e.generateToken(s, now)
	}
	e.audit.GeneratedTokens += generated
	e.reportHistory.recordTokens(generated, now)
	e.recordReport(now)
}

// prefill processes up to budget tokens of a stream's prompt and returns how many
// it processed. When the last one is processed, the prompt enters the prefix cache.
func (e *Emulator) prefill(s *stream, budget int, now time.Time) int {
	if s.remainingPrefill == 0 {
		return 0
	}
	processed := min(s.remainingPrefill, budget)
	s.remainingPrefill -= processed
	e.audit.PrefilledTokens += processed
	if s.remainingPrefill == 0 {
		e.prefixCache.store(s.prefixHashes, now, e.drawEventLoss)
	}

	return processed
}

// drawEventLoss draws whether a cache event is lost instead of published.
func (e *Emulator) drawEventLoss() bool {
	lossFraction := e.settings.CacheEventLossFraction
	if e.faults.CacheGap > 0 {
		lossFraction = e.faults.CacheGap
	}

	return lossFraction > 0 && e.rng.Float64() < lossFraction
}

// generateToken adds a token to a stream and ends the stream after its last one.
// It preempts streams while the KV memory is over its capacity.
func (e *Emulator) generateToken(s *stream, now time.Time) {
	s.generatedTokens++
	s.kvTokens++
	e.usedTokens++
	if s.generatedTokens == s.answerTokens {
		e.audit.Finished++
		e.endStream(s, stateFinished, now)

		return
	}
	s.notifySubscribers()
	for e.usedTokens > e.settings.KVTokens {
		e.preempt(e.preemptionVictim())
	}
}

// preemptionVictim returns the running stream to preempt: the newest of the lowest
// priority.
func (e *Emulator) preemptionVictim() *stream {
	victim := e.running[0]
	for _, s := range e.running[1:] {
		if victim.isBefore(s) {
			victim = s
		}
	}

	return victim
}

// preempt frees the KV memory of a running stream and queues it again. Its tokens
// are recomputed when it runs again.
func (e *Emulator) preempt(s *stream) {
	e.audit.Preemptions++
	e.audit.RecomputedTokens += s.kvTokens - s.remainingPrefill
	e.removeFromBatch(s)
	s.state = stateQueued
	e.waitQueue.add(s)
}

// removeFromBatch removes a stream from the batch and frees its KV memory.
func (e *Emulator) removeFromBatch(s *stream) {
	for i := range e.running {
		if e.running[i] == s {
			e.running = append(e.running[:i], e.running[i+1:]...)

			break
		}
	}
	e.usedTokens -= s.kvTokens
	s.kvTokens = 0
	s.remainingPrefill = 0
}

// endStream puts a queued or running stream into a final state and notifies its
// subscribers.
func (e *Emulator) endStream(s *stream, final streamState, now time.Time) {
	if s.state == stateRunning {
		e.removeFromBatch(s)
	} else {
		e.waitQueue.remove(s)
	}
	s.state = final
	s.endedAt = now
	e.endedStreams = append(e.endedStreams, s)
	s.notifySubscribers()
}
