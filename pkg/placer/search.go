package placer

import (
	"math"
	"slices"
	"time"
)

// search is one pick under way.
type search struct {
	group      *group
	ask        *Request
	now        time.Time
	dataCentre string
	open       []*endpoint // by rank
	candidates []*endpoint // of these, those to choose from
}

// collect gathers the endpoints that may take the request.
func (s *search) collect() {
	for _, e := range s.group.endpoints {
		if e.open() {
			s.open = append(s.open, e)
		}
	}
	s.candidates = s.usable(s.open)
}

// usable returns the endpoints that are expected to take the request; if there
// are none, those that it has not tried yet; and if there are none, all, so that
// an error of judgement does not end all service.
func (s *search) usable(endpoints []*endpoint) []*endpoint {
	limit := s.group.failures() + failureExcess
	var untried, willing []*endpoint
	for _, e := range endpoints {
		if slices.Contains(s.ask.AvoidEndpoints, e.ID) {
			continue
		}
		untried = append(untried, e)
		if e.willing(s.now) && e.share <= limit {
			willing = append(willing, e)
		}
	}
	switch {
	case len(willing) > 0:
		return willing
	case len(untried) > 0:
		return untried
	}

	return endpoints
}

// failures is the endpoints' mean share of failures.
func (g *group) failures() float64 {
	if len(g.endpoints) == 0 {
		return 0
	}
	sum := 0.0
	for _, e := range g.endpoints {
		sum += e.share
	}

	return sum / float64(len(g.endpoints))
}

// least returns the endpoint with the lowest cost.
func least(endpoints []*endpoint, cost func(*endpoint) float64) *endpoint {
	var best *endpoint
	lowest := 0.0
	for _, e := range endpoints {
		if c := cost(e); best == nil || c < lowest {
			best, lowest = e, c
		}
	}

	return best
}

// plain takes the endpoint with the fewest requests for its slots.
func (s *search) plain() *endpoint {
	return least(s.candidates, func(e *endpoint) float64 {
		running := float64(e.load().RunningRequests) + 1
		if e.DataCentre != s.dataCentre {
			running += remotePenalty
		}

		return running / float64(max(1, e.Slots))
	})
}

// engine places a request that has a prompt.
func (s *search) engine() Choice {
	long := s.ask.PromptTokens >= s.group.long
	border := s.group.border(s.now, len(s.open))
	first := s.scaled(border)
	var e *endpoint
	if long {
		e = s.familiar(s.candidates[first:])
	} else {
		e = s.nearby(s.quietest(s.spare(s.candidates[:first])), s.candidates[first:])
	}
	if e == nil {
		e = s.quietest(s.candidates)
	}
	fresh := s.fresh(e)
	source := s.source(e)
	if source != nil {
		fresh = s.fresh(source)
	}

	return Choice{
		CacheSourceAddress: address(source),
		EndpointID:         e.ID, Address: e.Address, ExpectedTimeToFirstToken: s.expected(e, fresh), UncachedTokens: fresh, Reading: s.group.reading(fresh), IsLongPrompt: long,
		InOtherDataCentre: e.DataCentre != s.dataCentre, Split: border, EngineCount: len(s.open),
	}
}

// scaled returns the border among the candidates, so that neither group is left
// with none but engines that crashed.
func (s *search) scaled(border int) int {
	n := len(s.candidates)
	if n < 2 || len(s.open) < 2 {
		return n
	}
	part := float64(border) * float64(n) / float64(len(s.open))

	return min(n-1, max(1, int(math.Round(part))))
}

// source returns an engine that holds so much more of the prompt than e that e
// had better copy it; nil: there is none.
func (s *search) source(e *endpoint) *endpoint {
	if !s.ask.CanCopyCache {
		return nil
	}
	held := e.cache.covered(s.ask.Blocks)
	best := least(s.open, func(other *endpoint) float64 {
		if !other.willing(s.now) {
			return 0
		}

		return -float64(other.cache.covered(s.ask.Blocks))
	})
	if best == nil || best == e || !best.willing(s.now) || best.cache.covered(s.ask.Blocks) < held+fetchLeast {
		return nil
	}

	return best
}

func address(e *endpoint) string {
	if e == nil {
		return ""
	}

	return e.Address
}

// spare returns the engines of the side with a free slot, or else any that have
// one.
func (s *search) spare(side []*endpoint) []*endpoint {
	full := func(e *endpoint) bool { return e.load().RunningRequests >= e.slots() }
	if free := slices.DeleteFunc(slices.Clone(side), full); len(free) > 0 {
		return free
	}
	if free := slices.DeleteFunc(slices.Clone(s.candidates), full); len(free) > 0 {
		return free
	}

	return side
}

// nearby takes an engine of the other group for a short prompt that would be late
// in its own, which follows a surge only after a while.
func (s *search) nearby(own *endpoint, others []*endpoint) *endpoint {
	other := s.quietest(others)
	if own == nil || other == nil || s.ask.TargetTimeToFirstToken <= 0 {
		return own
	}
	wait := s.expected(own, s.fresh(own))
	if wait < time.Duration(lateShare*float64(s.ask.TargetTimeToFirstToken)) || s.expected(other, s.fresh(other))+moveGain >= wait {
		return own
	}

	return other
}

// quietest takes the engine that runs and has to read least, for a short prompt:
// a millisecond of reading counts like a running stream.
func (s *search) quietest(side []*endpoint) *endpoint {
	return least(side, func(e *endpoint) float64 {
		load := e.load()
		cost := float64(load.RunningRequests) + s.group.reading(load.PendingTokens+s.fresh(e)).Seconds()*float64(time.Second/time.Millisecond)
		if e.DataCentre != s.dataCentre {
			cost += remotePenalty
		}

		return cost
	})
}

// familiar takes the engine that the request's family belongs to, or the one
// with the earliest first token if that is much sooner.
func (s *search) familiar(side []*endpoint) *endpoint {
	soonest := least(side, func(e *endpoint) float64 { return s.cost(e).Seconds() })
	family := s.ask.family()
	if family == 0 || soonest == nil {
		return soonest
	}
	home := least(side, func(e *endpoint) float64 { return -float64(hash(e.ID, family) >> 11) })
	again := s.group.reading(max(0, s.fresh(soonest)-s.fresh(home)))
	if s.cost(home) <= s.cost(soonest)+again+moveGain {
		return home
	}

	return soonest
}

// cost is the predicted time to the first token of a long prompt, and what it
// does to the streams that run there.
func (s *search) cost(e *endpoint) time.Duration {
	fresh := s.fresh(e)
	load := e.load()
	cost := s.expected(e, fresh)
	if s.group.reading(load.PendingTokens+fresh) > pauseTime {
		cost += time.Duration(load.RunningShortPrompts) * pausePenalty
	}

	return cost
}

// fresh is the prompt tokens that the engine would have to read.
func (s *search) fresh(e *endpoint) int {
	return max(0, s.ask.PromptTokens-e.cache.covered(s.ask.Blocks))
}

// expected is the predicted time to the first token.
func (s *search) expected(e *endpoint, fresh int) time.Duration {
	load := e.load()

	return s.group.reading(load.PendingTokens+fresh) + time.Duration(load.RunningRequests)*stepTime
}
