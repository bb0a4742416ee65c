package reviser

import (
	"slices"
	"time"
)

// Limits and timing of an Applier.
const (
	// MaxPendingHeads is the largest number of newer heads whose parts are collected
	// at once.
	MaxPendingHeads = 4
	// MaxSourcesPerHead is the largest number of sources that are kept for a head.
	MaxSourcesPerHead = 8
	// MaxFetchesPerHead is the largest number of parts of one head that are fetched
	// at once.
	MaxFetchesPerHead = 16
	// FetchTimeout is the time after which an unanswered fetch of a part is repeated.
	FetchTimeout = 2 * time.Second
)

// Applier decides which revision one instance puts in force. It only applies a
// revision whose number is higher than that of the revision in force.
type Applier struct {
	applied      Revision
	appliedHead  Head
	pendingHeads []*pendingHead           // By number, highest first.
	parts        map[string]Part          // By hash.
	fetches      map[string]*pendingFetch // By the part's hash.
	// refusedHead is the last head whose parts could not be decoded. It is ignored
	// when it is received again.
	refusedHead Head
}

// pendingHead is a head whose parts are being collected.
type pendingHead struct {
	head    Head
	sources []string
}

// pendingFetch is a part that has been requested and has not arrived.
type pendingFetch struct {
	source   string
	attempts int
	retryAt  time.Time
}

// New returns an applier with no revision in force.
func New() *Applier {
	return &Applier{parts: make(map[string]Part), fetches: make(map[string]*pendingFetch)}
}

// RevisionNumber returns the number of the revision in force, 0 if there is none.
func (a *Applier) RevisionNumber() uint64 { return a.applied.Number }

// Head returns the head of the revision in force, to send to peers.
func (a *Applier) Head() Head { return a.appliedHead }

// Revision returns the revision in force.
func (a *Applier) Revision() Revision { return a.applied }

// Part returns a part of the revision in force or of a newer one that is being
// collected, to send to peers. It returns false if there is no such part.
func (a *Applier) Part(hash string) (Part, bool) {
	part, found := a.parts[hash]
	return part, found
}

// ReceiveHead records a head that was read from the store or received from a peer. It
// returns the fetches of missing parts, the revision to apply, or a refusal.
func (a *Applier) ReceiveHead(now time.Time, head Head, source string) []Action {
	if err := head.validate(); err != nil {
		return []Action{ReportRefusal{RevisionNumber: head.Number, Source: source, Reason: err.Error()}}
	}
	if head.Number <= a.applied.Number {
		return a.refuseConflictingHead(head, source)
	}
	if head.IsSameRevision(a.refusedHead) {
		return nil
	}
	a.recordHead(head, source)
	return a.applyAndFetch(now)
}

// refuseConflictingHead refuses a different revision with the number of the one in
// force. Heads with lower numbers are ignored.
func (a *Applier) refuseConflictingHead(head Head, source string) []Action {
	if head.Number == a.applied.Number && !head.IsSameRevision(a.appliedHead) {
		return []Action{ReportRefusal{RevisionNumber: head.Number, Source: source, Reason: "another revision with this number is in force"}}
	}
	return nil
}

// recordHead adds the head to the pending ones, or the source to the known head.
func (a *Applier) recordHead(head Head, source string) {
	index := slices.IndexFunc(a.pendingHeads, func(p *pendingHead) bool { return p.head.Number == head.Number })
	if index < 0 {
		a.pendingHeads = append(a.pendingHeads, &pendingHead{head: head, sources: []string{source}})
		slices.SortFunc(a.pendingHeads, func(x, y *pendingHead) int { return compareUnequal(y.head.Number, x.head.Number) })
		a.pendingHeads = a.pendingHeads[:min(len(a.pendingHeads), MaxPendingHeads)]
		return
	}
	known := a.pendingHeads[index]
	if !known.head.IsSameRevision(head) {
		if source == SourceStore { // The head in the store is the one that took effect.
			a.pendingHeads[index] = &pendingHead{head: head, sources: []string{source}}
		}
		return
	}
	if !slices.Contains(known.sources, source) && len(known.sources) < MaxSourcesPerHead {
		known.sources = append(known.sources, source)
	}
}

// OnPartFetched handles the answer to a FetchPart. A part that does not match its hash
// is refused and fetched from the next source.
func (a *Applier) OnPartFetched(now time.Time, part Part) []Action {
	fetch, found := a.fetches[part.Hash]
	if !found {
		return nil
	}
	if !part.IsIntact() {
		fetch.retryAt = now
		refusal := ReportRefusal{Source: fetch.source, Reason: "the contents of part " + part.Hash + " do not match its hash"}
		return append([]Action{refusal}, a.applyAndFetch(now)...)
	}
	delete(a.fetches, part.Hash)
	a.parts[part.Hash] = part
	return a.applyAndFetch(now)
}

// OnPartFetchFailed handles a failed FetchPart. Once half of FetchTimeout has passed, the
// part is fetched again, from another source if there is one.
func (a *Applier) OnPartFetchFailed(now time.Time, hash string) {
	if fetch, found := a.fetches[hash]; found {
		fetch.retryAt = now.Add(FetchTimeout / 2)
	}
}

// Tick repeats the fetches of parts that did not arrive in time.
func (a *Applier) Tick(now time.Time) []Action { return a.applyAndFetch(now) }

// applyAndFetch applies the highest head whose parts are complete and fetches the
// missing parts of the others.
func (a *Applier) applyAndFetch(now time.Time) []Action {
	actions := a.applyHighestComplete()
	a.dropUnneeded()
	for _, pending := range a.pendingHeads {
		actions = append(actions, a.fetchMissingParts(now, pending)...)
	}
	return actions
}

// applyHighestComplete applies the highest pending head that has all its parts, and
// drops it and those below. A head whose parts cannot be decoded is refused; the others
// are kept.
func (a *Applier) applyHighestComplete() []Action {
	var actions []Action
	for i := 0; i < len(a.pendingHeads); i++ {
		head := a.pendingHeads[i].head
		parts, complete := a.collectParts(head)
		if !complete {
			continue
		}
		revision, err := Assemble(a.applied, head, parts)
		if err != nil {
			actions = append(actions, ReportRefusal{RevisionNumber: head.Number, Reason: err.Error()})
			a.refusedHead = head
			a.pendingHeads = slices.Delete(a.pendingHeads, i, i+1)
			i--
			continue
		}
		a.applied, a.appliedHead = revision, head
		a.pendingHeads = a.pendingHeads[:i]
		return append(actions, ApplyRevision{Revision: revision})
	}
	return actions
}

// collectParts returns the parts of the head, or false if one is missing.
func (a *Applier) collectParts(head Head) ([]Part, bool) {
	parts := make([]Part, 0, len(head.PartHashes))
	for _, hash := range head.PartHashes {
		part, found := a.parts[hash]
		if !found {
			return nil, false
		}
		parts = append(parts, part)
	}
	return parts, true
}

// dropUnneeded drops parts and fetches that neither the head in force nor a pending
// head names.
func (a *Applier) dropUnneeded() {
	needed := make(map[string]bool)
	for _, hash := range a.appliedHead.PartHashes {
		needed[hash] = true
	}
	for _, pending := range a.pendingHeads {
		for _, hash := range pending.head.PartHashes {
			needed[hash] = true
		}
	}
	for hash := range a.parts {
		if !needed[hash] {
			delete(a.parts, hash)
		}
	}
	for hash := range a.fetches {
		if !needed[hash] {
			delete(a.fetches, hash)
		}
	}
}

// fetchMissingParts fetches the missing parts of a head and takes the next source at
// each attempt. The limit on fetches applies to each head separately, so that a head
// whose parts cannot be found anywhere does not delay a lower one.
func (a *Applier) fetchMissingParts(now time.Time, pending *pendingHead) []Action {
	var actions []Action
	fetchCount := 0
	for _, hash := range pending.head.PartHashes {
		if _, found := a.parts[hash]; found {
			continue
		}
		if fetchCount++; fetchCount > MaxFetchesPerHead {
			break
		}
		fetch, found := a.fetches[hash]
		if !found {
			fetch = &pendingFetch{retryAt: now}
			a.fetches[hash] = fetch
		}
		if now.Before(fetch.retryAt) {
			continue
		}
		fetch.source = pending.sources[fetch.attempts%len(pending.sources)]
		fetch.attempts++
		fetch.retryAt = now.Add(FetchTimeout)
		actions = append(actions, FetchPart{Hash: hash, Source: fetch.source})
	}
	return actions
}
