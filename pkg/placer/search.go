package placer

import (
	"math"
	"slices"
	"time"
)

// search is the state of one call to Placer.Pick.
type search struct {
	service    *service
	request    *Request
	now        time.Time
	dataCentre string
	eligible   []*endpoint // sorted by rank
	candidates []*endpoint // the eligible endpoints to choose from, sorted by rank
	// copyableTokens is the number of the request's tokens that an engine of a version can copy from
	// another; nil if engines cannot.
	copyableTokens map[string]int
}

// collectCandidates finds the endpoints that may run the request.
func (s *search) collectCandidates() {
	for _, e := range s.service.endpoints {
		if e.isEligible(s.now) {
			s.eligible = append(s.eligible, e)
		}
	}
	s.candidates = s.usable(s.eligible)
}

// restrict returns a search among the eligible endpoints for which isIncluded is true.
func (s *search) restrict(isIncluded func(*endpoint) bool) *search {
	restricted := &search{service: s.service, request: s.request, now: s.now, dataCentre: s.dataCentre}
	for _, e := range s.eligible {
		if isIncluded(e) {
			restricted.eligible = append(restricted.eligible, e)
		}
	}
	restricted.candidates = restricted.usable(restricted.eligible)

	return restricted
}

func (s *search) isBlocked(e *endpoint) bool {
	_, blocked := s.request.Blocked[e.ID]

	return blocked
}

// usable returns the endpoints that are expected to accept the request. If there are
// none, it returns those that the request has not been sent to yet, and if there are
// none of these either, all that are not blocked and have its version: a wrong judgement
// of the endpoints' health must not make the service unavailable.
func (s *search) usable(endpoints []*endpoint) []*endpoint {
	if len(s.request.Blocked) > 0 || s.request.Version != "" {
		endpoints = slices.DeleteFunc(slices.Clone(endpoints), func(e *endpoint) bool { return s.isBlocked(e) || !s.request.fitsVersion(e) })
	}
	untried := slices.DeleteFunc(slices.Clone(endpoints), func(e *endpoint) bool { return slices.Contains(s.request.AvoidEndpoints, e.ID) })
	if accepting := s.acceptingOf(untried); len(accepting) > 0 {
		return accepting
	}
	if len(untried) > 0 {
		return untried
	}

	return endpoints
}

// accepting returns the candidates that are expected to accept the request.
func (s *search) accepting() []*endpoint {
	return s.acceptingOf(s.candidates)
}

func (s *search) acceptingOf(endpoints []*endpoint) []*endpoint {
	maxFailureRatio := s.service.meanFailureRatio() + maxExcessFailureRatio
	var accepting []*endpoint
	for _, e := range endpoints {
		if e.canAccept(s.now) && e.failureRatio <= maxFailureRatio && !slices.Contains(s.request.AvoidEndpoints, e.ID) {
			accepting = append(accepting, e)
		}
	}

	return accepting
}

// meanFailureRatio returns the mean failure ratio of the service's endpoints.
func (s *service) meanFailureRatio() float64 {
	if len(s.endpoints) == 0 {
		return 0
	}
	sum := 0.0
	for _, e := range s.endpoints {
		sum += e.failureRatio
	}

	return sum / float64(len(s.endpoints))
}

// cheapest returns the first endpoint with the lowest cost; nil if there are no
// endpoints.
func cheapest(endpoints []*endpoint, cost func(*endpoint) float64) *endpoint {
	var best *endpoint
	lowest := 0.0
	for _, e := range endpoints {
		if c := cost(e); best == nil || c < lowest {
			best, lowest = e, c
		}
	}

	return best
}

// pickPlain chooses the endpoint of a plain service with the fewest requests for its
// slots. Endpoints in other data centres count as running otherDataCentrePenalty more.
func (s *search) pickPlain() *endpoint {
	return cheapest(s.candidates, func(e *endpoint) float64 {
		running := float64(s.loadOf(e).RunningRequests) + 1
		if e.DataCentre != s.dataCentre {
			running += otherDataCentrePenalty
		}

		load := running / float64(max(1, e.Slots))
		if s.service.pace.isEnabled {
			return s.plainCost(e, load)
		}

		return load
	})
}

// pickEngine chooses an engine for a request that has a prompt.
func (s *search) pickEngine() Choice {
	split := s.split()
	longGroup := s.longGroup(split)
	var e *endpoint
	if s.isLongPrompt() {
		e = s.pickForLongPrompt(longGroup, longGroup)
	} else {
		shortGroup := s.candidates[:len(s.candidates)-len(longGroup)]
		e = s.overflowIfLate(s.leastBusy(s.withFreeSlot(shortGroup)), longGroup)
	}
	if e == nil {
		e = s.leastBusy(s.candidates)
	}

	return s.newChoice(e, split)
}

// split returns how many of the eligible engines are in the short group.
func (s *search) split() int {
	return s.service.split(s.now, len(s.eligible), s.service.capacity(s.now, s.eligible))
}

// longGroup returns the candidates for long prompts, given how many of the eligible
// engines are in the short group.
func (s *search) longGroup(split int) []*endpoint {
	return s.candidates[s.scaleSplit(split):]
}

func (s *search) isLongPrompt() bool {
	return s.request.PromptTokens >= s.service.minLongPromptTokens
}

// isLate reports whether the request would probably miss its target at the chosen
// engine, or has to wait for a slot there.
func (s *search) isLate(choice Choice) bool {
	if s.endpointOf(choice).isFullFor(s.request.Tier) {
		return true
	}
	target := s.request.TargetTimeToFirstToken

	return target > 0 && choice.ExpectedTimeToFirstToken >= time.Duration(lateFraction*float64(target))
}

func (s *search) endpointOf(choice Choice) *endpoint {
	return s.eligible[slices.IndexFunc(s.eligible, func(e *endpoint) bool { return e.ID == choice.EndpointID })]
}

// newChoice returns the choice of an engine, with what is predicted there.
func (s *search) newChoice(e *endpoint, split int) Choice {
	uncachedTokens := s.uncachedTokens(e)
	source := s.cacheSource(e)
	if source != nil {
		uncachedTokens = s.uncachedTokens(source)
	}

	return Choice{
		CacheSourceAddress: addressOf(source),
		EndpointID:         e.ID, Address: e.Address, Version: e.Version, StartedUnixMs: e.StartedUnixMs,
		ExpectedTimeToFirstToken: s.timeToFirstToken(e, uncachedTokens), TimeBehindTier: s.timeBehindTier(e),
		UncachedTokens: uncachedTokens, PrefillTime: s.prefillTime(e, uncachedTokens), IsLongPrompt: s.isLongPrompt(),
		HasPrompt: true,
		KnownLoad: e.totalLoad(), InOtherDataCentre: e.DataCentre != s.dataCentre, Split: split, EngineCount: len(s.eligible),
		Pace: s.choicePace(e),
	}
}

// scaleSplit returns how many of the candidates are in the short group, given how
// many of the eligible engines are. Scaling keeps either group from consisting only
// of engines that crashed.
func (s *search) scaleSplit(split int) int {
	n := len(s.candidates)
	if n < 2 || len(s.eligible) < 2 {
		return n
	}
	if s.service.pace.isEnabled {
		return min(n-1, max(1, s.splitByCapacity(float64(split)/float64(len(s.eligible)))))
	}
	scaled := float64(split) * float64(n) / float64(len(s.eligible))

	return min(n-1, max(1, int(math.Round(scaled))))
}

// cacheSource returns an engine of the same version that has so much more of the prompt
// cached than e that e should copy it; nil if there is none.
func (s *search) cacheSource(e *endpoint) *endpoint {
	if !s.request.CanCopyCache {
		return nil
	}
	alreadyCached := e.cache.cachedTokens(s.request.Blocks)
	best := cheapest(s.eligible, func(other *endpoint) float64 {
		if !other.canAccept(s.now) || other.Version != e.Version {
			return 0
		}

		return -float64(other.cache.cachedTokens(s.request.Blocks))
	})
	if best == nil || best == e || !best.canAccept(s.now) || best.Version != e.Version || best.cache.cachedTokens(s.request.Blocks) < alreadyCached+minCopyTokens {
		return nil
	}

	return best
}

// addressOf returns the endpoint's address; empty if e is nil.
func addressOf(e *endpoint) string {
	if e == nil {
		return ""
	}

	return e.Address
}

// withFreeSlot returns the engines of a group that have a free slot. If there are
// none, it returns all candidates with a free slot, or else those with a slot that the
// request takes from a lower tier, or else the whole group.
func (s *search) withFreeSlot(group []*endpoint) []*endpoint {
	isFullForTier := func(e *endpoint) bool { return e.isFullFor(s.request.Tier) }
	for _, choice := range []struct {
		engines []*endpoint
		isFull  func(*endpoint) bool
	}{
		{group, (*endpoint).isFull},
		{s.candidates, (*endpoint).isFull},
		{s.candidates, isFullForTier},
	} {
		if free := slices.DeleteFunc(slices.Clone(choice.engines), choice.isFull); len(free) > 0 {
			return free
		}
	}

	return group
}

// overflowIfLate replaces the engine of the short group that was chosen for a short
// prompt by one of the long group if the prompt would be late at the first and
// clearly sooner at the second. The split alone follows a surge too slowly.
func (s *search) overflowIfLate(chosen *endpoint, longGroup []*endpoint) *endpoint {
	alternative := s.leastBusy(longGroup)
	if chosen == nil || alternative == nil || s.request.TargetTimeToFirstToken <= 0 {
		return chosen
	}
	wait := s.timeToFirstToken(chosen, s.uncachedTokens(chosen))
	if wait < time.Duration(lateFraction*float64(s.request.TargetTimeToFirstToken)) ||
		s.timeToFirstToken(alternative, s.uncachedTokens(alternative))+minMoveGain >= wait {
		return chosen
	}

	return alternative
}

// leastBusy returns the engine with the least work, for a short prompt. It counts a
// millisecond of prefill like one running stream, and adds a penalty to engines in
// other data centres.
func (s *search) leastBusy(engines []*endpoint) *endpoint {
	return cheapest(engines, s.shortPromptCost)
}

// shortPromptCost returns the work at an engine, in milliseconds of prefill or running streams, in the
// engine's own time.
func (s *search) shortPromptCost(e *endpoint) float64 {
	load := s.loadOf(e)
	cost := float64(load.RunningRequests) + s.service.prefillTime(load.PendingTokens+s.uncachedTokens(e)).Seconds()*float64(time.Second/time.Millisecond)
	cost *= s.service.estimate(s.now, e).Slowness
	if e.DataCentre != s.dataCentre {
		cost += otherDataCentrePenalty
	}

	return cost
}

// pickForLongPrompt returns the engine of the long group that the request's prefix group
// prefers, or the alternative with the lowest cost if that is much lower.
func (s *search) pickForLongPrompt(longGroup, alternatives []*endpoint) *endpoint {
	soonest := cheapest(alternatives, s.longPromptSeconds)
	prefixGroup := s.request.prefixGroup()
	if prefixGroup == 0 || soonest == nil {
		return soonest
	}
	preferred := cheapest(longGroup, func(e *endpoint) float64 {
		if e.IsLeaving() {
			return math.Inf(1) // The group's blocks would soon have to be prefilled again.
		}

		return s.prefixRank(e, prefixGroup)
	})
	repeatedPrefill := s.prefillTime(soonest, max(0, s.missingTokens(soonest)-s.missingTokens(preferred)))
	if s.longPromptCost(preferred) <= s.longPromptCost(soonest)+repeatedPrefill+minMoveGain {
		return preferred
	}

	return soonest
}

// prefillTime returns the time that an engine takes to prefill the given number of tokens.
func (s *search) prefillTime(e *endpoint, tokens int) time.Duration {
	return s.service.slowed(s.now, e, s.service.prefillTime(tokens))
}

// loadOf returns the load of all instances at an endpoint.
func (s *search) loadOf(e *endpoint) Load {
	return s.service.loadAt(s.now, e)
}

// longPromptCost returns the predicted time to the first token of a long prompt at an
// engine, plus a penalty for each stream that its prefill would pause.
func (s *search) longPromptCost(e *endpoint) time.Duration {
	uncachedTokens := s.missingTokens(e)
	load := e.totalLoad()
	cost := s.timeToFirstToken(e, uncachedTokens) + s.prefillTime(e, s.uncachedTokens(e)-uncachedTokens)/prefillPerCopy
	if s.prefillTime(e, load.PendingTokens+uncachedTokens) > maxPrefillPause {
		cost += time.Duration(load.RunningShortPrompts) * streamPausePenalty
	}

	return cost
}

// longPromptSeconds returns longPromptCost in seconds.
func (s *search) longPromptSeconds(e *endpoint) float64 {
	return s.longPromptCost(e).Seconds()
}

// uncachedTokens returns the number of prompt tokens that the engine would have to
// prefill.
func (s *search) uncachedTokens(e *endpoint) int {
	return max(0, s.request.PromptTokens-e.cache.cachedTokens(s.request.Blocks))
}

// missingTokens returns the number of prompt tokens that the engine would have to prefill after
// copying what it can.
func (s *search) missingTokens(e *endpoint) int {
	cached := e.cache.cachedTokens(s.request.Blocks)
	if copyable := s.copyableTokens[e.Version]; copyable >= cached+minCopyTokens {
		cached = copyable
	}

	return max(0, s.request.PromptTokens-cached)
}

// mostCachedTokens returns the largest number of the request's tokens that an engine of each version
// which accepts requests has cached.
func (s *search) mostCachedTokens() map[string]int {
	most := map[string]int{}
	for _, e := range s.eligible {
		if e.canAccept(s.now) {
			most[e.Version] = max(most[e.Version], e.cache.cachedTokens(s.request.Blocks))
		}
	}

	return most
}

// timeToFirstToken predicts the time until an engine that has to prefill the given
// number of the request's tokens sends the first token.
func (s *search) timeToFirstToken(e *endpoint, uncachedTokens int) time.Duration {
	load := s.loadOf(e)

	return s.service.slowed(s.now, e, s.service.prefillTime(load.PendingTokens+uncachedTokens)+time.Duration(load.RunningRequests)*delayPerRunningRequest+
		s.service.slotWait(load.requestsUpTo(s.request.Tier), e.slotsOrDefault()))
}

// timeBehindTier returns the part of timeToFirstToken that the prompts of lower tiers take.
func (s *search) timeBehindTier(e *endpoint) time.Duration {
	load := s.loadOf(e)

	return s.prefillTime(e, load.PendingTokens-load.pendingUpTo(s.request.Tier))
}
