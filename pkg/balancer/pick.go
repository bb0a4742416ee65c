package balancer

import (
	"math"
	"time"
)

const (
	// maxAffinityLoadRatio is how many times its group's mean load an endpoint may carry
	// and still be preferred for a prefix that it has cached.
	maxAffinityLoadRatio = 1.25
	// maxSuspectsExamined is the maximum number of suspect endpoints that a pick
	// examines.
	maxSuspectsExamined = 8
)

// pickSearch is the state of one call of Pick.
type pickSearch struct {
	balancer          *Balancer
	now               time.Time
	request           *Request
	hasCapacity       CapacityFunc
	best              *trackedEndpoint // candidate with the earliest estimated finish so far
	bestFinishSeconds float64          // estimated seconds until the request would finish there
}

// Pick chooses an endpoint for the request. It returns false when no endpoint has free
// capacity. Without a capacity function, the configured slots and tokens are the limits.
func (b *Balancer) Pick(now time.Time, request Request, hasCapacity CapacityFunc) (Choice, bool) {
	b.runPeriodicChecks(now)
	p := b.poolFor(request)
	if p == nil {
		return Choice{}, false
	}
	b.pickCount++
	b.findPrefixHolders(&request)
	s := &pickSearch{balancer: b, now: now, request: &request, hasCapacity: hasCapacity}
	e := s.selectEndpoint(p)
	if e == nil {
		return Choice{}, false
	}
	return Choice{Endpoint: e.Name, CachedTokens: b.cachedTokens(e), CrossDataCentre: e.crossDataCentre}, true
}

// selectEndpoint tries due probes and healthy endpoints in this data centre, then the
// same in the others. As a last resort it takes suspect endpoints whose probe is not due
// yet or is reserved for other requests. An isolated request first looks for the
// endpoint with the least local load.
func (s *pickSearch) selectEndpoint(p *pool) *trackedEndpoint {
	if s.request.Isolated {
		if e := s.leastLoaded(p); e != nil {
			return e
		}
	}
	if e := s.findProbeTarget(false, false); e != nil {
		return e
	}
	if e := s.chooseFrom(p.sameDataCentre, false); e != nil {
		return e
	}
	if e := s.findProbeTarget(true, false); e != nil {
		return e
	}
	if e := s.chooseFrom(p.otherDataCentres, true); e != nil {
		return e
	}
	if e := s.findProbeTarget(false, true); e != nil {
		return e
	}
	return s.findProbeTarget(true, true)
}

// isEligible reports whether a healthy endpoint of the pool can take the request now.
func (s *pickSearch) isEligible(e *trackedEndpoint) bool {
	return e.breaker.status == Healthy && e.canAccept(s.request) && !e.isAtConcurrencyLimit(s.now) &&
		e.fits(s.now, s.request, s.hasCapacity)
}

// consider makes the endpoint the best candidate if the request would finish earlier
// there. The name breaks ties.
func (s *pickSearch) consider(e *trackedEndpoint) {
	finishSeconds := e.secondsToFinish(s.now, s.request, s.balancer.cachedTokens(e))
	if s.best == nil || finishSeconds < s.bestFinishSeconds ||
		(finishSeconds == s.bestFinishSeconds && e.Name < s.best.Name) {
		s.best, s.bestFinishSeconds = e, finishSeconds
	}
}

// chooseFrom compares holders of the prompt's prefixes with random samples of the
// endpoints.
func (s *pickSearch) chooseFrom(endpoints []*trackedEndpoint, crossDataCentre bool) *trackedEndpoint {
	s.considerPrefixHolders(crossDataCentre)
	s.considerSamples(endpoints)
	return s.best
}

// considerPrefixHolders considers the endpoints that have cached most of the prompt,
// except those that carry much more than their group's mean load.
func (s *pickSearch) considerPrefixHolders(crossDataCentre bool) {
	considered := 0
	for _, e := range s.balancer.matchedHolders {
		if considered == s.balancer.settings.MaxCandidates {
			return
		}
		if e.crossDataCentre != crossDataCentre || !e.serves(s.request) ||
			!s.isWithinAffinityBound(e) || !s.isEligible(e) {
			continue
		}
		considered++
		s.consider(e)
	}
}

// isWithinAffinityBound reports whether the endpoint's load, with this request, stays
// within maxAffinityLoadRatio of the group's mean.
func (s *pickSearch) isWithinAffinityBound(e *trackedEndpoint) bool {
	meanRequests := e.group.slotUtilisation() * e.slots
	return e.estimatedRequests(s.now)+1 <= math.Ceil(maxAffinityLoadRatio*(meanRequests+1))
}

// considerSamples considers random endpoints until MaxCandidates are eligible or
// MaxSamples were examined. It shuffles the part of the slice that it examines, so that
// none is examined twice.
func (s *pickSearch) considerSamples(endpoints []*trackedEndpoint) {
	settings := s.balancer.settings
	eligibleCount := 0
	for i := 0; i < len(endpoints) && i < settings.MaxSamples && eligibleCount < settings.MaxCandidates; i++ {
		j := i + s.balancer.random.IntN(len(endpoints)-i)
		endpoints[i], endpoints[j] = endpoints[j], endpoints[i]
		if s.isEligible(endpoints[i]) {
			eligibleCount++
			s.consider(endpoints[i])
		}
	}
}

// findProbeTarget returns a suspect endpoint that this request should probe, or nil. As
// a last resort any request may probe, also before the probe is due.
func (s *pickSearch) findProbeTarget(crossDataCentre, lastResort bool) *trackedEndpoint {
	for i, e := range s.balancer.suspectEndpoints {
		if i == maxSuspectsExamined {
			return nil
		}
		if e.crossDataCentre != crossDataCentre || !e.serves(s.request) || !e.canAccept(s.request) {
			continue
		}
		probeAllowed := e.canProbe(s.now, s.request) || (lastResort && !e.breaker.probeInFlight)
		if probeAllowed && e.fits(s.now, s.request, s.hasCapacity) {
			return e
		}
	}
	return nil
}

// leastLoaded returns the eligible endpoint with the fewest local requests. It looks
// into other data centres only when each eligible endpoint in this one has local
// requests. It examines all endpoints, since isolated requests are rare.
func (s *pickSearch) leastLoaded(p *pool) *trackedEndpoint {
	var best *trackedEndpoint
	for _, endpoints := range [][]*trackedEndpoint{p.sameDataCentre, p.otherDataCentres} {
		for _, e := range endpoints {
			if (best == nil || e.isLessLoadedThan(best, s.now)) && s.isEligible(e) {
				best = e
			}
		}
		if best != nil && best.localRequests == 0 {
			return best
		}
	}
	return best
}

// isLessLoadedThan compares local requests, then the estimated requests of all
// instances, then names.
func (e *trackedEndpoint) isLessLoadedThan(other *trackedEndpoint, now time.Time) bool {
	if e.localRequests != other.localRequests {
		return e.localRequests < other.localRequests
	}
	if requests, otherRequests := e.estimatedRequests(now), other.estimatedRequests(now); requests != otherRequests {
		return requests < otherRequests
	}
	return e.Name < other.Name
}

// findPrefixHolders collects endpoints that hold a prefix of the prompt, those with the
// longest prefix first, and sets on each the number of prompt tokens it has cached. It
// stops when there are enough candidates. An engine can't reuse a longer prefix without
// the shortest one, so it finds none when the shortest one is not in the index.
func (b *Balancer) findPrefixHolders(request *Request) {
	b.matchedHolders = b.matchedHolders[:0]
	prefixes := request.prefixes()
	if len(prefixes) == 0 || b.prefixIndex.find(prefixes[0]) == nil {
		return
	}
	for i := len(prefixes) - 1; i >= 0 && len(b.matchedHolders) < b.settings.MaxCandidates; i-- {
		if entry := b.prefixIndex.find(prefixes[i]); entry != nil {
			b.addMatchedHolders(entry, request.prefixTokens(i))
		}
	}
}

// addMatchedHolders adds the entry's valid holders that were not found with a longer
// prefix.
func (b *Balancer) addMatchedHolders(entry *prefixEntry, cachedTokens int) {
	for _, h := range entry.recordedHolders() {
		if !h.isValid() || h.endpoint.cachedTokensPick == b.pickCount {
			continue
		}
		h.endpoint.cachedTokensPick = b.pickCount
		h.endpoint.cachedTokens = cachedTokens
		b.matchedHolders = append(b.matchedHolders, h.endpoint)
	}
}

// prefixes returns the prefix hashes that are indexed, at most maxIndexedPrefixes.
func (r *Request) prefixes() []uint64 { return r.Prefixes[:min(len(r.Prefixes), maxIndexedPrefixes)] }

// prefixTokens returns the number of prompt tokens in the prefix with index i.
func (r *Request) prefixTokens(i int) int {
	if r.BlockTokens > 0 {
		return min(r.PromptTokens, (i+1)*r.BlockTokens)
	}
	return r.PromptTokens * (i + 1) / len(r.Prefixes)
}

// cachedTokens returns the prompt tokens of the request being placed that the endpoint
// has cached, as far as findPrefixHolders found them.
func (b *Balancer) cachedTokens(e *trackedEndpoint) int {
	if e.cachedTokensPick != b.pickCount {
		return 0
	}
	return e.cachedTokens
}
