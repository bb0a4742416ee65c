package placer

import (
	"slices"
	"time"
)

// search is one pick under way.
type search struct {
	group      *group
	ask        *Ask
	now        time.Time
	dataCentre string
	candidates []*endpoint
}

// collect gathers the endpoints that may take the request: those expected to
// take it, or else, so that an error of judgement does not end all service, any
// that is open.
func (s *search) collect() {
	mean := s.group.failures()
	var open, untried []*endpoint
	for _, e := range s.group.endpoints {
		if !e.open() {
			continue
		}
		open = append(open, e)
		if slices.Contains(s.ask.Avoid, e.ID) {
			continue
		}
		untried = append(untried, e)
		if e.willing(s.now) && e.share <= mean+failureExcess {
			s.candidates = append(s.candidates, e)
		}
	}
	if len(s.candidates) == 0 {
		s.candidates = untried
	}
	if len(s.candidates) == 0 {
		s.candidates = open
	}
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
		running := float64(e.load(s.now).Running) + 1
		if e.DataCentre != s.dataCentre {
			running += remotePenalty
		}

		return running / float64(max(1, e.Slots))
	})
}

// engine places a request that has a prompt.
func (s *search) engine() Choice {
	long := s.ask.Prompt >= s.group.long
	border := s.group.border(s.now, len(s.candidates))
	side := s.candidates[:border]
	if long {
		side = s.candidates[border:]
	}
	if len(side) == 0 {
		side = s.candidates
	}
	var e *endpoint
	if long {
		e = s.familiar(side)
	} else {
		e = s.quietest(side)
	}
	fresh := s.fresh(e)

	return Choice{ID: e.ID, Address: e.Address, Expected: s.expected(e, fresh), Fresh: fresh, Long: long}
}

// quietest takes the engine that runs least, for a short prompt.
func (s *search) quietest(side []*endpoint) *endpoint {
	return least(side, func(e *endpoint) float64 {
		load := e.load(s.now)
		cost := float64(load.Running) + float64(s.group.reading(load.Pending)/time.Millisecond)
		if e.DataCentre != s.dataCentre {
			cost += remotePenalty
		}

		return cost
	})
}

// familiar takes the engine that the request's family belongs to, or the one
// with the earliest first token if that is much sooner.
func (s *search) familiar(side []*endpoint) *endpoint {
	soonest := least(side, func(e *endpoint) float64 { return s.wait(e).Seconds() })
	family := s.ask.family()
	if family == 0 {
		return soonest
	}
	home := least(side, func(e *endpoint) float64 { return -float64(hash(e.ID, family) >> 11) })
	if s.wait(home) <= s.wait(soonest)+moveGain {
		return home
	}

	return soonest
}

// fresh is the prompt tokens that the engine would have to read.
func (s *search) fresh(e *endpoint) int {
	return max(0, s.ask.Prompt-e.cache.covered(s.ask.Parts))
}

// wait is the predicted time to the first token.
func (s *search) wait(e *endpoint) time.Duration {
	return s.expected(e, s.fresh(e))
}

func (s *search) expected(e *endpoint, fresh int) time.Duration {
	load := e.load(s.now)

	return s.group.reading(load.Pending+fresh) + time.Duration(load.Running)*stepTime
}
