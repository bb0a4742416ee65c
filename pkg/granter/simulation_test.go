package granter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	simStep             = 10 * time.Millisecond
	simDeadline         = 30 * time.Second
	simQueueTimeout     = 5 * time.Second // after a longer wait a long answer would miss its deadline
	simMaxStartDelay    = 360 * time.Millisecond
	simMeanAnswerTokens = 120
	simSecondsPerToken  = 0.02 // of an otherwise idle engine
)

// simRequest is a simulated request.
type simRequest struct {
	id              uint64
	tier            int
	arrivedAt       time.Time
	remainingTokens float64 // tokens still to be generated
	tokens          int
	endpoint        int
}

// sharingPolicy is a way to share the endpoints between instances.
type sharingPolicy interface {
	// acquire takes capacity for the request at an endpoint, or returns false.
	acquire(s *simulation, instance int, r *simRequest) (endpoint int, ok bool)
	release(s *simulation, instance int, r *simRequest)
	step(s *simulation)
}

// simulation is a number of engines behind instances that each have a request queue.
type simulation struct {
	now                         time.Time
	random                      *rand.Rand
	endpoints                   []Endpoint
	running                     [][]*simRequest // by endpoint; those beyond its slots wait there
	instanceOfRequest           map[uint64]int
	queues                      [][]*simRequest
	instanceWeights             []float64
	arrivalRate                 float64
	policy                      sharingPolicy
	lastID                      uint64
	goodTokens                  float64 // tokens of answers finished within simDeadline
	topTierCount, topTierInTime int     // requests of tier 0, and those started within simMaxStartDelay
}

func newSimulation(instances int, load float64, instanceWeights []float64, policy sharingPolicy, seed uint64) *simulation {
	s := &simulation{now: start, random: rand.New(rand.NewPCG(seed, 2)), instanceWeights: instanceWeights, policy: policy}
	s.endpoints, _, _ = newFleet(instances, 12)
	s.running = make([][]*simRequest, len(s.endpoints))
	s.queues = make([][]*simRequest, instances)
	s.instanceOfRequest = map[uint64]int{}
	s.arrivalRate = load * float64(len(s.endpoints)*16) / (2 * simSecondsPerToken) / simMeanAnswerTokens
	return s
}

// arrive queues the requests that arrive in this step. The random draws don't depend on
// the sharing policy, so that all policies get the same arrivals.
func (s *simulation) arrive() {
	expectedArrivals := s.arrivalRate * simStep.Seconds()
	if s.now.Sub(start)%(10*time.Second) < 2*time.Second {
		expectedArrivals *= 1.5
	}
	for arrivalThreshold := s.random.Float64(); arrivalThreshold < expectedArrivals; arrivalThreshold++ {
		instanceDraw, tier := s.random.Float64(), s.random.IntN(TierCount)
		answerTokens := min(500, max(5, simMeanAnswerTokens/1.25*math.Exp(0.67*s.random.NormFloat64())))
		instance := 0
		for ; instance < len(s.queues)-1 && instanceDraw >= s.instanceWeights[instance]; instance++ {
			instanceDraw -= s.instanceWeights[instance]
		}
		s.lastID++
		r := &simRequest{id: s.lastID, tier: tier, arrivedAt: s.now, remainingTokens: answerTokens, tokens: 300 + int(answerTokens)}
		s.queues[instance] = append(s.queues[instance], r)
		if tier == 0 {
			s.topTierCount++
		}
	}
}

// startWaiting starts the requests that wait at an instance, higher tiers first, until
// the policy has no capacity for the next. It drops those that waited too long.
func (s *simulation) startWaiting(instance int) {
	queue := slices.DeleteFunc(s.queues[instance], func(r *simRequest) bool { return s.now.Sub(r.arrivedAt) > simQueueTimeout })
	slices.SortStableFunc(queue, func(x, y *simRequest) int { return x.tier - y.tier })
	for len(queue) > 0 {
		r := queue[0]
		endpoint, ok := s.policy.acquire(s, instance, r)
		if !ok {
			break
		}
		queue = queue[1:]
		r.endpoint = endpoint
		s.instanceOfRequest[r.id] = instance
		s.running[endpoint] = append(s.running[endpoint], r)
		if r.tier == 0 && len(s.running[endpoint]) <= 16 && s.now.Sub(r.arrivedAt) <= simMaxStartDelay {
			s.topTierInTime++
		}
	}
	s.queues[instance] = queue
}

// generateTokens advances the requests that run on an endpoint by one step. The time
// between tokens grows with the number of requests in the batch.
func (s *simulation) generateTokens(endpoint int) {
	running := s.running[endpoint]
	batch := running[:min(len(running), 16)]
	generated := simStep.Seconds() / (simSecondsPerToken * (1 + float64(len(batch))/16))
	for _, r := range batch {
		r.remainingTokens -= generated
	}
	s.running[endpoint] = slices.DeleteFunc(running, func(r *simRequest) bool {
		if r.remainingTokens > 0 {
			return false
		}
		if s.now.Sub(r.arrivedAt) <= simDeadline {
			s.goodTokens += float64(r.tokens - 300)
		}
		s.policy.release(s, s.instanceOfRequest[r.id], r)
		delete(s.instanceOfRequest, r.id)
		return true
	})
}

func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.arrive()
		for endpoint := range s.endpoints {
			s.generateTokens(endpoint)
		}
		s.policy.step(s)
		for instance := range s.queues {
			s.startWaiting(instance)
		}
	}
}

// staticPolicy gives each instance a fixed share of each endpoint's slots.
type staticPolicy struct{ usedSlots [][]int }

func newStaticPolicy(instances int) sharingPolicy {
	usedSlots := make([][]int, instances)
	for i := range usedSlots {
		usedSlots[i] = make([]int, 12)
	}
	return &staticPolicy{usedSlots}
}

func (p *staticPolicy) acquire(_ *simulation, instance int, _ *simRequest) (int, bool) {
	bestEndpoint, maxFree, instanceCount := 0, 0, len(p.usedSlots)
	for e := range 12 {
		rotated := (instance + e) % instanceCount // Rotates which instances get the remainder of the division.
		if free := 16*(rotated+1)/instanceCount - 16*rotated/instanceCount - p.usedSlots[instance][e]; free > maxFree {
			bestEndpoint, maxFree = e, free
		}
	}
	if maxFree == 0 {
		return 0, false
	}
	p.usedSlots[instance][bestEndpoint]++
	return bestEndpoint, true
}

func (p *staticPolicy) release(_ *simulation, i int, r *simRequest) { p.usedSlots[i][r.endpoint]-- }
func (p *staticPolicy) step(*simulation)                            {}

// loadReportPolicy chooses the less loaded of two random endpoints, by load reports that
// are half a second old plus the instance's own requests since the last report. It
// sends while one of the two appears to have a free slot.
type loadReportPolicy struct {
	publishedLoads  [][]int
	sentSinceReport [][]int
}

func newLoadReportPolicy(instances int) sharingPolicy {
	p := &loadReportPolicy{sentSinceReport: make([][]int, instances)}
	for i := range p.sentSinceReport {
		p.sentSinceReport[i] = make([]int, 12)
	}
	return p
}

func (p *loadReportPolicy) acquire(s *simulation, instance int, _ *simRequest) (int, bool) {
	bestEndpoint, minLoad := 0, 16
	for range 2 {
		e := s.random.IntN(12)
		load := p.sentSinceReport[instance][e]
		if len(p.publishedLoads) > 2 {
			load += p.publishedLoads[len(p.publishedLoads)-3][e]
		}
		if load < minLoad {
			bestEndpoint, minLoad = e, load
		}
	}
	if minLoad == 16 {
		return 0, false
	}
	p.sentSinceReport[instance][bestEndpoint]++
	return bestEndpoint, true
}

func (p *loadReportPolicy) release(*simulation, int, *simRequest) {}

func (p *loadReportPolicy) step(s *simulation) {
	if s.now.Sub(start)%(250*time.Millisecond) > 0 {
		return
	}
	loads := make([]int, 12)
	for e := range loads {
		loads[e] = len(s.running[e])
	}
	p.publishedLoads = append(p.publishedLoads, loads)
	for i := range p.sentSinceReport {
		clear(p.sentSinceReport[i])
	}
}

// creditPolicy shares endpoints by the credits of this package. Credit requests and
// grants take one step each to arrive, and one message in a hundred is lost.
type creditPolicy struct {
	homes        map[string]*Home
	borrowers    []*Borrower
	inTransit    []message
	random       *rand.Rand
	requestCount int
	splitDemand  bool // reports a twelfth of the waiting demand to each endpoint
}

func newCreditPolicy(instances int, settings Settings) *creditPolicy {
	p := &creditPolicy{homes: map[string]*Home{}, random: rand.New(rand.NewPCG(3, 4))}
	endpoints, members, dataCentres := newFleet(instances, 12)
	for _, member := range members {
		h, b := NewHome(settings), NewBorrower(settings, member)
		h.SetDataCentres(dataCentres)
		b.SetDataCentres(dataCentres)
		h.Configure(start, endpoints, members, member)
		b.Configure(start, endpoints, members)
		p.homes[member] = h
		p.borrowers = append(p.borrowers, b)
	}
	return p
}

func (p *creditPolicy) acquire(s *simulation, instance int, r *simRequest) (int, bool) {
	bestEndpoint, maxFree := 0, 0
	b := p.borrowers[instance]
	for e, endpoint := range s.endpoints {
		borrowed := b.endpoints[endpoint.Name]
		if borrowed == nil {
			continue
		}
		if free := borrowed.limit(s.now).Slots - borrowed.inUse.Slots; free > maxFree && borrowed.fits(s.now, 1, r.tokens) {
			bestEndpoint, maxFree = e, free
		}
	}
	return bestEndpoint, maxFree > 0 && b.Acquire(s.now, r.id, s.endpoints[bestEndpoint].Name, r.tokens)
}

func (p *creditPolicy) release(s *simulation, instance int, r *simRequest) {
	p.borrowers[instance].Release(s.now, r.id)
}

func (p *creditPolicy) step(s *simulation) {
	arrived := p.inTransit
	p.inTransit = nil
	for _, m := range arrived {
		if p.random.IntN(100) == 0 {
			continue
		}
		if m.requests != nil {
			p.inTransit = append(p.inTransit, message{from: m.to, to: m.from, grants: p.homes[m.to].AnswerCreditRequests(s.now, m.from, m.requests)})
			continue
		}
		i := slices.IndexFunc(p.borrowers, func(b *Borrower) bool { return b.self == m.to })
		p.borrowers[i].ReceiveGrants(s.now, m.from, m.grants)
	}
	for i, b := range p.borrowers {
		p.setDemand(s, i)
		for _, home := range b.DueHomes(s.now) {
			p.requestCount++
			p.inTransit = append(p.inTransit, message{from: b.self, to: home, requests: b.CreateCreditRequests(s.now, home)})
		}
	}
}

func (p *creditPolicy) setDemand(s *simulation, instance int) {
	var waiting [TierCount]Credit
	for _, r := range s.queues[instance] {
		waiting[r.tier] = waiting[r.tier].plus(Credit{Slots: 1, Tokens: r.tokens})
	}
	if p.splitDemand {
		for tier, tierDemand := range waiting {
			waiting[tier] = Credit{Slots: (tierDemand.Slots + 11) / 12, Tokens: (tierDemand.Tokens + 11) / 12}
		}
	}
	for _, endpoint := range s.endpoints {
		p.borrowers[instance].SetDemand(endpoint.Name, waiting)
	}
}

// callerDistributions are the fractions of the requests that reach each instance.
var callerDistributions = map[string][]float64{
	"even":   {1. / 7, 1. / 7, 1. / 7, 1. / 7, 1. / 7, 1. / 7, 1. / 7},
	"skewed": {0.4, 0.2, 0.1, 0.1, 0.1, 0.05, 0.05},
}

// compareToOneInstance simulates a policy on seven instances. It returns the goodput and
// the fraction of top-tier requests started in time, each divided by that of a single
// instance under the same load.
func compareToOneInstance(newPolicy func() sharingPolicy, distribution string, load float64, seed uint64) (goodput, topTierRatio float64) {
	one := newSimulation(1, load, []float64{1}, newStaticPolicy(1), seed)
	seven := newSimulation(7, load, callerDistributions[distribution], newPolicy(), seed)
	for _, s := range []*simulation{one, seven} {
		s.run(10 * time.Second)
		s.goodTokens, s.topTierCount, s.topTierInTime = 0, 0, 0
		s.run(60 * time.Second)
	}
	return seven.goodTokens / one.goodTokens, float64(seven.topTierInTime) / float64(seven.topTierCount) / (float64(one.topTierInTime) / float64(one.topTierCount))
}

var policies = []struct {
	name string
	new  func() sharingPolicy
}{
	{"credits", func() sharingPolicy { return newCreditPolicy(7, Settings{}) }},
	{"credits/split", func() sharingPolicy { p := newCreditPolicy(7, Settings{}); p.splitDemand = true; return p }},
	{"credits/subset=4", func() sharingPolicy { return newCreditPolicy(7, Settings{SubsetSize: 4}) }},
	{"credits/subset=12", func() sharingPolicy { return newCreditPolicy(7, Settings{SubsetSize: 12}) }},
	{"credits/interval=1s", func() sharingPolicy {
		return newCreditPolicy(7, Settings{RequestInterval: time.Second, CreditTTL: 3 * time.Second})
	}},
	{"credits/interval=4s", func() sharingPolicy {
		return newCreditPolicy(7, Settings{RequestInterval: 4 * time.Second, CreditTTL: 10 * time.Second})
	}},
	{"static", func() sharingPolicy { return newStaticPolicy(7) }},
	{"reports", func() sharingPolicy { return newLoadReportPolicy(7) }},
}

// BenchmarkSharingPolicies reports, for each policy, the goodput of seven instances and
// their fraction of top-tier requests started in time, relative to one instance.
func BenchmarkSharingPolicies(b *testing.B) {
	for _, distribution := range []string{"even", "skewed"} {
		for _, load := range []float64{0.8, 1, 1.5} {
			for _, policy := range policies {
				b.Run(fmt.Sprintf("%s/load=%.1f/%s", distribution, load, policy.name), func(b *testing.B) {
					goodput, topTierRatio := 0.0, 0.0
					for seed := range uint64(b.N) {
						seedGoodput, seedTopTierRatio := compareToOneInstance(policy.new, distribution, load, seed+1)
						goodput, topTierRatio = goodput+seedGoodput/float64(b.N), topTierRatio+seedTopTierRatio/float64(b.N)
					}
					b.ReportMetric(goodput, "goodput")
					b.ReportMetric(topTierRatio, "top")
				})
			}
		}
	}
}

func TestSevenInstancesReachTheGoodputOfOne(t *testing.T) {
	for _, load := range []float64{0.8, 1.5} {
		goodput, topTierRatio := compareToOneInstance(policies[0].new, "even", load, 1)
		t.Logf("load %.1f: goodput %.3f, top tier %.3f", load, goodput, topTierRatio)
		assert.Assert(t, goodput >= 0.97, "load %.1f: goodput %.3f of one instance's", load, goodput)
	}
	creditGoodput, _ := compareToOneInstance(policies[0].new, "skewed", 1, 1)
	staticGoodput, _ := compareToOneInstance(policies[6].new, "skewed", 1, 1)
	assert.Assert(t, creditGoodput > staticGoodput, "credits %.3f, static %.3f", creditGoodput, staticGoodput)
}
