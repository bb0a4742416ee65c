package comparer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
)

// baselineState is the state that both baselines share: the endpoints and which of them
// are leaving. It ignores the progress and the results of requests.
type baselineState struct {
	dataCentre string
	endpoints  []balancer.Endpoint // sorted by name
	leaving    map[string]bool
	nextIndex  int // where the next search begins
}

func newBaselineState(dataCentre string) baselineState {
	return baselineState{dataCentre: dataCentre, leaving: map[string]bool{}}
}

// Configure replaces the endpoints; none of the new ones is leaving.
func (s *baselineState) Configure(_ time.Time, endpoints []balancer.Endpoint) {
	s.endpoints = slices.Clone(endpoints)
	s.leaving = map[string]bool{}
}

// SetLeaving marks an endpoint that gets no more requests.
func (s *baselineState) SetLeaving(_ time.Time, endpoint string) {
	s.leaving[endpoint] = true
}

// RecordStart does nothing, since the baselines do not track requests.
func (s *baselineState) RecordStart(time.Time, uint64, string, balancer.Request) {}

// RecordProgress does nothing, as RecordStart.
func (s *baselineState) RecordProgress(time.Time, uint64, int) {}

// RecordEnd does nothing, as RecordStart.
func (s *baselineState) RecordEnd(time.Time, uint64, balancer.Result) {}

// States returns nil, since the baselines keep no state of endpoints.
func (s *baselineState) States() []balancer.State { return nil }

// fits reports whether an endpoint serves the request, is not leaving and has capacity.
func (s *baselineState) fits(e balancer.Endpoint, request balancer.Request, hasCapacity balancer.CapacityFunc) bool {
	serves := e.Service == request.Service && (request.Model == "" || slices.Contains(e.Models, request.Model))

	return serves && !e.Leaving && !s.leaving[e.Name] && hasCapacity(e.Name, 1, request.TotalTokens)
}

// searchOrder returns the indexes of all endpoints, beginning with nextIndex.
func (s *baselineState) searchOrder() []int {
	indexes := make([]int, len(s.endpoints))
	for i := range indexes {
		indexes[i] = (s.nextIndex + i) % len(s.endpoints)
	}

	return indexes
}

// chooseAt chooses the endpoint at an index. The next search begins behind it.
func (s *baselineState) chooseAt(index int) (balancer.Choice, bool) {
	s.nextIndex = index + 1
	endpoint := s.endpoints[index]

	return balancer.Choice{Endpoint: endpoint.Name, CrossDataCentre: endpoint.DataCentre != s.dataCentre}, true
}

// triedRank returns 1 if the request has already tried the endpoint, otherwise 0. The
// endpoints of rank 0 are preferred.
func triedRank(request balancer.Request, endpoint string) int {
	if slices.Contains(request.TriedEndpoints, endpoint) {
		return 1
	}

	return 0
}

// roundRobin is the baseline that takes the next endpoint with free capacity, whatever its
// load.
type roundRobin struct{ baselineState }

func newRoundRobin(dataCentre string, _ *rand.Rand) controller.Picker {
	return &roundRobin{newBaselineState(dataCentre)}
}

// Pick chooses the next endpoint in turn that the request has not tried, or else the next
// of those tried.
func (p *roundRobin) Pick(_ time.Time, request balancer.Request, hasCapacity balancer.CapacityFunc) (balancer.Choice, bool) {
	for rank := range 2 {
		for _, index := range p.searchOrder() {
			e := p.endpoints[index]
			if triedRank(request, e.Name) == rank && p.fits(e, request, hasCapacity) {
				return p.chooseAt(index)
			}
		}
	}

	return balancer.Choice{}, false
}

// RecordLoad does nothing, since round robin ignores load.
func (p *roundRobin) RecordLoad(time.Time, string, balancer.LoadReport) {}

// leastLoaded is the baseline that takes the endpoint with the least load in its last
// report. Endpoints of equal load take turns.
type leastLoaded struct {
	baselineState

	loads map[string]balancer.LoadReport
}

func newLeastLoaded(dataCentre string, _ *rand.Rand) controller.Picker {
	return &leastLoaded{baselineState: newBaselineState(dataCentre), loads: map[string]balancer.LoadReport{}}
}

// RecordLoad keeps an endpoint's last load report.
func (p *leastLoaded) RecordLoad(_ time.Time, endpoint string, load balancer.LoadReport) {
	p.loads[endpoint] = load
}

// Pick chooses the least loaded endpoint by the last load reports alone.
func (p *leastLoaded) Pick(_ time.Time, request balancer.Request, hasCapacity balancer.CapacityFunc) (balancer.Choice, bool) {
	best, lowestLoad := -1, 0.0
	for _, index := range p.searchOrder() {
		e := p.endpoints[index]
		if !p.fits(e, request, hasCapacity) {
			continue
		}
		load := p.loadPerSlot(e) + float64(triedRank(request, e.Name))*triedLoadPenalty
		if best < 0 || load < lowestLoad {
			best, lowestLoad = index, load
		}
	}
	if best < 0 {
		return balancer.Choice{}, false
	}

	return p.chooseAt(best)
}

// triedLoadPenalty puts an endpoint that was already tried behind all others.
const triedLoadPenalty = 1e6

// loadPerSlot returns the running and waiting requests of an endpoint per slot.
func (p *leastLoaded) loadPerSlot(e balancer.Endpoint) float64 {
	load := p.loads[e.Name]

	return float64(load.Running+load.Waiting) / float64(max(1, e.Slots))
}

// ejectionObserver is the router's own balancer. It reports the endpoints that the balancer
// ejects to recordEjection.
type ejectionObserver struct {
	*balancer.Balancer

	recordEjection func(endpoint string)
}

// RecordLoad passes a load report to the balancer, then records all endpoints that are
// ejected.
func (o ejectionObserver) RecordLoad(now time.Time, endpoint string, load balancer.LoadReport) {
	o.Balancer.RecordLoad(now, endpoint, load)
	for _, state := range o.States() {
		if state.Status == balancer.Ejected {
			o.recordEjection(state.Endpoint)
		}
	}
}
