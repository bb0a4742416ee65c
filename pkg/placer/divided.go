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
// late loads would get the requests of many instances at once. A long prompt goes to the
// engine of its prefix group in any data centre, as the engines of one data centre cannot
// cache the prefixes of all groups. If that engine is late, it goes to one of the own
// data centre or to one of those drawn at random.
func (p *Placer) pickInDividedFleet(s search) Choice {
	local := s.restrict(func(e *endpoint) bool { return e.DataCentre == s.dataCentre })
	if len(local.accepting()) == 0 {
		return s.pickEngine()
	}
	if s.isLongPrompt() {
		if e := p.pickLongPromptEngine(&s, local); e != nil {
			return s.newChoice(e, s.service.split(s.now, len(local.eligible)))
		}
	}
	choice := local.pickEngine()
	if !s.isLate(choice) {
		return choice
	}
	remote := s.restrict(func(e *endpoint) bool { return e.DataCentre != s.dataCentre })
	remote.candidates = p.sample(remote.accepting(), remoteSampleSize)
	if len(remote.candidates) == 0 {
		return choice
	}
	alternative := s.newChoice(remote.leastBusy(remote.withFreeSlot(remote.candidates)), choice.Split)
	if alternative.ExpectedTimeToFirstToken+minMoveGain < choice.ExpectedTimeToFirstToken {
		return alternative
	}

	return choice
}

// pickLongPromptEngine chooses an engine of the long groups of all data centres; nil if
// there is none.
func (p *Placer) pickLongPromptEngine(s, local *search) *endpoint {
	localGroup := local.longGroup(s.service.split(s.now, len(local.eligible)))
	var remoteGroup []*endpoint
	for _, dataCentre := range s.service.dataCentres {
		if dataCentre != s.dataCentre {
			remote := s.restrict(func(e *endpoint) bool { return e.DataCentre == dataCentre })
			remote.candidates = remote.accepting()
			remoteGroup = append(remoteGroup, remote.longGroup(s.service.remoteSplit(s.now, dataCentre, len(remote.eligible)))...)
		}
	}
	alternatives := slices.Concat(localGroup, p.sample(remoteGroup, remoteSampleSize))

	return s.pickForLongPrompt(slices.Concat(localGroup, remoteGroup), alternatives)
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
