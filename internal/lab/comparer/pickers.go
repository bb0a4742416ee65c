package comparer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
)

// roster is what both baselines know: the endpoints, in the order of their
// names, and those that leave.
type roster struct {
	dataCentre string
	endpoints  []balancer.Endpoint
	leaving    map[string]bool
	next       int // Where the next search begins.
}

func newRoster(dataCentre string) roster {
	return roster{dataCentre: dataCentre, leaving: map[string]bool{}}
}

// Configure replaces the endpoints.
func (r *roster) Configure(_ time.Time, endpoints []balancer.Endpoint) {
	r.endpoints = slices.Clone(endpoints)
	r.leaving = map[string]bool{}
}

// SetLeaving gives an endpoint no more requests.
func (r *roster) SetLeaving(_ time.Time, endpoint string) {
	r.leaving[endpoint] = true
}

// RecordStart does nothing: the baselines do not follow their requests.
func (r *roster) RecordStart(time.Time, uint64, string, balancer.Request) {}

// RecordProgress does nothing.
func (r *roster) RecordProgress(time.Time, uint64, int) {}

// RecordEnd does nothing.
func (r *roster) RecordEnd(time.Time, uint64, balancer.Result) {}

// States knows nothing of the endpoints.
func (r *roster) States() []balancer.State { return nil }

// fits reports whether an endpoint may take the request.
func (r *roster) fits(e balancer.Endpoint, ask balancer.Request, room balancer.CapacityFunc) bool {
	serves := e.Service == ask.Service && (ask.Model == "" || slices.Contains(e.Models, ask.Model))

	return serves && !e.Leaving && !r.leaving[e.Name] && room(e.Name, 1, ask.TotalTokens)
}

// from returns the places of the endpoints in the order of the search.
func (r *roster) from() []int {
	places := make([]int, len(r.endpoints))
	for i := range places {
		places[i] = (r.next + i) % len(r.endpoints)
	}

	return places
}

func (r *roster) choose(place int) (balancer.Choice, bool) {
	r.next = place + 1
	chosen := r.endpoints[place]

	return balancer.Choice{Endpoint: chosen.Name, CrossDataCentre: chosen.DataCentre != r.dataCentre}, true
}

// tried puts the endpoints that the request already tried last.
func tried(ask balancer.Request, name string) int {
	if slices.Contains(ask.TriedEndpoints, name) {
		return 1
	}

	return 0
}

// roundRobin takes the next endpoint that has room, whatever its load.
type roundRobin struct{ roster }

func newRoundRobin(dataCentre string, _ *rand.Rand) controller.Picker {
	return &roundRobin{newRoster(dataCentre)}
}

// Pick chooses the next endpoint in turn.
func (p *roundRobin) Pick(_ time.Time, ask balancer.Request, room balancer.CapacityFunc) (balancer.Choice, bool) {
	for avoided := range 2 {
		for _, place := range p.from() {
			e := p.endpoints[place]
			if tried(ask, e.Name) == avoided && p.fits(e, ask, room) {
				return p.choose(place)
			}
		}
	}

	return balancer.Choice{}, false
}

// RecordLoad does nothing: turns are taken whatever the load.
func (p *roundRobin) RecordLoad(time.Time, string, balancer.LoadReport) {}

// leastLoaded takes the endpoint whose last report is the least loaded; equal
// ones take turns.
type leastLoaded struct {
	roster

	loads map[string]balancer.LoadReport
}

func newLeastLoaded(dataCentre string, _ *rand.Rand) controller.Picker {
	return &leastLoaded{roster: newRoster(dataCentre), loads: map[string]balancer.LoadReport{}}
}

// RecordLoad notes an endpoint's load.
func (p *leastLoaded) RecordLoad(_ time.Time, endpoint string, load balancer.LoadReport) {
	p.loads[endpoint] = load
}

// Pick chooses by the last reports only.
func (p *leastLoaded) Pick(_ time.Time, ask balancer.Request, room balancer.CapacityFunc) (balancer.Choice, bool) {
	best, lowest := -1, 0.0
	for _, place := range p.from() {
		e := p.endpoints[place]
		if !p.fits(e, ask, room) {
			continue
		}
		load := p.load(e) + float64(tried(ask, e.Name))*triedLoad
		if best < 0 || load < lowest {
			best, lowest = place, load
		}
	}
	if best < 0 {
		return balancer.Choice{}, false
	}

	return p.choose(best)
}

// triedLoad ranks an endpoint that was tried behind every other one.
const triedLoad = 1e6

func (p *leastLoaded) load(e balancer.Endpoint) float64 {
	load := p.loads[e.Name]

	return float64(load.Running+load.Waiting) / float64(max(1, e.Slots))
}

// watched is the router's own balancer and notes which endpoints it ejects.
type watched struct {
	*balancer.Balancer

	ejected func(endpoint string)
}

// RecordLoad passes a report on and looks at the endpoints' standing.
func (w watched) RecordLoad(now time.Time, endpoint string, load balancer.LoadReport) {
	w.Balancer.RecordLoad(now, endpoint, load)
	for _, state := range w.States() {
		if state.Status == balancer.Ejected {
			w.ejected(state.Endpoint)
		}
	}
}
