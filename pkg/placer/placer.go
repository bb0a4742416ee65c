package placer

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Placer chooses endpoints for requests and keeps the state that it needs for that.
type Placer struct {
	settings  Settings
	endpoints map[string]*endpoint        // by ID
	services  map[string]*service         // by name
	inFlight  map[uint64]*inFlightRequest // local requests by ID
	peerLoads peerLoads
	// isFleetDivided is true if the loads of instances in other data centres are known
	// late.
	isFleetDivided bool
	sampleCount    uint64 // random samples of engines drawn so far
	// scaled holds the names of the services whose engines are ordered by demand.
	scaled map[string]bool
	// peerDataCentres are those of peers that report their own demands, by peer.
	peerDataCentres map[string]string
	// newestStatementAt is the time of the newest stated pace.
	newestStatementAt time.Time
}

// inFlightRequest is a local request that was sent to an endpoint and has no result
// yet.
type inFlightRequest struct {
	endpoint       *endpoint
	service        *service
	request        Request
	uncachedTokens int
	isLongPrompt   bool
	tokensAhead    int // prompt tokens waiting at the engine when the request was sent
	sentAt         time.Time
	startedAt      time.Time // time of the first event
	hasStarted     bool
	usualTime      time.Duration // predicted time to the first token at an engine of usual speed
	waitedForSlot  bool          // whether all slots were taken when the request was sent
}

// New returns a placer without endpoints.
func New(settings Settings) *Placer {
	return &Placer{
		settings:  settings.withDefaults(),
		endpoints: map[string]*endpoint{},
		services:  map[string]*service{},
		inFlight:  map[uint64]*inFlightRequest{},
		peerLoads: peerLoads{},
	}
}

// Configure replaces the set of registered endpoints. An endpoint that is still
// registered keeps its state, unless it restarted or has a new address.
func (p *Placer) Configure(registered []registrar.Endpoint) {
	previous := p.endpoints
	p.endpoints = make(map[string]*endpoint, len(registered))
	for _, s := range p.services {
		s.endpoints = s.endpoints[:0]
	}
	for _, r := range registered {
		e := previous[r.ID]
		if e == nil || e.StartedUnixMs != r.StartedUnixMs || e.Address != r.Address {
			e = newEndpoint(r)
			p.getOrCreateService(r.Service).pace.join(e)
		}
		e.Endpoint = r
		e.peerLoad, e.summarizedLoad = Load{}, Load{}
		p.endpoints[r.ID] = e
		s := p.getOrCreateService(r.Service)
		s.endpoints = append(s.endpoints, e)
	}
	p.peerLoads.addTo(p.endpoints)
	for _, s := range p.services {
		s.updateDataCentres()
		slices.SortFunc(s.endpoints, func(a, b *endpoint) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.ID, b.ID))
		})
	}
}

// SetFleetDivided sets whether the loads of instances in other data centres are known
// late, so that the engines of the own data centre are preferred. It reports whether this
// is a change.
func (p *Placer) SetFleetDivided(divided bool) (changed bool) {
	changed = p.isFleetDivided != divided
	p.isFleetDivided = divided

	return changed
}

func (p *Placer) getOrCreateService(name string) *service {
	s := p.services[name]
	if s == nil {
		s = newService(p.settings)
		p.services[name] = s
	}

	return s
}

// Pick chooses an endpoint for a request. It returns false if the service has no
// endpoint that may get the request.
func (p *Placer) Pick(now time.Time, request Request) (Choice, bool) {
	service := p.services[request.Service]
	if service == nil {
		return Choice{}, false
	}
	p.peerLoads.removeExpired(now, p.endpoints)
	s := search{service: service, request: &request, now: now, dataCentre: p.settings.DataCentre}
	s.collectCandidates()
	if len(s.candidates) == 0 {
		return Choice{}, false
	}
	if request.PromptTokens == 0 {
		e := s.pickPlain()

		return Choice{
			EndpointID: e.ID, Address: e.Address, Version: e.Version, StartedUnixMs: e.StartedUnixMs,
			KnownLoad: e.totalLoad(), InOtherDataCentre: e.DataCentre != s.dataCentre, Pace: s.choicePace(e),
		}, true
	}

	if p.isFleetDivided {
		return p.pickInDividedFleet(s), true
	}

	return s.pickEngine(), true
}

// BlockedUntil returns the earliest time from now on at which one of the endpoints that are blocked
// for a request may get it; zero if none of its service's endpoints is blocked.
func (p *Placer) BlockedUntil(now time.Time, request Request) time.Time {
	var earliest time.Time
	for id, until := range request.Blocked {
		e := p.endpoints[id]
		if e != nil && e.Service == request.Service && e.isEligible(now) && request.fitsVersion(e) && (earliest.IsZero() || until.Before(earliest)) {
			earliest = until
		}
	}

	return earliest
}

// ShouldPostpone reports whether a request for which Pick made a choice should be
// refused now, and after how long the caller should try again. When a backlog makes
// every long prompt late, postponing some of them lets the others be on time. A
// prompt whose prefill alone takes longer than its target gains nothing by trying
// again, so it waits for its turn unless the backlog alone exceeds the target.
// Prompts of lower tiers are no backlog: an engine prefills them later, and a request
// that was postponed for them would get less than they do.
func (p *Placer) ShouldPostpone(request Request, choice Choice) (time.Duration, bool) {
	if request.TargetTimeToFirstToken <= 0 || !choice.IsLongPrompt || len(request.AvoidEndpoints) > 0 {
		return 0, false
	}
	wait := choice.ExpectedTimeToFirstToken - choice.TimeBehindTier
	if choice.PrefillTime >= request.TargetTimeToFirstToken {
		wait -= choice.PrefillTime
	}
	if wait <= request.TargetTimeToFirstToken {
		return 0, false
	}

	return choice.ExpectedTimeToFirstToken - choice.TimeBehindTier + postponeDelay, true
}

// RecordSent records that a local request was sent to the chosen endpoint. The
// caller chooses the id and uses it for the request's later events.
func (p *Placer) RecordSent(now time.Time, id uint64, choice Choice, request Request) {
	e := p.endpoints[choice.EndpointID]
	if e == nil {
		return
	}
	s := p.getOrCreateService(request.Service)
	p.inFlight[id] = &inFlightRequest{
		endpoint: e, service: s, request: request, uncachedTokens: choice.UncachedTokens, isLongPrompt: choice.IsLongPrompt,
		tokensAhead: e.totalLoad().PendingTokens, sentAt: now,
		usualTime: choice.usualTime(), waitedForSlot: e.totalLoad().RunningRequests >= e.slotsOrDefault(),
	}
	e.localLoad.addRequest(request.Tier, 1)
	e.localLoad.addPending(request.Tier, choice.UncachedTokens)
	if request.PromptTokens > 0 && !choice.IsLongPrompt {
		e.localLoad.RunningShortPrompts++
	}
	if request.PromptTokens > 0 {
		s.arrivals.record(now, choice)
		shared := request.sharedBlocks()
		e.recentPrefills = append(e.recentPrefills, prefill{at: now, blocks: shared, newCount: len(shared) - e.cache.cachedBlocks(shared)})
		e.cache.addBlocks(request.Blocks)
	}
}

// RecordFirstEvent records that the first event of a local request's answer came.
func (p *Placer) RecordFirstEvent(now time.Time, id uint64) {
	r := p.inFlight[id]
	if r == nil || r.hasStarted {
		return
	}
	r.hasStarted, r.startedAt = true, now
	r.endpoint.localLoad.addPending(r.request.Tier, -r.uncachedTokens)
	r.endpoint.lastActivity = now
	r.endpoint.startedRequests++
	r.service.updatePrefillRate(r.uncachedTokens+r.tokensAhead, r.service.unslowed(now, r.endpoint, now.Sub(r.sentAt)))
	r.service.recordFirstEventTime(now, r)
}

// RecordActivity records that the endpoint of a local request sent something.
func (p *Placer) RecordActivity(now time.Time, id uint64) {
	if r := p.inFlight[id]; r != nil {
		r.endpoint.lastActivity = now
	}
}

// LastActivity returns the time at which an endpoint last sent something; zero if it
// never did.
func (p *Placer) LastActivity(id string) time.Time {
	if e := p.endpoints[id]; e != nil {
		return e.lastActivity
	}

	return time.Time{}
}

// RecordResult records how the attempt of a local request ended.
func (p *Placer) RecordResult(now time.Time, id uint64, result Result) {
	r := p.inFlight[id]
	if r == nil {
		return
	}
	delete(p.inFlight, id)
	r.endpoint.localLoad.addRequest(r.request.Tier, -1)
	if r.hasStarted {
		r.endpoint.startedRequests--
		if result == Finished {
			r.service.updateRunTime(now.Sub(r.startedAt))
		}
	} else {
		r.endpoint.localLoad.addPending(r.request.Tier, -r.uncachedTokens)
	}
	if r.request.PromptTokens > 0 && !r.isLongPrompt {
		r.endpoint.localLoad.RunningShortPrompts--
	}
	if result == Finished {
		r.service.recordCallTime(now, r)
	}
	r.endpoint.recordResult(now, result)
}

// LocalLoads returns this instance's load at each endpoint that it uses, by endpoint
// ID.
func (p *Placer) LocalLoads() map[string]Load {
	loads := map[string]Load{}
	for id, e := range p.endpoints {
		if load := e.localLoad.with(e.pace.own, p.newestStatementAt); load != (Load{}) {
			loads[id] = load
		}
	}

	return loads
}

// LocalPrefills returns the IDs of the shared blocks that engines recently prefilled
// for this instance, by endpoint ID.
func (p *Placer) LocalPrefills(now time.Time) map[string][]uint64 {
	return p.prefills(func(e *endpoint) []uint64 { return e.recentBlockIDs(now, false) })
}

// DataCentrePrefills returns the IDs of the shared blocks that engines recently prefilled for
// instances of the own data centre and did not have cached, by endpoint ID, as far as this instance
// knows them.
func (p *Placer) DataCentrePrefills(now time.Time) map[string][]uint64 {
	return p.prefills(func(e *endpoint) []uint64 { return append(e.recentBlockIDs(now, true), e.heardBlockIDs(now)...) })
}

func (p *Placer) prefills(blocksOf func(*endpoint) []uint64) map[string][]uint64 {
	prefills := map[string][]uint64{}
	for id, e := range p.endpoints {
		if blocks := blocksOf(e); len(blocks) > 0 {
			prefills[id] = blocks
		}
	}

	return prefills
}

// ReceivePrefills records that engines prefilled shared blocks for a peer. The map holds block IDs
// by endpoint ID. isLocal says that the peer is in the own data centre.
func (p *Placer) ReceivePrefills(now time.Time, prefills map[string][]uint64, isLocal bool) {
	for id, blocks := range prefills {
		if e := p.endpoints[id]; e != nil {
			if isLocal {
				e.recordHeard(now, blocks)
			}
			e.cache.addIDs(blocks)
		}
	}
}

// LocalDemands returns the demand that arrives at this instance, by service name.
func (p *Placer) LocalDemands(now time.Time) map[string]Demand {
	demands := map[string]Demand{}
	for name, s := range p.services {
		if demand := s.localDemand(now); demand != (Demand{}) {
			demands[name] = demand
		}
	}

	return demands
}

// DataCentreLoads returns the loads of all instances of the own data centre at each
// endpoint that they use, by endpoint ID, as far as this instance knows them.
func (p *Placer) DataCentreLoads() map[string]Load {
	loads := map[string]Load{}
	for id, e := range p.endpoints {
		if load := e.dataCentreLoad().with(e.pace.dataCentre, p.newestStatementAt); load != (Load{}) {
			loads[id] = load
		}
	}

	return loads
}

// ReceiveDataCentreLoads replaces what is known of another data centre: the loads of its
// instances, by endpoint ID, and the splits of its engines, by service name.
func (p *Placer) ReceiveDataCentreLoads(now time.Time, dataCentre string, loads map[string]Load, demands map[string]Demand) {
	for name, demand := range demands {
		p.getOrCreateService(name).remoteDemands[dataCentre] = peerDemand{Demand: demand, receivedAt: now}
	}
	p.peerLoads.receive(now, peerID{name: dataCentre, isDataCentre: true}, loads, p.endpoints)
	p.receivePaces(loads, true)
}

// ReceiveLoads replaces a peer's loads, by endpoint ID, and its demands, by service
// name. The peer has no load at endpoints that loads does not contain.
func (p *Placer) ReceiveLoads(now time.Time, peer string, loads map[string]Load, demands map[string]Demand) {
	for name, demand := range demands {
		p.getOrCreateService(name).peerDemands[peer] = peerDemand{Demand: demand, receivedAt: now}
	}
	p.peerLoads.receive(now, peerID{name: peer}, loads, p.endpoints)
	p.receivePaces(loads, false)
}

// ReceiveLoadUpdate replaces a peer's load at one endpoint, between two messages that
// contain all its loads.
func (p *Placer) ReceiveLoadUpdate(peer, id string, load Load) {
	p.peerLoads.receiveUpdate(peerID{name: peer}, id, load, p.endpoints)
	p.receivePace(id, load, false)
}

// HasEndpoint reports whether an endpoint is registered.
func (p *Placer) HasEndpoint(id string) bool {
	return p.endpoints[id] != nil
}

// Occupancy returns how many requests of all instances run at an endpoint, as far as is known,
// and how many it can run at once.
func (p *Placer) Occupancy(id string) (running, slots int) {
	if e := p.endpoints[id]; e != nil {
		return e.totalLoad().RunningRequests, e.slotsOrDefault()
	}

	return 0, 0
}

// LocalLoad returns this instance's load at one endpoint.
func (p *Placer) LocalLoad(id string) Load {
	if e := p.endpoints[id]; e != nil {
		return e.localLoad.with(e.pace.own, p.newestStatementAt)
	}

	return Load{}
}

// rankHash returns a hash of a name and a seed that is the same on every instance.
// Endpoints are ranked by it.
func rankHash(name string, seed uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	x := h.Sum64() ^ seed*0x9e3779b97f4a7c15

	// The finalizer of splitmix64 spreads the bits evenly.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}
