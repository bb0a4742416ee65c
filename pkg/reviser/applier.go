package reviser

import (
	"slices"
	"time"
)

// Bounds of an Applier.
const (
	// MaximumPending is the number of newer heads collected at once.
	MaximumPending = 4
	// MaximumSources is the number of sources remembered for a head.
	MaximumSources = 8
	// MaximumFetches is the number of parts of one head asked for at once.
	MaximumFetches = 16
	// FetchTimeout is the time after which a part is asked for again.
	FetchTimeout = 2 * time.Second
)

// Applier decides which revision one instance applies. It never applies a
// number that is not higher than the number in force.
type Applier struct {
	current Revision
	head    Head
	pending []*pending // By number, highest first.
	parts   map[string]Part
	fetches map[string]*fetch
	// refused is the last head that could not be opened; peers may offer it
	// again and again.
	refused Head
}

// pending is a head whose parts are being collected.
type pending struct {
	head    Head
	sources []string
}

// fetch is a part that was asked for.
type fetch struct {
	from  string
	tries int
	due   time.Time
}

// New returns an applier with nothing in force.
func New() *Applier {
	return &Applier{parts: make(map[string]Part), fetches: make(map[string]*fetch)}
}

// Number returns the number in force, 0 for none.
func (a *Applier) Number() uint64 { return a.current.Number }

// Head returns the head in force, to pass to peers.
func (a *Applier) Head() Head { return a.head }

// Revision returns the revision in force.
func (a *Applier) Revision() Revision { return a.current }

// Part returns a part of the revision in force or of a newer one that is being
// collected, to pass to peers.
func (a *Applier) Part(hash string) (Part, bool) {
	part, found := a.parts[hash]
	return part, found
}

// ReceiveHead takes note of a head seen in the store or told by a peer.
func (a *Applier) ReceiveHead(now time.Time, head Head, from string) []Action {
	if err := head.check(); err != nil {
		return []Action{ReportRefusal{RevisionNumber: head.Number, Source: from, Reason: err.Error()}}
	}
	if head.Number <= a.current.Number {
		return a.refuseOld(head, from)
	}
	if head.Same(a.refused) {
		return nil
	}
	a.note(head, from)
	return a.advance(now)
}

func (a *Applier) refuseOld(head Head, from string) []Action {
	if head.Number == a.current.Number && !head.Same(a.head) {
		return []Action{ReportRefusal{RevisionNumber: head.Number, Source: from, Reason: "another revision with this number is in force"}}
	}
	return nil
}

// note adds the head or another source of it.
func (a *Applier) note(head Head, from string) {
	at := slices.IndexFunc(a.pending, func(p *pending) bool { return p.head.Number == head.Number })
	if at < 0 {
		a.pending = append(a.pending, &pending{head: head, sources: []string{from}})
		slices.SortFunc(a.pending, func(x, y *pending) int { return compareUint(y.head.Number, x.head.Number) })
		a.pending = a.pending[:min(len(a.pending), MaximumPending)]
		return
	}
	known := a.pending[at]
	if !known.head.Same(head) {
		if from == SourceStore { // The store settles which one took effect.
			a.pending[at] = &pending{head: head, sources: []string{from}}
		}
		return
	}
	if !slices.Contains(known.sources, from) && len(known.sources) < MaximumSources {
		known.sources = append(known.sources, from)
	}
}

// OnPartFetched takes a part that was fetched.
func (a *Applier) OnPartFetched(now time.Time, part Part) []Action {
	asked, found := a.fetches[part.Hash]
	if !found {
		return nil
	}
	if !part.Intact() {
		asked.due = now
		refuse := ReportRefusal{Source: asked.from, Reason: "the contents of part " + part.Hash + " do not fit its hash"}
		return append([]Action{refuse}, a.advance(now)...)
	}
	delete(a.fetches, part.Hash)
	a.parts[part.Hash] = part
	return a.advance(now)
}

// OnPartFetchFailed takes note that a part could not be had; it is asked for again,
// from another source if there is one, at the next Tick after FetchTimeout.
func (a *Applier) OnPartFetchFailed(now time.Time, hash string) {
	if asked, found := a.fetches[hash]; found {
		asked.due = now.Add(FetchTimeout / 2)
	}
}

// Tick asks again for parts that did not arrive in time.
func (a *Applier) Tick(now time.Time) []Action { return a.advance(now) }

// advance applies the highest complete head and fetches what is missing.
func (a *Applier) advance(now time.Time) []Action {
	actions := a.apply()
	a.forget()
	for _, p := range a.pending {
		actions = append(actions, a.fetch(now, p)...)
	}
	return actions
}

// apply opens the highest head that is complete and drops it and those below;
// one that cannot be opened is refused and leaves the others.
func (a *Applier) apply() []Action {
	var actions []Action
	for i := 0; i < len(a.pending); i++ {
		head := a.pending[i].head
		parts, complete := a.collect(head)
		if !complete {
			continue
		}
		revision, err := Assemble(a.current, head, parts)
		if err != nil {
			actions = append(actions, ReportRefusal{RevisionNumber: head.Number, Reason: err.Error()})
			a.refused = head
			a.pending = slices.Delete(a.pending, i, i+1)
			i--
			continue
		}
		a.current, a.head = revision, head
		a.pending = a.pending[:i]
		return append(actions, ApplyRevision{Revision: revision})
	}
	return actions
}

func (a *Applier) collect(head Head) ([]Part, bool) {
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

// forget drops parts and fetches that nothing needs any more.
func (a *Applier) forget() {
	needed := make(map[string]bool)
	for _, hash := range a.head.PartHashes {
		needed[hash] = true
	}
	for _, p := range a.pending {
		for _, hash := range p.head.PartHashes {
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

// fetch asks for missing parts of a head, one source after the other. Each head
// has fetches of its own, so that one whose parts are nowhere to be had does
// not hold up a lower one.
func (a *Applier) fetch(now time.Time, p *pending) []Action {
	var actions []Action
	asking := 0
	for _, hash := range p.head.PartHashes {
		if _, have := a.parts[hash]; have {
			continue
		}
		if asking++; asking > MaximumFetches {
			break
		}
		asked, found := a.fetches[hash]
		if !found {
			asked = &fetch{due: now}
			a.fetches[hash] = asked
		}
		if now.Before(asked.due) {
			continue
		}
		asked.from = p.sources[asked.tries%len(p.sources)]
		asked.tries++
		asked.due = now.Add(FetchTimeout)
		actions = append(actions, FetchPart{Hash: hash, Source: asked.from})
	}
	return actions
}
