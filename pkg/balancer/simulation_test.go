package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	simulationStep         = 5 * time.Millisecond
	prefillTokensPerSecond = 8000.0 // prefill speed of an engine
	unloadedTokenInterval  = 0.02   // seconds between tokens of a stream on an engine without load
	meanAnswerTokens       = 120
	blockTokens            = 128 // prompt tokens that each prefix adds
)

// simulatedEngine is a batching engine: concurrent streams slow each other down, prompts
// are prefilled one at a time, and requests beyond the slots wait.
type simulatedEngine struct {
	name           string
	slots          int
	slowdown       float64             // 1 for normal speed, 2 for half
	requests       []*simulatedRequest // running and waiting, in order of arrival
	cachedPrefixes []uint64            // hashes, least recently used first
	reports        []LoadReport        // all load reports, newest last
}

// simulatedRequest is a request from its arrival at an instance to its last token.
type simulatedRequest struct {
	id             uint64
	instance       int     // index of the instance that received it
	request        Request // once finished, its TotalTokens holds the latency in milliseconds
	answerTokens   float64
	uncachedTokens float64 // prompt tokens still to be prefilled
	producedTokens float64
	arrivedAt      time.Time
	firstTokenAt   time.Time
}

// admit adds a request to the engine and its prefixes to the cache.
func (e *simulatedEngine) admit(r *simulatedRequest) {
	cachedTokens := 0
	for i, hash := range r.request.Prefixes {
		if !slices.Contains(e.cachedPrefixes, hash) {
			break
		}
		cachedTokens = (i + 1) * blockTokens
	}
	r.uncachedTokens = float64(r.request.PromptTokens - cachedTokens)
	e.requests = append(e.requests, r)
	for _, hash := range r.request.Prefixes {
		e.cachedPrefixes = slices.DeleteFunc(e.cachedPrefixes, func(cached uint64) bool { return cached == hash })
	}
	e.cachedPrefixes = append(e.cachedPrefixes, r.request.Prefixes...)
	e.cachedPrefixes = e.cachedPrefixes[max(0, len(e.cachedPrefixes)-400):]
}

// advance runs the engine for one simulation step.
func (e *simulatedEngine) advance(now time.Time) {
	running := e.requests[:min(len(e.requests), e.slots)]
	tokenInterval := unloadedTokenInterval * e.slowdown * (1 + float64(len(running))/float64(e.slots))
	prefillBudget := prefillTokensPerSecond / e.slowdown * simulationStep.Seconds()
	for _, r := range running {
		if r.uncachedTokens > 0 {
			prefilled := min(prefillBudget, r.uncachedTokens)
			prefillBudget -= prefilled
			r.uncachedTokens -= prefilled
			continue
		}
		if r.firstTokenAt.IsZero() {
			r.firstTokenAt = now
		}
		r.producedTokens = min(r.answerTokens, r.producedTokens+simulationStep.Seconds()/tokenInterval)
	}
}

// policy is a way of choosing an engine.
type policy interface {
	pick(now time.Time, request Request) (Choice, bool)
}

// balancerPolicy is this package's balancer. Its capacity function knows the free
// capacity of each engine exactly, as credits of package granter do; without one, it is
// estimated from local requests and load reports.
type balancerPolicy struct {
	*Balancer
	capacity CapacityFunc
}

func (p balancerPolicy) pick(t time.Time, r Request) (Choice, bool) { return p.Pick(t, r, p.capacity) }

// hasFreeSlot reports whether an engine has this many free slots.
func (s *simulation) hasFreeSlot(name string, slots, _ int) bool {
	e := s.engineByName(name)
	return len(e.requests)+slots <= e.slots
}

func (s *simulation) engineByName(name string) *simulatedEngine {
	return s.engines[slices.IndexFunc(s.engines, func(e *simulatedEngine) bool { return e.name == name })]
}

// roundRobin chooses the next engine in turn that has a free slot.
type roundRobin struct {
	simulation *simulation
	next       int
}

func (p *roundRobin) pick(time.Time, Request) (Choice, bool) {
	for range p.simulation.engines {
		p.next++
		if name := p.simulation.engines[p.next%len(p.simulation.engines)].name; p.simulation.hasFreeSlot(name, 1, 0) {
			return Choice{Endpoint: name}, true
		}
	}
	return Choice{}, false
}

// leastReportedLoad chooses the engine with a free slot whose load report shows the
// fewest requests.
type leastReportedLoad struct {
	simulation *simulation
	reportLag  int
}

func (p *leastReportedLoad) pick(time.Time, Request) (Choice, bool) {
	best, least := "", math.MaxInt
	for _, e := range p.simulation.engines {
		if len(e.reports) <= p.reportLag || !p.simulation.hasFreeSlot(e.name, 1, 0) {
			continue
		}
		if load := e.reports[len(e.reports)-1-p.reportLag]; load.Running+load.Waiting < least {
			best, least = e.name, load.Running+load.Waiting
		}
	}
	return Choice{Endpoint: best}, best != ""
}

// simulation is a set of engines, the instances that send requests to them, and the
// requests.
type simulation struct {
	now                  time.Time
	random               *rand.Rand
	engines              []*simulatedEngine
	balancers            []*Balancer           // one per instance
	policies             []policy              // one per instance
	queues               [][]*simulatedRequest // waiting requests per instance
	reportLag            int                   // age of received reports, in intervals of 250 ms
	arrivalRate          float64               // requests per second
	lastID               uint64
	finished             []*simulatedRequest
	cachedTokens         int
	promptTokens         int
	crossDataCentrePicks int             // requests placed in another data centre
	placements           map[string]int  // requests placed, by engine name
	everEjected          map[string]bool // engines that any balancer has ejected, by name
}

func newSimulation(endpoints []Endpoint, instances int, load float64, settings Settings, seed uint64) *simulation {
	s := &simulation{now: startTime, random: newRandom(seed), placements: map[string]int{}, everEjected: map[string]bool{}}
	capacity := 0.0
	for _, endpoint := range endpoints {
		s.engines = append(s.engines, &simulatedEngine{name: endpoint.Name, slots: endpoint.Slots, slowdown: 1})
		capacity += float64(endpoint.Slots) / (2 * unloadedTokenInterval)
	}
	s.arrivalRate = load * capacity / meanAnswerTokens
	dataCentres := []string{"a", "b", "c"}
	for i := range instances {
		settings.DataCentre = dataCentres[0]
		if slices.ContainsFunc(endpoints, func(e Endpoint) bool { return e.DataCentre != "a" }) {
			settings.DataCentre = dataCentres[i%len(dataCentres)]
		}
		b := New(settings, newRandom(seed+uint64(i)))
		b.Configure(startTime, endpoints)
		s.balancers = append(s.balancers, b)
		s.policies = append(s.policies, balancerPolicy{b, s.hasFreeSlot})
	}
	s.queues = make([][]*simulatedRequest, instances)
	return s
}

// usePolicy replaces each instance's policy.
func (s *simulation) usePolicy(build func(instance int) policy) {
	for i := range s.policies {
		s.policies[i] = build(i)
	}
}

// addArrival adds a request of a random session at a random instance. The prompts of a
// session have the same prefixes.
func (s *simulation) addArrival() {
	session := uint64(math.Pow(s.random.Float64(), 2) * 300)
	prefixes := make([]uint64, 8)
	for i := range prefixes {
		prefixes[i] = session<<8 | uint64(i)
	}
	s.lastID++
	answerTokens := min(800, max(5, meanAnswerTokens/1.25*math.Exp(0.67*s.random.NormFloat64())))
	promptTokens := len(prefixes)*blockTokens + 64
	r := &simulatedRequest{
		id: s.lastID, instance: s.random.IntN(len(s.policies)),
		answerTokens: answerTokens, arrivedAt: s.now,
	}
	r.request = Request{
		Service: "pool", Model: "m", PromptTokens: promptTokens, TotalTokens: promptTokens + meanAnswerTokens,
		Prefixes: prefixes, BlockTokens: blockTokens, Tier: s.random.IntN(5),
	}
	s.queues[r.instance] = append(s.queues[r.instance], r)
}

// dispatchQueue places an instance's waiting requests in order of arrival until one is
// refused.
func (s *simulation) dispatchQueue(i int) {
	for len(s.queues[i]) > 0 {
		r := s.queues[i][0]
		choice, ok := s.policies[i].pick(s.now, r.request)
		if !ok {
			return
		}
		s.queues[i] = s.queues[i][1:]
		s.balancers[i].RecordStart(s.now, r.id, choice.Endpoint, r.request)
		s.engineByName(choice.Endpoint).admit(r)
		s.cachedTokens += r.request.PromptTokens - int(r.uncachedTokens)
		s.promptTokens += r.request.PromptTokens
		s.placements[choice.Endpoint]++
		if choice.CrossDataCentre {
			s.crossDataCentrePicks++
		}
	}
}

// recordProgress reports the engine's tokens and finished requests to the balancers.
func (s *simulation) recordProgress(e *simulatedEngine) {
	e.requests = slices.DeleteFunc(e.requests, func(r *simulatedRequest) bool {
		b := s.balancers[r.instance]
		b.RecordProgress(s.now, r.id, int(r.producedTokens))
		if r.producedTokens < r.answerTokens {
			return false
		}
		b.RecordEnd(s.now, r.id, Finished)
		s.finished = append(s.finished, r)
		r.request.TotalTokens = int(s.now.Sub(r.arrivedAt) / time.Millisecond)
		return true
	})
}

// publishReport adds a load report of the engine, and gives all balancers the one of
// reportLag intervals ago.
func (s *simulation) publishReport(e *simulatedEngine) {
	report := LoadReport{MeasuredAt: s.now, Running: min(len(e.requests), e.slots), Waiting: max(0, len(e.requests)-e.slots)}
	e.reports = append(e.reports, report)
	if len(e.reports) <= s.reportLag {
		return
	}
	for _, b := range s.balancers {
		b.RecordLoad(s.now, e.name, e.reports[len(e.reports)-1-s.reportLag])
	}
}

// run continues the simulation for a duration.
func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(simulationStep) {
		for range poissonSample(s.random, s.arrivalRate*simulationStep.Seconds()) {
			s.addArrival()
		}
		for _, e := range s.engines {
			e.advance(s.now)
			s.recordProgress(e)
			if s.now.Sub(startTime)%(250*time.Millisecond) == 0 {
				s.publishReport(e)
			}
		}
		for i := range s.balancers {
			s.dispatchQueue(i)
			for _, e := range s.balancers[i].ejectedEndpoints {
				s.everEjected[e.Name] = true
			}
		}
	}
}

// poissonSample returns a random number with a Poisson distribution.
func poissonSample(random *rand.Rand, mean float64) int {
	count, threshold := 0, math.Exp(-mean)
	for product := random.Float64(); product > threshold; product *= random.Float64() {
		count++
	}
	return count
}

// runMetrics are the measurements of a simulation.
type runMetrics struct {
	firstTokenP95           float64 // 95th percentile of the seconds to the first token
	meanLatency             float64 // mean seconds to the last token
	tokenIntervalAttainment float64 // share of requests whose mean token interval was at most 44 ms
	targetAttainment        float64 // share whose first token also came within 360 ms
	cachedFraction          float64 // share of prompt tokens found in a cache
	finished                int
	ejectedEngines          int
}

func (s *simulation) metrics() runMetrics {
	firstTokenDelays := make([]float64, 0, len(s.finished))
	metrics := runMetrics{
		finished: len(s.finished), ejectedEngines: len(s.everEjected),
		cachedFraction: float64(s.cachedTokens) / float64(max(1, s.promptTokens)),
	}
	for _, r := range s.finished {
		firstTokenDelays = append(firstTokenDelays, r.firstTokenAt.Sub(r.arrivedAt).Seconds())
		latencySeconds := float64(r.request.TotalTokens) / 1000
		metrics.meanLatency += latencySeconds / float64(len(s.finished))
		if (latencySeconds-r.firstTokenAt.Sub(r.arrivedAt).Seconds())/r.answerTokens <= 0.044 {
			metrics.tokenIntervalAttainment += 1 / float64(len(s.finished))
			if r.firstTokenAt.Sub(r.arrivedAt) <= 360*time.Millisecond {
				metrics.targetAttainment += 1 / float64(len(s.finished))
			}
		}
	}
	slices.Sort(firstTokenDelays)
	metrics.firstTokenP95 = firstTokenDelays[len(firstTokenDelays)*95/100]
	return metrics
}
