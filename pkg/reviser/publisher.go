package reviser

import (
	"maps"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// Limits of a Publisher.
const (
	// MaximumWrites is the number of parts or statuses being written at once.
	MaximumWrites = 8
	// WriteRetry is the time before a step that failed is repeated.
	WriteRetry = time.Second
	// AnswerTimeout is the time after which a step that was not answered counts
	// as lost; the caller gives up its calls earlier.
	AnswerTimeout = 6 * time.Second
	// StatusRate is the number of statuses written a second, StatusBurst how
	// many at once after a rest; the store's writes are there for others too.
	StatusRate  = 50
	StatusBurst = 50
	// KeptRevisions is the number of recent revisions whose parts stay in the
	// store for readers that lag.
	KeptRevisions = 4
)

// stage is what a Publisher is about to complete.
type stage int

const (
	// stageIdle: the lease is not held.
	stageIdle stage = iota
	// stageLoad: the head in the store is being read.
	stageLoad
	// stageReady: the head is known; nothing is being written.
	stageReady
	// stageParts: parts of the next revision are being written.
	stageParts
	// stageHead: the head of the next revision is being written.
	stageHead
)

// Publisher decides what a lease holder writes to put the operators' resources
// in force: first the parts, then the head, then the statuses.
type Publisher struct {
	stage stage
	fence uint64
	// due is the time to repeat the step in hand.
	due time.Time

	stored  StoredHead
	listing Listing
	// listed says that listing has not been compiled yet.
	listed bool
	// fresh says that a listing was not older than the revision in force, and
	// that since then no other holder was seen.
	fresh bool
	// own is the highest revision that this instance has applied.
	own Revision

	next     Revision
	sending  Head
	verdicts []Verdict
	missing  map[string]*write[Part]

	told     map[declarer.Key]Status
	statuses []declarer.Key // Still to write, in order.
	wanted   map[declarer.Key]Status
	writing  map[declarer.Key]time.Time
	// allowed is the number of statuses that may be written at refilled.
	allowed  float64
	refilled time.Time

	// wrote says that a head was written under this lease, so that a head of
	// an older holder can no longer take effect.
	wrote bool
	// recent are the parts of the last revisions, the oldest first.
	recent [][]string
}

// write is a write in hand.
type write[T any] struct {
	value T
	sent  bool
	due   time.Time
}

// NewPublisher returns a publisher that does not hold the lease.
func NewPublisher() *Publisher {
	return &Publisher{
		told:    make(map[declarer.Key]Status),
		wanted:  make(map[declarer.Key]Status),
		writing: make(map[declarer.Key]time.Time),
		missing: make(map[string]*write[Part]),
	}
}

// OnLeaseAcquired takes note that the lease is held with the fencing number. It begins by
// reading the head.
func (p *Publisher) OnLeaseAcquired(now time.Time, fence uint64) []Action {
	if p.stage != stageIdle && p.fence == fence {
		return nil
	}
	p.reset()
	p.fence = fence
	return p.load(now)
}

// OnLeaseLost takes note that the lease is lost: nothing more is written.
func (p *Publisher) OnLeaseLost() {
	p.reset()
	p.stage = stageIdle
}

// Leading reports whether the publisher acts for a lease.
func (p *Publisher) Leading() bool { return p.stage != stageIdle }

func (p *Publisher) reset() {
	own := p.own
	*p = *NewPublisher()
	p.own = own
}

// OnRevisionApplied takes note of the revision that this instance has in force. If the
// store lost its head, or was set back, the next number still is higher.
func (p *Publisher) OnRevisionApplied(revision Revision) {
	if revision.Number > p.own.Number {
		p.own = revision
	}
}

func (p *Publisher) load(now time.Time) []Action {
	p.stage = stageLoad
	p.due = now.Add(AnswerTimeout)
	return []Action{LoadHead{}}
}

// OnHeadLoaded answers Load.
func (p *Publisher) OnHeadLoaded(now time.Time, stored StoredHead) []Action {
	if p.stage != stageLoad || stored.Version < p.stored.Version {
		return nil // A late answer, or a stale read; Tick asks again.
	}
	p.found(stored)
	return p.compile(now)
}

// found takes note of the head that is in the store.
func (p *Publisher) found(stored StoredHead) {
	p.stage = stageReady
	if stored.Version > 0 && !stored.Head.Same(p.stored.Head) {
		p.recent = append(p.recent, stored.Head.PartHashes)
		p.recent = p.recent[max(0, len(p.recent)-KeptRevisions):]
	}
	p.fresh = p.fresh && stored.Head.Fence == p.fence
	p.stored = stored
	p.wrote = p.wrote || stored.Version > 0 && stored.Head.Fence == p.fence
}

// OnHeadLoadFailed answers Load; Tick asks again.
func (p *Publisher) OnHeadLoadFailed(now time.Time) {
	if p.stage == stageLoad {
		p.due = now.Add(WriteRetry)
	}
}

// OnListing takes the resources as they stand in the store.
func (p *Publisher) OnListing(now time.Time, listing Listing) []Action {
	if p.stage == stageIdle {
		return nil
	}
	if !p.follows(listing) && listing.LowestCounter < p.listing.HighestCounter {
		return []Action{ReportRefusal{Source: SourceStore, Reason: "the listing is older than one that was seen"}}
	}
	// One of our own may not be in the listing yet: it is written once more.
	p.told = maps.Clone(listing.Statuses)
	if p.told == nil {
		p.told = make(map[declarer.Key]Status)
	}
	p.listing, p.listed = listing, true
	if p.stage != stageReady {
		return nil // Compiled when the step in hand is done.
	}
	return p.compile(now)
}

// follows reports whether a listing is known to be newer than all that was
// compiled before.
func (p *Publisher) follows(listing Listing) bool { return p.fresh && listing.ContinuesPrevious }

// base is the revision to compile over.
func (p *Publisher) base() Revision {
	if p.own.Number > p.stored.Head.Number {
		return p.own
	}
	return p.stored.Revision
}

// compile begins to put the latest listing in force.
func (p *Publisher) compile(now time.Time) []Action {
	if !p.listed {
		return nil
	}
	p.listed = false
	if !p.follows(p.listing) && p.listing.LowestCounter < p.stored.Head.Counter {
		return []Action{ReportRefusal{Source: SourceStore, Reason: "the listing is older than the revision in force"}}
	}
	p.fresh = true
	base := p.base()
	if len(p.listing.Resources) == 0 && len(base.Parts) > 0 {
		return []Action{ReportRefusal{Source: SourceStore, Reason: "the listing is empty, the revision in force is not"}}
	}
	p.next, p.verdicts = Compile(base, p.listing.Resources)
	if p.next.Number == p.stored.Head.Number {
		return p.tell(now)
	}
	p.stage = stageParts
	clear(p.missing)
	for _, part := range p.next.Parts {
		if _, found := p.stored.Revision.Part(part.Hash); !found {
			p.missing[part.Hash] = &write[Part]{value: part}
		}
	}
	return p.writeParts(now)
}

// head returns the head of the next revision.
func (p *Publisher) head() Head {
	return Head{
		Number: p.next.Number, PartHashes: p.next.PartHashes(), Fence: p.fence,
		Previous: p.stored.Head.Number, Counter: max(p.listing.HighestCounter, p.stored.Head.Counter),
	}
}

// Tick repeats what was not answered in time.
func (p *Publisher) Tick(now time.Time) []Action {
	var actions []Action
	switch {
	case p.stage == stageLoad && !now.Before(p.due):
		actions = p.load(now)
	case p.stage == stageParts:
		actions = p.writeParts(now)
	case p.stage == stageHead && !now.Before(p.due):
		actions = p.reload(now) // The write is uncertain: read what took effect.
	default:
	}
	return append(actions, p.writeStatuses(now)...)
}
