package balancer

import (
	"math"
	"time"
)

const (
	// affinityBound is how far over the mean load a prefix may fill its
	// endpoint.
	affinityBound = 1.25
	// probesLooked is the suspect endpoints a pick looks at.
	probesLooked = 8
)

// search is one pick under way.
type search struct {
	balancer *Balancer
	now      time.Time
	ask      *Request
	room     CapacityFunc
	best     *engine
	finish   float64
}

// Pick chooses an endpoint. It returns false when none has room.
func (b *Balancer) Pick(now time.Time, ask Request, room CapacityFunc) (Choice, bool) {
	b.tick(now)
	p := b.pool(ask)
	if p == nil {
		return Choice{}, false
	}
	b.picks++
	b.match(&ask)
	s := &search{balancer: b, now: now, ask: &ask, room: room}
	e := s.run(p)
	if e == nil {
		return Choice{}, false
	}
	return Choice{Endpoint: e.Name, Reused: b.reused(e), CrossDataCentre: e.away}, true
}

// run tries the own data centre, then the others, then suspect endpoints.
func (s *search) run(p *pool) *engine {
	if s.ask.Isolated {
		if e := s.emptiest(p); e != nil {
			return e
		}
	}
	if e := s.probe(false, false); e != nil {
		return e
	}
	if e := s.choose(p.local, false); e != nil {
		return e
	}
	if e := s.probe(true, false); e != nil {
		return e
	}
	if e := s.choose(p.remote, true); e != nil {
		return e
	}
	if e := s.probe(false, true); e != nil {
		return e
	}
	return s.probe(true, true)
}

// eligible tells whether an endpoint of the pool can take the request.
func (s *search) eligible(e *engine) bool {
	return e.standing.status == Healthy && e.open(s.ask) && !e.limited(s.now) && e.fits(s.now, s.ask, s.room)
}

// consider keeps the endpoint if it would finish earliest.
func (s *search) consider(e *engine) {
	finish := e.finish(s.now, s.ask, s.balancer.reused(e))
	if s.best == nil || finish < s.finish || (finish == s.finish && e.Name < s.best.Name) {
		s.best, s.finish = e, finish
	}
}

// choose weighs holders of the prompt's prefix against random samples.
func (s *search) choose(engines []*engine, remote bool) *engine {
	s.holders(remote)
	s.sample(engines)
	return s.best
}

// holders considers the endpoints that hold most of the prompt, unless they
// carry much more than the mean load.
func (s *search) holders(remote bool) {
	seen := 0
	for _, e := range s.balancer.matched {
		if seen == s.balancer.settings.Choices {
			return
		}
		if e.away != remote || !e.serves(s.ask) || !s.bounded(e) || !s.eligible(e) {
			continue
		}
		seen++
		s.consider(e)
	}
}

func (s *search) bounded(e *engine) bool {
	mean := e.group.use() * e.slots
	return e.load(s.now)+1 <= math.Ceil(affinityBound*(mean+1))
}

// sample considers random endpoints until enough are eligible. It shuffles
// the part of the pool that it looks at.
func (s *search) sample(engines []*engine) {
	settings := s.balancer.settings
	found := 0
	for i := 0; i < len(engines) && i < settings.Probes && found < settings.Choices; i++ {
		j := i + s.balancer.random.IntN(len(engines)-i)
		engines[i], engines[j] = engines[j], engines[i]
		if s.eligible(engines[i]) {
			found++
			s.consider(engines[i])
		}
	}
}

// probe returns a suspect endpoint that is to be tried with this request. As
// the last resort any request is good for it.
func (s *search) probe(remote, last bool) *engine {
	for i, e := range s.balancer.suspects {
		if i == probesLooked {
			return nil
		}
		if e.away != remote || !e.serves(s.ask) || !e.open(s.ask) {
			continue
		}
		willing := e.probes(s.now, s.ask) || (last && !e.standing.probing)
		if willing && e.fits(s.now, s.ask, s.room) {
			return e
		}
	}
	return nil
}

// emptiest returns the endpoint with the fewest own requests, the own data
// centre first. It looks at all: requests that must be alone are rare.
func (s *search) emptiest(p *pool) *engine {
	var best *engine
	for _, engines := range [][]*engine{p.local, p.remote} {
		for _, e := range engines {
			if (best == nil || e.emptier(best, s.now)) && s.eligible(e) {
				best = e
			}
		}
		if best != nil && best.running == 0 {
			return best
		}
	}
	return best
}

func (e *engine) emptier(other *engine, now time.Time) bool {
	if e.running != other.running {
		return e.running < other.running
	}
	if mine, theirs := e.load(now), other.load(now); mine != theirs {
		return mine < theirs
	}
	return e.Name < other.Name
}

// match marks endpoints that hold a prefix of the prompt with how much of it
// they hold, and lists them with the most first. It ends when there are enough
// to choose from. Without the shortest prefix no engine can reuse a longer one.
func (b *Balancer) match(ask *Request) {
	b.matched = b.matched[:0]
	prefixes := ask.prefixes()
	if len(prefixes) == 0 || b.table.find(prefixes[0]) == nil {
		return
	}
	for i := len(prefixes) - 1; i >= 0 && len(b.matched) < b.settings.Choices; i-- {
		if found := b.table.find(prefixes[i]); found != nil {
			b.mark(found, ask.covered(i))
		}
	}
}

func (b *Balancer) mark(found *entry, tokens int) {
	for _, h := range found.list() {
		if !h.valid() || h.engine.pick == b.picks {
			continue
		}
		h.engine.pick = b.picks
		h.engine.reuse = tokens
		b.matched = append(b.matched, h.engine)
	}
}

// prefixes are those that are taken in.
func (a *Request) prefixes() []uint64 { return a.Prefixes[:min(len(a.Prefixes), prefixesMost)] }

// covered is the prompt tokens in the first prefixes up to index i.
func (a *Request) covered(i int) int {
	if a.Step > 0 {
		return min(a.PromptTokens, (i+1)*a.Step)
	}
	return a.PromptTokens * (i + 1) / len(a.Prefixes)
}

func (b *Balancer) reused(e *engine) int {
	if e.pick != b.picks {
		return 0
	}
	return e.reuse
}
