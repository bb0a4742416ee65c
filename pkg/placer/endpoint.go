package placer

import (
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// endpoint is the state of one registered endpoint.
type endpoint struct {
	registrar.Endpoint

	rank     uint64 // its place in the order of its service's group
	own      Load
	others   Load // of the other instances
	cache    *cache
	read     []reading // lately, for this instance
	failures int
	share    float64 // of failures, decaying
	ejected  int     // ejections in a row
	until    time.Time
	refused  time.Time
	wrong    bool      // another endpoint has its address
	alive    time.Time // when something last came from it
	streams  int       // own requests that have begun
}

// reading is the shared parts of a prompt that the engine read.
type reading struct {
	at    time.Time
	parts []PromptBlock
}

func newEndpoint(registered registrar.Endpoint) *endpoint {
	return &endpoint{
		Endpoint: registered,
		rank:     hash(registered.ID, 0),
		cache:    newCache(partsMost),
	}
}

// open reports whether the endpoint may get new requests at all.
func (e *endpoint) open() bool {
	return !e.Draining && !e.wrong
}

// slots is the size of the batch.
func (e *endpoint) slots() int {
	if e.Slots <= 0 {
		return defaultSlots
	}

	return e.Slots
}

// willing reports whether the endpoint is expected to take a request.
func (e *endpoint) willing(now time.Time) bool {
	return !now.Before(e.refused) && !now.Before(e.until) && !e.silent(now)
}

// silent reports whether nothing comes from the endpoint although streams run
// there, longer than one lost packet or one long prompt explains.
func (e *endpoint) silent(now time.Time) bool {
	limit := silentOne
	if e.streams > 1 {
		limit = silentAll
	}

	return e.streams > 0 && now.Sub(e.alive) > limit
}

// load is what runs at the endpoint, as far as is known.
func (e *endpoint) load() Load {
	return e.own.plus(e.others, 1)
}

// settle takes in how a try ended.
func (e *endpoint) settle(now time.Time, result Result) {
	switch result {
	case Finished:
		e.share -= failureMemory * e.share
		e.failures, e.ejected = 0, 0
		e.alive = now
	case Refused:
		e.refused = now.Add(refusedFor)
		e.alive = now
	case Misdirected:
		e.wrong = true
	case Unreachable:
		e.eject(now)
	case Failed:
		e.share += failureMemory * (1 - e.share)
		e.failures++
		if e.failures >= ejectAfter {
			e.eject(now)
		}
	case Canceled:
	}
}

// eject keeps requests away for a while. The next one after it is a probe: a
// further failure ejects for longer.
func (e *endpoint) eject(now time.Time) {
	if now.Before(e.until) {
		return
	}
	e.until = now.Add(min(ejectMost, ejectFor<<min(e.ejected, 4)))
	e.ejected++
	e.cache.clear()
}

// lately returns the shared parts that the engine read within the time that
// others take to hear of it.
func (e *endpoint) lately(now time.Time) []uint64 {
	for len(e.read) > 0 && (now.Sub(e.read[0].at) > toldFor || len(e.read) > readsMost) {
		e.read = e.read[1:]
	}
	var ids []uint64
	for _, read := range e.read {
		for _, part := range read.parts {
			if !slices.Contains(ids, part.ID) {
				ids = append(ids, part.ID)
			}
		}
	}

	return ids
}
