package reviser

import (
	"maps"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// Limits and timing of a Publisher.
const (
	// MaxConcurrentWrites is the largest number of parts, and of statuses, that are
	// written at once.
	MaxConcurrentWrites = 8
	// RetryDelay is the time after which a failed read of the head, or a failed write
	// of a part or status, is repeated.
	RetryDelay = time.Second
	// AnswerTimeout is the time after which an action whose result was not reported
	// is repeated. The caller's own calls time out earlier.
	AnswerTimeout = 6 * time.Second
	// MaxStatusesPerSecond is the rate at which statuses are written, and
	// MaxStatusBurst how many may be written at once after an idle time. They are
	// low enough to leave other writers some of the store's write capacity.
	MaxStatusesPerSecond = 50
	MaxStatusBurst       = 50
	// KeptRevisions is the number of recent revisions whose parts are kept in the
	// store for instances that read an older head.
	KeptRevisions = 4
)

// stage is the step that a Publisher is waiting to complete.
type stage int

const (
	// stageIdle means that the lease is not held.
	stageIdle stage = iota
	// stageLoadingHead means that the head in the store is being read.
	stageLoadingHead
	// stageReady means that the head is known and no revision is being written.
	stageReady
	// stageWritingParts means that parts of the next revision are being written.
	stageWritingParts
	// stageWritingHead means that the head of the next revision is being written.
	stageWritingHead
)

// Publisher decides what the lease holder writes to put the operators' resources in
// force: first the parts of the revision, then the head, then the resource statuses.
type Publisher struct {
	stage stage
	fence uint64
	// retryAt is the time at which reading or writing the head is repeated.
	retryAt time.Time

	storedHead StoredHead
	listing    Listing
	// needsCompile is true if listing has not been compiled yet.
	needsCompile bool
	// hasCurrentListing is true if a listing was at least as new as the revision in
	// force and no head of another lease holder was read since then.
	hasCurrentListing bool
	// appliedRevision is the highest revision that this instance has applied.
	appliedRevision Revision

	nextRevision   Revision
	nextHead       Head
	verdicts       []Verdict
	unwrittenParts map[string]*pendingWrite[Part] // By hash.

	// knownStatuses are the statuses that the store is known to hold.
	knownStatuses map[declarer.Key]Status
	// statusQueue holds the keys of the statuses to write next, in order.
	statusQueue []declarer.Key
	// pendingStatuses are the statuses that are queued or being written.
	pendingStatuses map[declarer.Key]Status
	// statusRetryTimes holds, for each status being written, the time at which the
	// write is repeated.
	statusRetryTimes map[declarer.Key]time.Time
	// statusAllowance is the number of statuses that could be written at
	// allowanceUpdatedAt without exceeding the rate.
	statusAllowance    float64
	allowanceUpdatedAt time.Time

	// hasWrittenHead is true if a head was written under this lease, so that an older
	// holder's write of the head can no longer succeed.
	hasWrittenHead bool
	// recentPartHashes are the part hashes of each recent revision, the oldest first.
	recentPartHashes [][]string
}

// pendingWrite is a value that has not been written yet, or whose write is not confirmed.
type pendingWrite[T any] struct {
	value   T
	sent    bool
	retryAt time.Time
}

// NewPublisher returns a publisher that does not hold the lease.
func NewPublisher() *Publisher {
	return &Publisher{
		knownStatuses:    make(map[declarer.Key]Status),
		pendingStatuses:  make(map[declarer.Key]Status),
		statusRetryTimes: make(map[declarer.Key]time.Time),
		unwrittenParts:   make(map[string]*pendingWrite[Part]),
	}
}

// OnLeaseAcquired handles the acquisition of the lease with the fencing token. It begins by
// reading the head. A repeated call with the same token does nothing.
func (p *Publisher) OnLeaseAcquired(now time.Time, fence uint64) []Action {
	if p.stage != stageIdle && p.fence == fence {
		return nil
	}
	p.reset()
	p.fence = fence
	return p.loadHead(now)
}

// OnLeaseLost handles the loss of the lease: nothing more is written.
func (p *Publisher) OnLeaseLost() {
	p.reset()
	p.stage = stageIdle
}

// HoldsLease reports whether the publisher currently writes under a lease.
func (p *Publisher) HoldsLease() bool { return p.stage != stageIdle }

// reset clears all state except the applied revision.
func (p *Publisher) reset() {
	applied := p.appliedRevision
	*p = *NewPublisher()
	p.appliedRevision = applied
}

// OnRevisionApplied records the revision that this instance has in force. Even if the store
// lost its head or was restored to an older state, the next revision gets a higher
// number.
func (p *Publisher) OnRevisionApplied(revision Revision) {
	if revision.Number > p.appliedRevision.Number {
		p.appliedRevision = revision
	}
}

// loadHead begins to read the head from the store.
func (p *Publisher) loadHead(now time.Time) []Action {
	p.stage = stageLoadingHead
	p.retryAt = now.Add(AnswerTimeout)
	return []Action{LoadHead{}}
}

// OnHeadLoaded handles the result of a LoadHead.
func (p *Publisher) OnHeadLoaded(now time.Time, stored StoredHead) []Action {
	if p.stage != stageLoadingHead || stored.Version < p.storedHead.Version {
		return nil // A late answer or a stale read; Tick repeats the read.
	}
	p.setStoredHead(stored)
	return p.compileListing(now)
}

// setStoredHead records the head that was read from or written to the store.
func (p *Publisher) setStoredHead(stored StoredHead) {
	p.stage = stageReady
	if stored.Version > 0 && !stored.Head.IsSameRevision(p.storedHead.Head) {
		p.recentPartHashes = append(p.recentPartHashes, stored.Head.PartHashes)
		p.recentPartHashes = p.recentPartHashes[max(0, len(p.recentPartHashes)-KeptRevisions):]
	}
	p.hasCurrentListing = p.hasCurrentListing && stored.Head.Fence == p.fence
	p.storedHead = stored
	p.hasWrittenHead = p.hasWrittenHead || stored.Version > 0 && stored.Head.Fence == p.fence
}

// OnHeadLoadFailed handles a failed LoadHead; Tick repeats the read after RetryDelay.
func (p *Publisher) OnHeadLoadFailed(now time.Time) {
	if p.stage == stageLoadingHead {
		p.retryAt = now.Add(RetryDelay)
	}
}

// OnListing handles a new listing of the resources in the store. A listing that may be
// older than the last one is refused.
func (p *Publisher) OnListing(now time.Time, listing Listing) []Action {
	if p.stage == stageIdle {
		return nil
	}
	if !p.isCurrent(listing) && listing.LowestCounter < p.listing.HighestCounter {
		return []Action{ReportRefusal{Source: SourceStore, Reason: "the listing is older than one that was seen"}}
	}
	// A status that was just written may be missing from the listing; it is then
	// written once more.
	p.knownStatuses = maps.Clone(listing.Statuses)
	if p.knownStatuses == nil {
		p.knownStatuses = make(map[declarer.Key]Status)
	}
	p.listing, p.needsCompile = listing, true
	if p.stage != stageReady {
		return nil // It is compiled when the current step is done.
	}
	return p.compileListing(now)
}

// isCurrent reports whether a listing is known to be at least as new as every listing
// that was compiled before.
func (p *Publisher) isCurrent(l Listing) bool { return p.hasCurrentListing && l.ContinuesPrevious }

// baseRevision returns the revision that the next one is compiled from: the applied
// one if its number is higher than the stored one's.
func (p *Publisher) baseRevision() Revision {
	if p.appliedRevision.Number > p.storedHead.Head.Number {
		return p.appliedRevision
	}
	return p.storedHead.Revision
}

// compileListing compiles the latest listing, if that has not been done, and begins to
// write the parts of the new revision. An outdated or unexpectedly empty listing is
// refused.
func (p *Publisher) compileListing(now time.Time) []Action {
	if !p.needsCompile {
		return nil
	}
	p.needsCompile = false
	if !p.isCurrent(p.listing) && p.listing.LowestCounter < p.storedHead.Head.StoreCounter {
		return []Action{ReportRefusal{Source: SourceStore, Reason: "the listing is older than the revision in force"}}
	}
	p.hasCurrentListing = true
	base := p.baseRevision()
	if len(p.listing.Resources) == 0 && len(base.Parts) > 0 {
		return []Action{ReportRefusal{Source: SourceStore, Reason: "the listing is empty, the revision in force is not"}}
	}
	p.nextRevision, p.verdicts = Compile(base, p.listing.Resources)
	if p.nextRevision.Number == p.storedHead.Head.Number {
		return p.queueStatuses(now)
	}
	p.stage = stageWritingParts
	clear(p.unwrittenParts)
	for _, part := range p.nextRevision.Parts {
		if _, found := p.storedHead.Revision.Part(part.Hash); !found {
			p.unwrittenParts[part.Hash] = &pendingWrite[Part]{value: part}
		}
	}
	return p.writeParts(now)
}

// createNextHead returns the head of the next revision.
func (p *Publisher) createNextHead() Head {
	return Head{
		Number: p.nextRevision.Number, PartHashes: p.nextRevision.PartHashes(), Fence: p.fence,
		PreviousNumber: p.storedHead.Head.Number, StoreCounter: max(p.listing.HighestCounter, p.storedHead.Head.StoreCounter),
	}
}

// Tick repeats the reads and writes whose results were not reported in time.
func (p *Publisher) Tick(now time.Time) []Action {
	var actions []Action
	switch {
	case p.stage == stageLoadingHead && !now.Before(p.retryAt):
		actions = p.loadHead(now)
	case p.stage == stageWritingParts:
		actions = p.writeParts(now)
	case p.stage == stageWritingHead && !now.Before(p.retryAt):
		actions = p.reloadHead(now) // The write is in doubt: read which head took effect.
	default:
	}
	return append(actions, p.writeStatuses(now)...)
}
