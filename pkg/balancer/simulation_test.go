package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	tick       = 5 * time.Millisecond
	promptRate = 8000.0 // prompt tokens per second of an engine
	emptyGap   = 0.02   // seconds between tokens of an empty engine
	meanAnswer = 120
	stepTokens = 128
)

// simEngine is a batching engine: streams slow each other down, prompts are
// read one at a time, and requests over the slots wait.
type simEngine struct {
	name    string
	slots   int
	slow    float64
	streams []*simRequest
	cache   []uint64     // oldest first
	report  []LoadReport // published, newest last
}

type simRequest struct {
	id       uint64
	instance int
	ask      Request
	answer   float64
	fresh    float64
	made     float64
	came     time.Time
	first    time.Time
}

func (e *simEngine) admit(r *simRequest) {
	reuse := 0
	for i, hash := range r.ask.Prefixes {
		if !slices.Contains(e.cache, hash) {
			break
		}
		reuse = (i + 1) * stepTokens
	}
	r.fresh = float64(r.ask.PromptTokens - reuse)
	e.streams = append(e.streams, r)
	for _, hash := range r.ask.Prefixes {
		e.cache = slices.DeleteFunc(e.cache, func(have uint64) bool { return have == hash })
	}
	e.cache = append(e.cache, r.ask.Prefixes...)
	e.cache = e.cache[max(0, len(e.cache)-400):]
}

// advance runs the engine for one tick.
func (e *simEngine) advance(now time.Time) {
	running := e.streams[:min(len(e.streams), e.slots)]
	gap := emptyGap * e.slow * (1 + float64(len(running))/float64(e.slots))
	budget := promptRate / e.slow * tick.Seconds()
	for _, r := range running {
		if r.fresh > 0 {
			spent := min(budget, r.fresh)
			budget -= spent
			r.fresh -= spent
			continue
		}
		if r.first.IsZero() {
			r.first = now
		}
		r.made = min(r.answer, r.made+tick.Seconds()/gap)
	}
}

// policy is a way to choose an engine.
type policy interface {
	pick(now time.Time, ask Request) (Choice, bool)
}

// ours is the package's way, with room known exactly as by a granter, or by
// the own view only.
type ours struct {
	*Balancer
	room CapacityFunc
}

func (p ours) pick(now time.Time, ask Request) (Choice, bool) { return p.Pick(now, ask, p.room) }

// room tells whether an engine has a free slot.
func (s *simulation) room(name string, slots, _ int) bool {
	e := s.engine(name)
	return len(e.streams)+slots <= e.slots
}

func (s *simulation) engine(name string) *simEngine {
	return s.engines[slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.name == name })]
}

// roundRobin takes the next engine in turn that has room.
type roundRobin struct {
	sim  *simulation
	next int
}

func (p *roundRobin) pick(time.Time, Request) (Choice, bool) {
	for range p.sim.engines {
		p.next++
		if name := p.sim.engines[p.next%len(p.sim.engines)].name; p.sim.room(name, 1, 0) {
			return Choice{Endpoint: name}, true
		}
	}
	return Choice{}, false
}

// reportedLoad takes the engine with room that has the least load by the last
// reports.
type reportedLoad struct {
	sim *simulation
	lag int
}

func (p *reportedLoad) pick(time.Time, Request) (Choice, bool) {
	best, least := "", math.MaxInt
	for _, e := range p.sim.engines {
		if len(e.report) <= p.lag || !p.sim.room(e.name, 1, 0) {
			continue
		}
		if load := e.report[len(e.report)-1-p.lag]; load.Running+load.Waiting < least {
			best, least = e.name, load.Running+load.Waiting
		}
	}
	return Choice{Endpoint: best}, best != ""
}

// simulation is a fleet, the instances in front of it and their requests.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	engines   []*simEngine
	instances []*Balancer
	policies  []policy
	queues    [][]*simRequest
	lag       int // load reports, one each 250 ms
	rate      float64
	next      uint64
	done      []*simRequest
	reused    int
	prompted  int
	left      int // requests that left their data centre
	placed    map[string]int
	ejected   map[string]bool
}

func newSimulation(endpoints []Endpoint, instances int, load float64, settings Settings, seed uint64) *simulation {
	s := &simulation{now: start, random: seeded(seed), placed: map[string]int{}, ejected: map[string]bool{}}
	capacity := 0.0
	for _, endpoint := range endpoints {
		s.engines = append(s.engines, &simEngine{name: endpoint.Name, slots: endpoint.Slots, slow: 1})
		capacity += float64(endpoint.Slots) / (2 * emptyGap)
	}
	s.rate = load * capacity / meanAnswer
	places := []string{"a", "b", "c"}
	for i := range instances {
		settings.DataCentre = places[0]
		if slices.ContainsFunc(endpoints, func(e Endpoint) bool { return e.DataCentre != "a" }) {
			settings.DataCentre = places[i%len(places)]
		}
		b := New(settings, seeded(seed+uint64(i)))
		b.Configure(start, endpoints)
		s.instances = append(s.instances, b)
		s.policies = append(s.policies, ours{b, s.room})
	}
	s.queues = make([][]*simRequest, instances)
	return s
}

func (s *simulation) naive(build func(instance int) policy) {
	for i := range s.policies {
		s.policies[i] = build(i)
	}
}

func (s *simulation) arrive() {
	session := uint64(math.Pow(s.random.Float64(), 2) * 300)
	prefixes := make([]uint64, 8)
	for i := range prefixes {
		prefixes[i] = session<<8 | uint64(i)
	}
	s.next++
	answer := min(800, max(5, meanAnswer/1.25*math.Exp(0.67*s.random.NormFloat64())))
	prompt := len(prefixes)*stepTokens + 64
	r := &simRequest{id: s.next, instance: s.random.IntN(len(s.policies)), answer: answer, came: s.now}
	r.ask = Request{
		Service: "pool", Model: "m", PromptTokens: prompt, TotalTokens: prompt + meanAnswer,
		Prefixes: prefixes, Step: stepTokens, Tier: s.random.IntN(5),
	}
	s.queues[r.instance] = append(s.queues[r.instance], r)
}

// place sends what waits at an instance, first come first served.
func (s *simulation) place(i int) {
	for len(s.queues[i]) > 0 {
		r := s.queues[i][0]
		choice, ok := s.policies[i].pick(s.now, r.ask)
		if !ok {
			return
		}
		s.queues[i] = s.queues[i][1:]
		s.instances[i].RecordStart(s.now, r.id, choice.Endpoint, r.ask)
		s.engine(choice.Endpoint).admit(r)
		s.reused += r.ask.PromptTokens - int(r.fresh)
		s.prompted += r.ask.PromptTokens
		s.placed[choice.Endpoint]++
		if choice.CrossDataCentre {
			s.left++
		}
	}
}

func (s *simulation) settle(e *simEngine) {
	e.streams = slices.DeleteFunc(e.streams, func(r *simRequest) bool {
		b := s.instances[r.instance]
		b.RecordProgress(s.now, r.id, int(r.made))
		if r.made < r.answer {
			return false
		}
		b.RecordEnd(s.now, r.id, Finished)
		s.done = append(s.done, r)
		r.ask.TotalTokens = int(s.now.Sub(r.came) / time.Millisecond)
		return true
	})
}

// publish gives all instances the report of lag periods ago.
func (s *simulation) publish(e *simEngine) {
	load := LoadReport{MeasuredAt: s.now, Running: min(len(e.streams), e.slots), Waiting: max(0, len(e.streams)-e.slots)}
	e.report = append(e.report, load)
	if len(e.report) <= s.lag {
		return
	}
	for _, b := range s.instances {
		b.RecordLoad(s.now, e.name, e.report[len(e.report)-1-s.lag])
	}
}

// run advances the simulation by a time.
func (s *simulation) run(span time.Duration) {
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(tick) {
		for range poisson(s.random, s.rate*tick.Seconds()) {
			s.arrive()
		}
		for _, e := range s.engines {
			e.advance(s.now)
			s.settle(e)
			if s.now.Sub(start)%(250*time.Millisecond) == 0 {
				s.publish(e)
			}
		}
		for i := range s.instances {
			s.place(i)
			for _, e := range s.instances[i].ejected {
				s.ejected[e.Name] = true
			}
		}
	}
}

func poisson(random *rand.Rand, mean float64) int {
	count, left := 0, math.Exp(-mean)
	for product := random.Float64(); product > left; product *= random.Float64() {
		count++
	}
	return count
}

// figures are what a run is measured by.
type figures struct {
	first95 float64 // seconds to the first token, 95th percentile
	finish  float64 // seconds to the end, mean
	gaps    float64 // share of requests whose mean time between tokens met 44 ms
	met     float64 // share of requests that also met 360 ms to the first token
	reused  float64 // share of prompt tokens found in a cache
	done    int
	ejected int
}

func (s *simulation) figures() figures {
	firsts := make([]float64, 0, len(s.done))
	f := figures{done: len(s.done), ejected: len(s.ejected), reused: float64(s.reused) / float64(max(1, s.prompted))}
	for _, r := range s.done {
		firsts = append(firsts, r.first.Sub(r.came).Seconds())
		whole := float64(r.ask.TotalTokens) / 1000
		f.finish += whole / float64(len(s.done))
		if (whole-r.first.Sub(r.came).Seconds())/r.answer <= 0.044 {
			f.gaps += 1 / float64(len(s.done))
			if r.first.Sub(r.came) <= 360*time.Millisecond {
				f.met += 1 / float64(len(s.done))
			}
		}
	}
	slices.Sort(firsts)
	f.first95 = firsts[len(firsts)*95/100]
	return f
}
