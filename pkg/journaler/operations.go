package journaler

import (
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// findOrAddShard returns the state of the shard with the name, and adds it if it is
// new. If there are MaxCachedShards already, the least recently used idle one is
// evicted first.
func (j *Journaler) findOrAddShard(now time.Time, name string) *shard {
	s, ok := j.shards[name]
	if !ok {
		j.evictIdleShard()
		s = &shard{name: name}
		j.shards[name] = s
		j.shardsByAge = append(j.shardsByAge, s)
	}
	s.lastUsedAt = now

	return s
}

// evictIdleShard removes the least recently used idle shard from memory if
// MaxCachedShards is reached. A shard with calls, outcomes or an operation in
// flight is never removed.
func (j *Journaler) evictIdleShard() {
	if len(j.shardsByAge) < j.settings.MaxCachedShards {
		return
	}
	leastRecent := -1
	for i, s := range j.shardsByAge {
		if s.isIdle() && (leastRecent < 0 || s.lastUsedAt.Before(j.shardsByAge[leastRecent].lastUsedAt)) {
			leastRecent = i
		}
	}
	if leastRecent < 0 {
		return
	}
	delete(j.shards, j.shardsByAge[leastRecent].name)
	j.shardsByAge = slices.Delete(j.shardsByAge, leastRecent, leastRecent+1)
}

// startDueOperations starts the store operations that are due. Writes begin no
// earlier than nextWriteAt and with the shard that has waited longest. Reads for
// duplicates that wait for an outcome are not limited by nextWriteAt.
func (j *Journaler) startDueOperations(now time.Time) []Action {
	var actions []Action
	for !now.Before(j.nextWriteAt) {
		s := j.oldestDueShard(now)
		if s == nil {
			break
		}
		j.nextWriteAt = now.Add(j.minWriteInterval())
		if !s.mayBeCurrent || j.contended {
			actions = append(actions, j.startRead(s, true)...)
			continue
		}
		actions = append(actions, j.startWrite(now, s)...)
	}
	for _, s := range j.shardsByAge {
		if s.operation == noOperation && !s.pollAt.IsZero() && !now.Before(later(s.pollAt, s.retryAt)) {
			actions = append(actions, j.startRead(s, false)...)
		}
	}

	return actions
}

// oldestDueShard returns the shard whose write has been due for the longest time;
// nil if no write is due.
func (j *Journaler) oldestDueShard(now time.Time) *shard {
	var oldest *shard
	oldestNeededAt := time.Time{}
	for _, s := range j.shardsByAge {
		if !s.isWriteDue(now) {
			continue
		}
		if neededAt := s.writeNeededAt(); oldest == nil || neededAt.Before(oldestNeededAt) {
			oldest, oldestNeededAt = s, neededAt
		}
	}

	return oldest
}

// startRead starts to read a shard. If writeAfterRead is true, a write follows even
// if it is not due yet.
func (j *Journaler) startRead(s *shard, writeAfterRead bool) []Action {
	s.operation = readInFlight
	s.writeAfterRead = writeAfterRead
	s.pollAt = time.Time{}

	return []Action{Read{Shard: s.name}}
}

// startWrite starts a write with all queued intents and all outcomes, if there are
// any. It also returns the actions for calls that need no intent or cannot write
// one.
func (j *Journaler) startWrite(now time.Time, s *shard) []Action {
	epoch := s.contents.Epoch
	for _, pending := range s.callsIn(stageQueued) {
		epoch = max(epoch, pending.epoch)
	}
	contents := s.contents.copyForEpoch(epoch)
	outcomesAdded := j.addOutcomes(now, s, contents)
	actions, intentsAdded := j.addIntents(now, s, contents)
	if !outcomesAdded && !intentsAdded {
		return actions
	}
	s.operation = writeInFlight
	s.contentsInFlight = contents

	return append(actions, Write{Shard: s.name, ExpectedVersion: s.version, Contents: contents.encode()})
}

// addOutcomes adds the outcomes to the contents of a write and reports whether it
// added any. It drops an outcome of an older epoch, one whose record has another
// intent or already an outcome, and one whose intent did not appear in the store in
// time.
func (j *Journaler) addOutcomes(now time.Time, s *shard, contents *shardContents) bool {
	added := false
	size := contents.maxEncodedSize()
	s.pendingOutcomes = slices.DeleteFunc(s.pendingOutcomes, func(outcome *pendingOutcome) bool {
		r, ok := contents.Records[outcome.recordKey]
		switch {
		case outcome.epoch < contents.Epoch:
			return true
		case !ok:
			// The intent may still appear, by a write whose answer was lost.
			return !j.rescheduleOutcome(now, outcome)
		case r.Token != outcome.token || r.State != 0:
			return true
		}
		maxBodyBytes := min(j.settings.MaxAnswerBytes, j.settings.MaxShardBytes/2-size)
		updated := r.withResult(outcome.result, maxBodyBytes)
		size += updated.maxEncodedSize() - r.maxEncodedSize()
		contents.Records[outcome.recordKey] = updated
		outcome.inFlight = true
		added = true

		return false
	})

	return added
}

// rescheduleOutcome sets when the write of an outcome without an intent is tried
// again. It reports false once MissingIntentTimeout has passed.
func (j *Journaler) rescheduleOutcome(now time.Time, outcome *pendingOutcome) bool {
	if outcome.discardAt.IsZero() {
		outcome.discardAt = now.Add(j.settings.MissingIntentTimeout)
	}
	outcome.writeAt = now.Add(j.settings.OutcomeWriteDelay)

	return now.Before(outcome.discardAt)
}

// addIntents adds the intents of the queued calls to the contents of a write and
// reports whether it added any. It also returns the actions for calls that need no
// intent or for which the shard has no space.
func (j *Journaler) addIntents(now time.Time, s *shard, contents *shardContents) ([]Action, bool) {
	var actions []Action
	added := false
	size := contents.maxEncodedSize()
	for _, pending := range s.callsIn(stageQueued) {
		meaning, _ := j.lookUp(s, contents, pending)
		if meaning != lookupAbsent {
			actions = append(actions, j.applyToCall(now, s, contents, pending)...)
			continue
		}
		if pending.token == "" {
			pending.token = hashParts(j.instanceID, j.newToken())
		}
		r := record{
			Fingerprint:     pending.fingerprint,
			Token:           pending.token,
			IntentUnixMilli: now.UnixMilli(),
			Attempt:         pending.call.Attempt,
		}
		size += r.maxEncodedSize()
		if size > j.settings.MaxShardBytes {
			actions = append(actions, j.refuseShardFull(now, s, pending))
			continue
		}
		contents.Records[pending.recordKey] = r
		pending.stage = stageWritingIntent
		added = true
	}

	return actions, added
}

// refuseShardFull refuses a call whose intent does not fit into MaxShardBytes.
func (j *Journaler) refuseShardFull(now time.Time, s *shard, pending *pendingCall) Action {
	err := answerer.New(answerer.KindLimited, "The journal has no room for more calls at this time.")
	j.discardCall(now, s, pending)

	return Refuse{ID: pending.call.ID, Error: pending.call.AdjustRefusal(err)}
}

// backOff delays the next operation of a shard after a failure, for a time that
// doubles with each failure up to PollInterval.
func (j *Journaler) backOff(now time.Time, s *shard) {
	delay := j.settings.InitialBackoff << min(s.consecutiveFailures, maxBackoffDoublings)
	s.consecutiveFailures++
	s.retryAt = now.Add(min(delay, max(j.settings.PollInterval, j.settings.InitialBackoff)))
}

// maxBackoffDoublings is the maximum number of times that the backoff doubles.
const maxBackoffDoublings = 10
