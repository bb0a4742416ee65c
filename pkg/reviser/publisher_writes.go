package reviser

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// writeParts asks for the next parts, or for the head once all are written.
func (p *Publisher) writeParts(now time.Time) []Action {
	if len(p.missing) == 0 {
		return p.writeHead(now)
	}
	var actions []Action
	for i, hash := range slices.Sorted(maps.Keys(p.missing)) {
		if i >= MaximumWrites {
			break
		}
		write := p.missing[hash]
		if write.sent && now.Before(write.due) {
			continue
		}
		write.sent, write.due = true, now.Add(AnswerTimeout)
		actions = append(actions, WritePart{Part: write.value})
	}
	return actions
}

// OnPartWritten answers WritePart.
func (p *Publisher) OnPartWritten(now time.Time, hash string) []Action {
	if _, found := p.missing[hash]; !found || p.stage != stageParts {
		return nil
	}
	delete(p.missing, hash)
	return p.writeParts(now)
}

// OnPartWriteFailed answers WritePart when the write failed or may have: Tick
// repeats it, which is harmless as the name is the hash of the contents.
func (p *Publisher) OnPartWriteFailed(now time.Time, hash string) {
	if write, found := p.missing[hash]; found {
		write.due = now.Add(WriteRetry)
	}
}

func (p *Publisher) writeHead(now time.Time) []Action {
	p.stage = stageHead
	p.due = now.Add(AnswerTimeout)
	p.sending = p.head()
	return []Action{WriteHead{Head: p.sending, ExpectedVersion: p.stored.Version}}
}

// OnHeadWritten answers WriteHead with the head object's new version.
func (p *Publisher) OnHeadWritten(now time.Time, number, version uint64) []Action {
	if p.stage != stageHead || number != p.sending.Number {
		return nil
	}
	p.found(StoredHead{Version: version, Head: p.sending, Revision: p.next})
	actions := p.tell(now)
	return append(actions, p.compile(now)...)
}

// OnHeadWriteConflict answers WriteHead when the head was changed by another writer,
// or by an earlier write of one's own whose answer was lost.
//
// As the store itself may have been set back, a lower version is believed from
// now on.
func (p *Publisher) OnHeadWriteConflict(now time.Time) []Action {
	p.stored.Version = 0
	return p.reload(now)
}

// OnHeadWriteFailed answers WriteHead when the write failed or may have.
func (p *Publisher) OnHeadWriteFailed(now time.Time) []Action { return p.reload(now) }

// reload reads the head and compiles the same listing over what it finds.
func (p *Publisher) reload(now time.Time) []Action {
	if p.stage != stageHead {
		return nil
	}
	p.listed = true
	return p.load(now)
}

// tell queues the statuses that differ from what was told, before those that
// still wait: what an operator just wrote is told first.
func (p *Publisher) tell(now time.Time) []Action {
	var added []declarer.Key
	for _, verdict := range p.verdicts {
		key := verdict.Key()
		told := p.told[key]
		status := statusOf(verdict, p.stored.Head.Number, told)
		if status == told {
			delete(p.wanted, key)
			continue
		}
		if queued, found := p.wanted[key]; !found || queued.Generation != status.Generation {
			added = append(added, key)
		}
		p.wanted[key] = status
	}
	p.statuses = append(added, p.statuses...)
	return p.writeStatuses(now)
}

// writeStatuses keeps up to MaximumWrites statuses being written, at StatusRate
// at most.
func (p *Publisher) writeStatuses(now time.Time) []Action {
	p.retryStatuses(now)
	p.refill(now)
	var actions []Action
	for len(p.statuses) > 0 && len(p.writing) < MaximumWrites && p.allowed >= 1 {
		key := p.statuses[0]
		p.statuses = p.statuses[1:]
		status, wanted := p.wanted[key]
		if _, busy := p.writing[key]; busy || !wanted {
			continue
		}
		p.allowed--
		p.writing[key] = now.Add(AnswerTimeout)
		actions = append(actions, WriteStatus{Key: key, Status: status})
	}
	return actions
}

// retryStatuses queues the writes again that failed or were not answered.
func (p *Publisher) retryStatuses(now time.Time) {
	for _, key := range slices.SortedFunc(maps.Keys(p.writing), declarer.Key.Compare) {
		if !now.Before(p.writing[key]) {
			delete(p.writing, key)
			p.statuses = append(p.statuses, key)
		}
	}
}

func (p *Publisher) refill(now time.Time) {
	if elapsed := now.Sub(p.refilled).Seconds(); elapsed > 0 {
		p.allowed = min(StatusBurst, p.allowed+elapsed*StatusRate)
		p.refilled = now
	}
}

// OnStatusWritten answers WriteStatus.
func (p *Publisher) OnStatusWritten(now time.Time, key declarer.Key, status Status) []Action {
	if p.stage == stageIdle {
		return nil
	}
	delete(p.writing, key)
	p.told[key] = status
	if wanted, found := p.wanted[key]; found && wanted == status {
		delete(p.wanted, key)
	} else if found {
		p.statuses = append(p.statuses, key)
	}
	return p.writeStatuses(now)
}

// OnStatusWriteFailed answers WriteStatus when the write failed: gone says that
// the resource no longer exists, otherwise Tick repeats it.
func (p *Publisher) OnStatusWriteFailed(now time.Time, key declarer.Key, gone bool) {
	if gone {
		delete(p.wanted, key)
		delete(p.writing, key)
		return
	}
	if _, busy := p.writing[key]; busy {
		p.writing[key] = now.Add(WriteRetry)
	}
}

// DeleteUnusedParts takes the versions of the parts found in the store, by hash, and
// deletes those that no recent revision uses. It does so only after a head was
// written under this lease, when no older holder's head can take effect.
func (p *Publisher) DeleteUnusedParts(found map[string]uint64) []Action {
	if !p.wrote || p.stage != stageReady {
		return nil
	}
	needed := make(map[string]bool)
	for _, hashes := range append(p.recent, p.stored.Head.PartHashes) {
		for _, hash := range hashes {
			needed[hash] = true
		}
	}
	var actions []Action
	for _, hash := range slices.Sorted(maps.Keys(found)) {
		if !needed[hash] {
			actions = append(actions, DeletePart{Hash: hash, ExpectedVersion: found[hash]})
		}
	}
	return actions
}
