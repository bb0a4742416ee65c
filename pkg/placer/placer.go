package placer

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Placer chooses endpoints.
type Placer struct {
	settings  Settings
	endpoints map[string]*endpoint
	services  map[string]*group
	requests  map[uint64]*request
	peers     peers
}

// request is one of the own requests in flight.
type request struct {
	endpoint *endpoint
	group    *group
	ask      Request
	fresh    int
	long     bool
	ahead    int // prompt tokens that were to be read before its own
	started  time.Time
	begun    bool
}

// New returns a placer without endpoints.
func New(settings Settings) *Placer {
	return &Placer{
		settings:  settings.withDefaults(),
		endpoints: map[string]*endpoint{},
		services:  map[string]*group{},
		requests:  map[uint64]*request{},
		peers:     peers{},
	}
}

// Configure replaces the set of endpoints. One that stays keeps its state,
// unless it was born anew.
func (p *Placer) Configure(registered []registrar.Endpoint) {
	known := p.endpoints
	p.endpoints = make(map[string]*endpoint, len(registered))
	for _, g := range p.services {
		g.endpoints = g.endpoints[:0]
	}
	for _, r := range registered {
		e := known[r.ID]
		if e == nil || e.StartedUnixMs != r.StartedUnixMs || e.Address != r.Address {
			e = newEndpoint(r)
		}
		e.Endpoint = r
		e.others = Load{}
		p.endpoints[r.ID] = e
		g := p.group(r.Service)
		g.endpoints = append(g.endpoints, e)
	}
	p.peers.count(p.endpoints)
	for _, g := range p.services {
		slices.SortFunc(g.endpoints, func(a, b *endpoint) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.ID, b.ID))
		})
	}
}

func (p *Placer) group(service string) *group {
	g := p.services[service]
	if g == nil {
		g = newGroup(p.settings)
		p.services[service] = g
	}

	return g
}

// Pick chooses an endpoint. It returns false when the service has none that
// may take the request.
func (p *Placer) Pick(now time.Time, ask Request) (Choice, bool) {
	g := p.services[ask.Service]
	if g == nil {
		return Choice{}, false
	}
	p.peers.expire(now, p.endpoints)
	s := search{group: g, ask: &ask, now: now, dataCentre: p.settings.DataCentre}
	s.collect()
	if len(s.candidates) == 0 {
		return Choice{}, false
	}
	if ask.PromptTokens == 0 {
		e := s.plain()

		return Choice{EndpointID: e.ID, Address: e.Address, InOtherDataCentre: e.DataCentre != s.dataCentre}, true
	}

	return s.engine(), true
}

// ShouldPostpone decides whether a request that has a choice had better come back
// later, and after what time. Where a backlog makes every long prompt late, the
// ones that are put off let the others be on time. One that is too long for its
// target by itself gains nothing by coming back, and waits for its turn unless
// the backlog alone is over the target.
func (p *Placer) ShouldPostpone(ask Request, choice Choice) (time.Duration, bool) {
	if ask.TargetTimeToFirstToken <= 0 || !choice.IsLongPrompt || len(ask.AvoidEndpoints) > 0 {
		return 0, false
	}
	wait := choice.ExpectedTimeToFirstToken
	if choice.Reading >= ask.TargetTimeToFirstToken {
		wait -= choice.Reading
	}
	if wait <= ask.TargetTimeToFirstToken {
		return 0, false
	}

	return choice.ExpectedTimeToFirstToken + surgeTime, true
}

// RecordSent records that own request id was sent.
func (p *Placer) RecordSent(now time.Time, id uint64, choice Choice, ask Request) {
	e := p.endpoints[choice.EndpointID]
	if e == nil {
		return
	}
	g := p.group(ask.Service)
	p.requests[id] = &request{
		endpoint: e, group: g, ask: ask, fresh: choice.UncachedTokens, long: choice.IsLongPrompt,
		ahead: e.load().PendingTokens, started: now,
	}
	e.own.RunningRequests++
	e.own.PendingTokens += choice.UncachedTokens
	if ask.PromptTokens > 0 && !choice.IsLongPrompt {
		e.own.RunningShortPrompts++
	}
	if ask.PromptTokens > 0 {
		g.demand.arrive(now, choice)
		e.cache.add(ask.Blocks)
		e.read = append(e.read, reading{at: now, parts: ask.shareable()})
	}
}

// RecordFirstEvent records the first event of request id.
func (p *Placer) RecordFirstEvent(now time.Time, id uint64) {
	r := p.requests[id]
	if r == nil || r.begun {
		return
	}
	r.begun = true
	r.endpoint.own.PendingTokens -= r.fresh
	r.endpoint.alive = now
	r.endpoint.streams++
	r.group.observe(r.fresh+r.ahead, now.Sub(r.started))
}

// RecordActivity records that something came from request id's endpoint.
func (p *Placer) RecordActivity(now time.Time, id uint64) {
	if r := p.requests[id]; r != nil {
		r.endpoint.alive = now
	}
}

// LastActivity returns when something last came from an endpoint; zero: never.
func (p *Placer) LastActivity(id string) time.Time {
	if e := p.endpoints[id]; e != nil {
		return e.alive
	}

	return time.Time{}
}

// RecordResult records how request id's try ended.
func (p *Placer) RecordResult(now time.Time, id uint64, result Result) {
	r := p.requests[id]
	if r == nil {
		return
	}
	delete(p.requests, id)
	r.endpoint.own.RunningRequests--
	if r.begun {
		r.endpoint.streams--
	} else {
		r.endpoint.own.PendingTokens -= r.fresh
	}
	if r.ask.PromptTokens > 0 && !r.long {
		r.endpoint.own.RunningShortPrompts--
	}
	r.endpoint.settle(now, result)
}

// LocalLoads returns what this instance has at each endpoint that it uses.
func (p *Placer) LocalLoads() map[string]Load {
	loads := map[string]Load{}
	for id, e := range p.endpoints {
		if e.own != (Load{}) {
			loads[id] = e.own
		}
	}

	return loads
}

// LocalPrefills returns the shared parts that engines read lately for this instance.
func (p *Placer) LocalPrefills(now time.Time) map[string][]uint64 {
	reads := map[string][]uint64{}
	for id, e := range p.endpoints {
		if parts := e.lately(now); len(parts) > 0 {
			reads[id] = parts
		}
	}

	return reads
}

// ReceivePrefills takes in the shared parts that engines read for others.
func (p *Placer) ReceivePrefills(reads map[string][]uint64) {
	for id, parts := range reads {
		if e := p.endpoints[id]; e != nil {
			e.cache.addIDs(parts)
		}
	}
}

// LocalDemands returns what arrives at this instance by service.
func (p *Placer) LocalDemands(now time.Time) map[string]Demand {
	demands := map[string]Demand{}
	for name, g := range p.services {
		if own := g.own(now); own != (Demand{}) {
			demands[name] = own
		}
	}

	return demands
}

// ReceiveLoads takes in what another instance has at the endpoints and what arrives
// there. Endpoints that it does not name, it does not use.
func (p *Placer) ReceiveLoads(now time.Time, peer string, loads map[string]Load, demands map[string]Demand) {
	for name, demand := range demands {
		p.group(name).peers[peer] = peerDemand{Demand: demand, at: now}
	}
	p.peers.hear(now, peer, loads, p.endpoints)
}

// ReceiveLoadUpdate takes in what another instance has at one endpoint, between two
// messages that tell all.
func (p *Placer) ReceiveLoadUpdate(peer, id string, load Load) {
	p.peers.note(peer, id, load, p.endpoints)
}

// LocalLoad returns what this instance has at an endpoint.
func (p *Placer) LocalLoad(id string) Load {
	if e := p.endpoints[id]; e != nil {
		return e.own
	}

	return Load{}
}

// hash gives a name a rank that is the same on every instance.
func hash(name string, key uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	x := h.Sum64() ^ key*0x9e3779b97f4a7c15

	// The finalizer of splitmix64 spreads the bits.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}
