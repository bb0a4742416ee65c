package reviser

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// writeParts writes the next parts, or the head once all parts are written.
func (p *Publisher) writeParts(now time.Time) []Action {
	if len(p.unwrittenParts) == 0 {
		return p.writeHead(now)
	}
	var actions []Action
	for i, hash := range slices.Sorted(maps.Keys(p.unwrittenParts)) {
		if i >= MaxConcurrentWrites {
			break
		}
		write := p.unwrittenParts[hash]
		if write.sent && now.Before(write.retryAt) {
			continue
		}
		write.sent, write.retryAt = true, now.Add(AnswerTimeout)
		actions = append(actions, WritePart{Part: write.value})
	}
	return actions
}

// OnPartWritten handles the success of a WritePart.
func (p *Publisher) OnPartWritten(now time.Time, hash string) []Action {
	if _, found := p.unwrittenParts[hash]; !found || p.stage != stageWritingParts {
		return nil
	}
	delete(p.unwrittenParts, hash)
	return p.writeParts(now)
}

// OnPartWriteFailed handles a WritePart that failed or is in doubt. Tick repeats it, which
// is harmless because a part is stored under the hash of its contents.
func (p *Publisher) OnPartWriteFailed(now time.Time, hash string) {
	if write, found := p.unwrittenParts[hash]; found {
		write.retryAt = now.Add(RetryDelay)
	}
}

// writeHead begins to write the head of the next revision.
func (p *Publisher) writeHead(now time.Time) []Action {
	p.stage = stageWritingHead
	p.retryAt = now.Add(AnswerTimeout)
	p.nextHead = p.createNextHead()
	return []Action{WriteHead{Head: p.nextHead, ExpectedVersion: p.storedHead.Version}}
}

// OnHeadWritten handles the success of a WriteHead with the revision's number and the
// head object's new version. The statuses are written next.
func (p *Publisher) OnHeadWritten(now time.Time, number, version uint64) []Action {
	if p.stage != stageWritingHead || number != p.nextHead.Number {
		return nil
	}
	p.setStoredHead(StoredHead{Version: version, Head: p.nextHead, Revision: p.nextRevision})
	actions := p.queueStatuses(now)
	return append(actions, p.compileListing(now)...)
}

// OnHeadWriteConflict handles a WriteHead that failed because the head has another version.
// Another writer changed it, or an earlier write by this publisher whose answer was
// lost.
//
// The store may also have been restored to an older state, so the next read of the
// head may return a lower version.
func (p *Publisher) OnHeadWriteConflict(now time.Time) []Action {
	p.storedHead.Version = 0
	return p.reloadHead(now)
}

// OnHeadWriteFailed handles a WriteHead that failed or is in doubt by reading the head.
func (p *Publisher) OnHeadWriteFailed(now time.Time) []Action { return p.reloadHead(now) }

// reloadHead reads the head again, after which the same listing is compiled again.
func (p *Publisher) reloadHead(now time.Time) []Action {
	if p.stage != stageWritingHead {
		return nil
	}
	p.needsCompile = true
	return p.loadHead(now)
}

// queueStatuses queues the statuses that differ from those in the store. They go ahead
// of those already queued, so that an operator's latest change gets its status first.
func (p *Publisher) queueStatuses(now time.Time) []Action {
	var added []declarer.Key
	for _, verdict := range p.verdicts {
		key := verdict.Key()
		known := p.knownStatuses[key]
		status := newStatus(verdict, p.storedHead.Head.Number, known)
		if status == known {
			delete(p.pendingStatuses, key)
			continue
		}
		if queued, found := p.pendingStatuses[key]; !found || queued.Generation != status.Generation {
			added = append(added, key)
		}
		p.pendingStatuses[key] = status
	}
	p.statusQueue = append(added, p.statusQueue...)
	return p.writeStatuses(now)
}

// writeStatuses writes queued statuses, at most MaxConcurrentWrites at once and
// MaxStatusesPerSecond a second.
func (p *Publisher) writeStatuses(now time.Time) []Action {
	p.requeueOverdueStatuses(now)
	p.refillStatusAllowance(now)
	var actions []Action
	for len(p.statusQueue) > 0 && len(p.statusRetryTimes) < MaxConcurrentWrites && p.statusAllowance >= 1 {
		key := p.statusQueue[0]
		p.statusQueue = p.statusQueue[1:]
		status, isPending := p.pendingStatuses[key]
		if _, inFlight := p.statusRetryTimes[key]; inFlight || !isPending {
			continue
		}
		p.statusAllowance--
		p.statusRetryTimes[key] = now.Add(AnswerTimeout)
		actions = append(actions, WriteStatus{Key: key, Status: status})
	}
	return actions
}

// requeueOverdueStatuses queues the statuses again whose writes failed or were not
// answered in time.
func (p *Publisher) requeueOverdueStatuses(now time.Time) {
	for _, key := range slices.SortedFunc(maps.Keys(p.statusRetryTimes), declarer.Key.Compare) {
		if !now.Before(p.statusRetryTimes[key]) {
			delete(p.statusRetryTimes, key)
			p.statusQueue = append(p.statusQueue, key)
		}
	}
}

// refillStatusAllowance adds what the rate allows for the time since the last call, up
// to MaxStatusBurst.
func (p *Publisher) refillStatusAllowance(now time.Time) {
	if elapsed := now.Sub(p.allowanceUpdatedAt).Seconds(); elapsed > 0 {
		p.statusAllowance = min(MaxStatusBurst, p.statusAllowance+elapsed*MaxStatusesPerSecond)
		p.allowanceUpdatedAt = now
	}
}

// OnStatusWritten handles the success of a WriteStatus.
func (p *Publisher) OnStatusWritten(now time.Time, key declarer.Key, status Status) []Action {
	if p.stage == stageIdle {
		return nil
	}
	delete(p.statusRetryTimes, key)
	p.knownStatuses[key] = status
	if pending, found := p.pendingStatuses[key]; found && pending == status {
		delete(p.pendingStatuses, key)
	} else if found {
		p.statusQueue = append(p.statusQueue, key)
	}
	return p.writeStatuses(now)
}

// OnStatusWriteFailed handles a failed WriteStatus. If the resource no longer exists, gone
// is true and the status is dropped; otherwise Tick repeats the write.
func (p *Publisher) OnStatusWriteFailed(now time.Time, key declarer.Key, gone bool) {
	if gone {
		delete(p.pendingStatuses, key)
		delete(p.statusRetryTimes, key)
		return
	}
	if _, inFlight := p.statusRetryTimes[key]; inFlight {
		p.statusRetryTimes[key] = now.Add(RetryDelay)
	}
}

// DeleteUnusedParts deletes the stored parts that no recent revision uses.
// storedVersions holds the versions of the parts in the store by hash. It deletes
// nothing before a head was written under this lease, because until then an older
// holder's head may still take effect.
func (p *Publisher) DeleteUnusedParts(storedVersions map[string]uint64) []Action {
	if !p.hasWrittenHead || p.stage != stageReady {
		return nil
	}
	needed := make(map[string]bool)
	for _, hashes := range append(p.recentPartHashes, p.storedHead.Head.PartHashes) {
		for _, hash := range hashes {
			needed[hash] = true
		}
	}
	var actions []Action
	for _, hash := range slices.Sorted(maps.Keys(storedVersions)) {
		if !needed[hash] {
			actions = append(actions, DeletePart{Hash: hash, ExpectedVersion: storedVersions[hash]})
		}
	}
	return actions
}
