package placer

import (
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// endpoint is a registered endpoint together with what the placer knows about it.
type endpoint struct {
	registrar.Endpoint

	rank                 uint64 // sort key among the endpoints of its service
	localLoad            Load
	peerLoad             Load // sum over the single peers
	summarizedLoad       Load // sum over the summaries of other data centres
	cache                *blockCache
	recentPrefills       []prefill // for this instance's requests, oldest first
	heardPrefills        []heardBlock
	consecutiveFailures  int
	failureRatio         float64 // exponentially weighted
	consecutiveEjections int
	ejectedUntil         time.Time
	refusedUntil         time.Time
	misdirectedUntil     time.Time // a different endpoint answers at its address
	misdirections        int       // since its last answer
	lastActivity         time.Time // time of the last event or answer from it
	startedRequests      int       // local requests that sent their first event
	pace                 endpointPace
}

// prefill records which shared blocks an engine prefilled for one prompt, and when.
type prefill struct {
	at       time.Time
	blocks   []PromptBlock
	newCount int // how many of the blocks, at the end, the engine did not have cached
}

// heardBlock is a block that an engine prefilled for a peer of the own data centre, and when this
// instance learnt that the engine has it cached.
type heardBlock struct {
	at time.Time
	id uint64
}

func newEndpoint(registered registrar.Endpoint) *endpoint {
	return &endpoint{
		Endpoint: registered,
		rank:     rankHash(registered.ID, 0),
		cache:    newBlockCache(maxCachedBlocks),
	}
}

// isEligible reports whether the endpoint may get new requests at all: it is not
// draining and, as far as is known, the one that answers at its address.
func (e *endpoint) isEligible(now time.Time) bool {
	return !e.Draining && !now.Before(e.misdirectedUntil)
}

// slotsOrDefault returns the number of requests that the endpoint runs in one batch,
// or defaultSlots if it is not known.
func (e *endpoint) slotsOrDefault() int {
	switch {
	case e.Slots > 0:
		return e.Slots
	case e.pace.statedSlots > 0:
		return e.pace.statedSlots
	default:
		return defaultSlots
	}
}

// isFull reports whether the engine has no free slot.
func (e *endpoint) isFull() bool {
	return e.totalLoad().RunningRequests >= e.slotsOrDefault()
}

// isFullFor reports whether requests of a tier or of higher ones have all slots of the
// engine.
func (e *endpoint) isFullFor(tier int) bool {
	return e.totalLoad().requestsUpTo(tier) >= e.slotsOrDefault()
}

// canAccept reports whether the endpoint is expected to accept a request now: it is
// not ejected, did not just refuse one, and is not silent.
func (e *endpoint) canAccept(now time.Time) bool {
	return !now.Before(e.refusedUntil) && !now.Before(e.ejectedUntil) && !e.isSilent(now)
}

// isSilent reports whether nothing has come from the endpoint, although streams run
// there, for longer than a lost packet or the prefill of a long prompt explains.
func (e *endpoint) isSilent(now time.Time) bool {
	limit := maxSingleStreamSilence
	if e.startedRequests > 1 {
		limit = maxMultiStreamSilence
	}

	return e.startedRequests > 0 && now.Sub(e.lastActivity) > limit
}

// totalLoad returns the known load of all instances at the endpoint.
func (e *endpoint) totalLoad() Load {
	return e.dataCentreLoad().plus(e.summarizedLoad, 1)
}

// dataCentreLoad returns the known load of all instances that tell their own loads: those
// of the data centre in a divided fleet.
func (e *endpoint) dataCentreLoad() Load {
	return e.localLoad.plus(e.peerLoad, 1)
}

// recordResult updates the endpoint's health with the result of an attempt.
func (e *endpoint) recordResult(now time.Time, result Result) {
	switch result {
	case Finished:
		e.failureRatio -= failureSmoothingFactor * e.failureRatio
		e.consecutiveFailures, e.consecutiveEjections, e.misdirections = 0, 0, 0
		e.lastActivity = now
	case Refused:
		e.refusedUntil = now.Add(refusalCooldown)
		e.lastActivity = now
	case Misdirected:
		e.misdirectedUntil = now.Add(min(maxMisdirectionTime, baseMisdirectionTime<<min(e.misdirections, 4)))
		e.misdirections++
	case Unreachable:
		e.eject(now)
	case Failed:
		e.failureRatio += failureSmoothingFactor * (1 - e.failureRatio)
		e.consecutiveFailures++
		if e.consecutiveFailures >= minFailuresToEject {
			e.eject(now)
		}
	case Canceled:
	}
}

// eject keeps new requests away from the endpoint for a while. The first request
// after that is a probe: if it fails too, the next ejection lasts longer.
func (e *endpoint) eject(now time.Time) {
	if now.Before(e.ejectedUntil) {
		return
	}
	e.ejectedUntil = now.Add(min(maxEjectionTime, baseEjectionTime<<min(e.consecutiveEjections, 4)))
	e.consecutiveEjections++
	e.cache.clear()
}

// recentBlockIDs returns the IDs of the shared blocks that the engine prefilled so
// recently that some peers may not have received them yet, or only of those that it did
// not have cached.
func (e *endpoint) recentBlockIDs(now time.Time, onlyNew bool) []uint64 {
	for len(e.recentPrefills) > 0 && (now.Sub(e.recentPrefills[0].at) > prefillReportWindow || len(e.recentPrefills) > maxReportedPrefills) {
		e.recentPrefills = e.recentPrefills[1:]
	}
	first, count := len(e.recentPrefills), 0
	for first > 0 && count+e.recentPrefills[first-1].reportedCount(onlyNew) <= maxReportedBlocks {
		first--
		count += e.recentPrefills[first].reportedCount(onlyNew)
	}
	ids, known := make([]uint64, 0, count), make(map[uint64]struct{}, count)
	for _, recent := range e.recentPrefills[first:] {
		for _, block := range recent.blocks[len(recent.blocks)-recent.reportedCount(onlyNew):] {
			if _, ok := known[block.ID]; !ok {
				known[block.ID] = struct{}{}
				ids = append(ids, block.ID)
			}
		}
	}

	return ids
}

// reportedCount returns how many blocks are reported, at the end of the prompt's.
func (p prefill) reportedCount(onlyNew bool) int {
	if onlyNew {
		return p.newCount
	}

	return len(p.blocks)
}

// recordHeard records which of the blocks that an engine prefilled for a peer this instance did not
// know to be cached.
func (e *endpoint) recordHeard(now time.Time, ids []uint64) {
	for _, id := range ids {
		if !e.cache.has(id) {
			e.heardPrefills = append(e.heardPrefills, heardBlock{now, id})
		}
	}
	e.heardPrefills = e.heardPrefills[max(0, len(e.heardPrefills)-maxHeardBlocks):]
}

// heardBlockIDs returns the blocks that this instance learnt so recently to be cached that other
// data centres may not know it yet.
func (e *endpoint) heardBlockIDs(now time.Time) []uint64 {
	e.heardPrefills = slices.DeleteFunc(e.heardPrefills, func(heard heardBlock) bool { return now.Sub(heard.at) > prefillReportWindow })
	ids := make([]uint64, 0, len(e.heardPrefills))
	for _, heard := range e.heardPrefills {
		ids = append(ids, heard.id)
	}

	return ids
}
