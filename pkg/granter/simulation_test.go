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
	simStep     = 10 * time.Millisecond
	simDeadline = 30 * time.Second
	simPatience = 5 * time.Second // a longer wait leaves no time for a long answer
	simTarget   = 360 * time.Millisecond
	simAnswer   = 120  // mean tokens
	simGap      = 0.02 // seconds between tokens of an empty engine
)

// simRequest is a request of a simulation.
type simRequest struct {
	id       uint64
	tier     int
	came     time.Time
	left     float64 // tokens still to make
	tokens   int
	endpoint int
}

// sharing is a way to share the endpoints between instances.
type sharing interface {
	// choose takes room for the request at an endpoint, or returns false.
	choose(s *simulation, instance int, r *simRequest) (endpoint int, ok bool)
	release(s *simulation, instance int, r *simRequest)
	step(s *simulation)
}

// simulation is a fleet of engines behind instances with a queue each.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	endpoints []Endpoint
	running   [][]*simRequest // by endpoint; those over the slots wait
	owners    map[uint64]int
	queues    [][]*simRequest
	weights   []float64
	rate      float64
	sharing   sharing
	next      uint64
	good      float64 // tokens of answers done in time
	top, met  int     // requests of tier 0, and those started in time
}

func newSimulation(instances int, load float64, weights []float64, sharing sharing, seed uint64) *simulation {
	s := &simulation{now: start, random: rand.New(rand.NewPCG(seed, 2)), weights: weights, sharing: sharing}
	s.endpoints, _, _ = plan(instances, 12)
	s.running = make([][]*simRequest, len(s.endpoints))
	s.queues = make([][]*simRequest, instances)
	s.owners = map[uint64]int{}
	s.rate = load * float64(len(s.endpoints)*16) / (2 * simGap) / simAnswer
	return s
}

// arrive lets requests come in. The draws don't depend on the way of sharing,
// so that all ways see the same arrivals.
func (s *simulation) arrive() {
	expected := s.rate * simStep.Seconds()
	if s.now.Sub(start)%(10*time.Second) < 2*time.Second {
		expected *= 1.5
	}
	for chance := s.random.Float64(); chance < expected; chance++ {
		at, tier := s.random.Float64(), s.random.IntN(Tiers)
		answer := min(500, max(5, simAnswer/1.25*math.Exp(0.67*s.random.NormFloat64())))
		instance := 0
		for ; instance < len(s.queues)-1 && at >= s.weights[instance]; instance++ {
			at -= s.weights[instance]
		}
		s.next++
		r := &simRequest{id: s.next, tier: tier, came: s.now, left: answer, tokens: 300 + int(answer)}
		s.queues[instance] = append(s.queues[instance], r)
		if tier == 0 {
			s.top++
		}
	}
}

// place sends what waits at an instance, the higher tiers first.
func (s *simulation) place(instance int) {
	queue := slices.DeleteFunc(s.queues[instance], func(r *simRequest) bool { return s.now.Sub(r.came) > simPatience })
	slices.SortStableFunc(queue, func(x, y *simRequest) int { return x.tier - y.tier })
	for len(queue) > 0 {
		r := queue[0]
		endpoint, ok := s.sharing.choose(s, instance, r)
		if !ok {
			break
		}
		queue = queue[1:]
		r.endpoint = endpoint
		s.owners[r.id] = instance
		s.running[endpoint] = append(s.running[endpoint], r)
		if r.tier == 0 && len(s.running[endpoint]) <= 16 && s.now.Sub(r.came) <= simTarget {
			s.met++
		}
	}
	s.queues[instance] = queue
}

func (s *simulation) advance(endpoint int) {
	all := s.running[endpoint]
	batch := all[:min(len(all), 16)]
	made := simStep.Seconds() / (simGap * (1 + float64(len(batch))/16))
	for _, r := range batch {
		r.left -= made
	}
	s.running[endpoint] = slices.DeleteFunc(all, func(r *simRequest) bool {
		if r.left > 0 {
			return false
		}
		if s.now.Sub(r.came) <= simDeadline {
			s.good += float64(r.tokens - 300)
		}
		s.sharing.release(s, s.owners[r.id], r)
		delete(s.owners, r.id)
		return true
	})
}

func (s *simulation) run(span time.Duration) {
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.arrive()
		for endpoint := range s.endpoints {
			s.advance(endpoint)
		}
		s.sharing.step(s)
		for instance := range s.queues {
			s.place(instance)
		}
	}
}

// static gives each instance a fixed share of each endpoint.
type static struct{ used [][]int }

func newStatic(instances int) sharing {
	used := make([][]int, instances)
	for i := range used {
		used[i] = make([]int, 12)
	}
	return &static{used}
}

func (p *static) choose(_ *simulation, instance int, _ *simRequest) (int, bool) {
	best, most, count := 0, 0, len(p.used)
	for e := range 12 {
		at := (instance + e) % count // The rest of the division goes round.
		if room := 16*(at+1)/count - 16*at/count - p.used[instance][e]; room > most {
			best, most = e, room
		}
	}
	if most == 0 {
		return 0, false
	}
	p.used[instance][best]++
	return best, true
}

func (p *static) release(_ *simulation, instance int, r *simRequest) { p.used[instance][r.endpoint]-- }
func (p *static) step(*simulation)                                   {}

// reports takes the better of two random endpoints by reports half a second
// old and the instance's own requests since, and sends while one has room.
type reports struct {
	published [][]int
	own       [][]int
}

func newReports(instances int) sharing {
	p := &reports{own: make([][]int, instances)}
	for i := range p.own {
		p.own[i] = make([]int, 12)
	}
	return p
}

func (p *reports) choose(s *simulation, instance int, _ *simRequest) (int, bool) {
	best, least := 0, 16
	for range 2 {
		e := s.random.IntN(12)
		load := p.own[instance][e]
		if len(p.published) > 2 {
			load += p.published[len(p.published)-3][e]
		}
		if load < least {
			best, least = e, load
		}
	}
	if least == 16 {
		return 0, false
	}
	p.own[instance][best]++
	return best, true
}

func (p *reports) release(*simulation, int, *simRequest) {}

func (p *reports) step(s *simulation) {
	if s.now.Sub(start)%(250*time.Millisecond) > 0 {
		return
	}
	loads := make([]int, 12)
	for e := range loads {
		loads[e] = len(s.running[e])
	}
	p.published = append(p.published, loads)
	for i := range p.own {
		clear(p.own[i])
	}
}

// credits is the package's way, with asks and grants a step under way each and
// one in a hundred lost.
type credits struct {
	homes     map[string]*Home
	borrowers []*Borrower
	network   []message
	random    *rand.Rand
	asks      int
	split     bool // demand is divided between the endpoints
}

func newCredits(instances int, settings Settings) *credits {
	p := &credits{homes: map[string]*Home{}, random: rand.New(rand.NewPCG(3, 4))}
	endpoints, members, places := plan(instances, 12)
	for _, member := range members {
		h, b := NewHome(settings), NewBorrower(settings, member)
		h.SetDataCentres(places)
		b.SetDataCentres(places)
		h.Configure(start, endpoints, members, member)
		b.Configure(start, endpoints, members)
		p.homes[member] = h
		p.borrowers = append(p.borrowers, b)
	}
	return p
}

func (p *credits) choose(s *simulation, instance int, r *simRequest) (int, bool) {
	best, most := 0, 0
	b := p.borrowers[instance]
	for e, endpoint := range s.endpoints {
		l := b.lines[endpoint.Name]
		if l == nil {
			continue
		}
		if room := l.limit(s.now).Slots - l.held.Slots; room > most && l.fits(s.now, 1, r.tokens) {
			best, most = e, room
		}
	}
	return best, most > 0 && b.Acquire(s.now, r.id, s.endpoints[best].Name, r.tokens)
}

func (p *credits) release(s *simulation, instance int, r *simRequest) {
	p.borrowers[instance].Release(s.now, r.id)
}

func (p *credits) step(s *simulation) {
	arrived := p.network
	p.network = nil
	for _, m := range arrived {
		if p.random.IntN(100) == 0 {
			continue
		}
		if m.wants != nil {
			p.network = append(p.network, message{from: m.to, to: m.from, grants: p.homes[m.to].AnswerCreditRequests(s.now, m.from, m.wants)})
			continue
		}
		i := slices.IndexFunc(p.borrowers, func(b *Borrower) bool { return b.self == m.to })
		p.borrowers[i].ReceiveGrants(s.now, m.from, m.grants)
	}
	for i, b := range p.borrowers {
		p.demand(s, i)
		for _, home := range b.DueHomes(s.now) {
			p.asks++
			p.network = append(p.network, message{from: b.self, to: home, wants: b.CreateCreditRequests(s.now, home)})
		}
	}
}

func (p *credits) demand(s *simulation, instance int) {
	var waiting [Tiers]Credit
	for _, r := range s.queues[instance] {
		waiting[r.tier] = waiting[r.tier].plus(Credit{Slots: 1, Tokens: r.tokens})
	}
	if p.split {
		for tier, w := range waiting {
			waiting[tier] = Credit{Slots: (w.Slots + 11) / 12, Tokens: (w.Tokens + 11) / 12}
		}
	}
	for _, endpoint := range s.endpoints {
		p.borrowers[instance].SetDemand(endpoint.Name, waiting)
	}
}

// mixes are how the callers spread over the instances.
var mixes = map[string][]float64{
	"even":   {1. / 7, 1. / 7, 1. / 7, 1. / 7, 1. / 7, 1. / 7, 1. / 7},
	"skewed": {0.4, 0.2, 0.1, 0.1, 0.1, 0.05, 0.05},
}

// share runs a way on seven instances and returns its goodput and its share of
// top-tier requests started in time, both over those of one instance.
func share(way func() sharing, mix string, load float64, seed uint64) (goodput, top float64) {
	one := newSimulation(1, load, []float64{1}, newStatic(1), seed)
	seven := newSimulation(7, load, mixes[mix], way(), seed)
	for _, s := range []*simulation{one, seven} {
		s.run(10 * time.Second)
		s.good, s.top, s.met = 0, 0, 0
		s.run(60 * time.Second)
	}
	return seven.good / one.good, float64(seven.met) / float64(seven.top) / (float64(one.met) / float64(one.top))
}

var ways = []struct {
	name string
	new  func() sharing
}{
	{"credits", func() sharing { return newCredits(7, Settings{}) }},
	{"credits/split", func() sharing { p := newCredits(7, Settings{}); p.split = true; return p }},
	{"credits/subset=4", func() sharing { return newCredits(7, Settings{Subset: 4}) }},
	{"credits/subset=12", func() sharing { return newCredits(7, Settings{Subset: 12}) }},
	{"credits/interval=1s", func() sharing {
		return newCredits(7, Settings{RequestInterval: time.Second, Lifetime: 3 * time.Second})
	}},
	{"credits/interval=4s", func() sharing {
		return newCredits(7, Settings{RequestInterval: 4 * time.Second, Lifetime: 10 * time.Second})
	}},
	{"static", func() sharing { return newStatic(7) }},
	{"reports", func() sharing { return newReports(7) }},
}

// BenchmarkSharing prints goodput and top-tier attainment of seven instances
// over one.
func BenchmarkSharing(b *testing.B) {
	for _, mix := range []string{"even", "skewed"} {
		for _, load := range []float64{0.8, 1, 1.5} {
			for _, way := range ways {
				b.Run(fmt.Sprintf("%s/load=%.1f/%s", mix, load, way.name), func(b *testing.B) {
					goodput, top := 0.0, 0.0
					for seed := range uint64(b.N) {
						g, t := share(way.new, mix, load, seed+1)
						goodput, top = goodput+g/float64(b.N), top+t/float64(b.N)
					}
					b.ReportMetric(goodput, "goodput")
					b.ReportMetric(top, "top")
				})
			}
		}
	}
}

func TestSevenInstancesReachTheGoodputOfOne(t *testing.T) {
	for _, load := range []float64{0.8, 1.5} {
		goodput, top := share(ways[0].new, "even", load, 1)
		t.Logf("load %.1f: goodput %.3f, top tier %.3f", load, goodput, top)
		assert.Assert(t, goodput >= 0.97, "load %.1f: goodput %.3f of one instance's", load, goodput)
	}
	ours, _ := share(ways[0].new, "skewed", 1, 1)
	fixed, _ := share(ways[6].new, "skewed", 1, 1)
	assert.Assert(t, ours > fixed, "credits %.3f, static %.3f", ours, fixed)
}
