package placer

import (
	"cmp"
	"slices"
)

// pickInDividedFleet chooses an engine for a request of an instance that learns the loads
// at engines in other data centres late.
//
// A short prompt goes to the own data centre, unless it would be late there and clearly
// sooner at one of a few engines elsewhere. These are drawn at random: the best of all by
// late loads would get the requests of many instances at once. For long prompts see
// pickLongPromptEngine.
func (p *Placer) pickInDividedFleet(s search) Choice {
	local := s.restrict(func(e *endpoint) bool { return e.DataCentre == s.dataCentre })
	if len(local.accepting()) == 0 {
		return s.pickEngine()
	}
	if s.isLongPrompt() {
		if e := p.pickLongPromptEngine(&s, local); e != nil {
			return s.newChoice(e, local.split())
		}
	}
	choice := local.pickEngine()
	isSlow := s.isSlowerThanAll(local)
	if !isSlow && !s.isLate(choice) {
		return choice
	}
	remote := s.restrict(func(e *endpoint) bool { return e.DataCentre != s.dataCentre })
	remote.candidates = p.sample(remote.accepting(), remoteSampleSize)
	if len(remote.candidates) == 0 {
		return choice
	}
	alternative := s.newChoice(remote.leastBusy(remote.withFreeSlot(remote.candidates)), choice.Split)
	isCheaper := isSlow && s.shortPromptCost(s.endpointOf(alternative))+minCrossingGain < s.shortPromptCost(s.endpointOf(choice))
	isSooner := s.isLate(choice) && alternative.ExpectedTimeToFirstToken+minMoveGain < choice.ExpectedTimeToFirstToken
	if isCheaper || isSooner {
		return alternative
	}

	return choice
}

// pickLongPromptEngine chooses an engine for a long prompt; nil if there is none. If engines can copy
// cached blocks, it is one of the own data centre, whose loads are known, unless the prompt would be
// late there and clearly sooner elsewhere. If not, the engine of the prompt's prefix group in any data
// centre is preferred.
func (p *Placer) pickLongPromptEngine(s, local *search) *endpoint {
	split := local.split()
	localGroup := local.longGroup(split)
	if !s.request.CanCopyCache {
		remoteGroup := p.remoteLongGroups(s)

		return s.pickForLongPrompt(slices.Concat(localGroup, remoteGroup), slices.Concat(localGroup, p.sample(remoteGroup, remoteSampleSize)))
	}
	s.copyableTokens = s.mostCachedTokens()
	chosen := s.pickForLongPrompt(localGroup, localGroup)
	if chosen != nil && !s.isSlowerThanAll(local) && !s.isLate(s.newChoice(chosen, split)) {
		return chosen
	}
	shortGroup := local.candidates[:len(local.candidates)-len(localGroup)]
	alternative := cheapest(slices.Concat(shortGroup, p.sample(p.remoteLongGroups(s), remoteSampleSize)), s.longPromptSeconds)
	if chosen == nil || (alternative != nil && s.longPromptCost(alternative)+minMoveGain < s.longPromptCost(chosen)) {
		return alternative
	}

	return chosen
}

// remoteLongGroups returns the candidates for long prompts in other data centres.
func (p *Placer) remoteLongGroups(s *search) []*endpoint {
	var group []*endpoint
	for _, dataCentre := range s.service.dataCentres {
		if dataCentre != s.dataCentre {
			remote := s.restrict(func(e *endpoint) bool { return e.DataCentre == dataCentre })
			remote.candidates = remote.accepting()
			group = append(group, remote.longGroup(s.service.remoteSplit(s.now, dataCentre, len(remote.eligible)))...)
		}
	}

	return group
}

// sample returns up to count of the endpoints, drawn by a hash of this instance's name
// and of the number of samples before.
func (p *Placer) sample(endpoints []*endpoint, count int) []*endpoint {
	p.sampleCount++
	seed := rankHash(p.settings.InstanceName, p.sampleCount)
	drawn := slices.Clone(endpoints)
	slices.SortFunc(drawn, func(a, b *endpoint) int { return cmp.Compare(a.rank^seed, b.rank^seed) })

	return drawn[:min(count, len(drawn))]
}
