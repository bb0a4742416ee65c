package balancer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.steps", "80")
	_ = flag.Set("rapid.checks", "300")
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newEndpoints returns endpoints e000, e001 and so on of one service in data centre a.
func newEndpoints(count, slots int) []Endpoint {
	endpoints := make([]Endpoint, count)
	for i := range endpoints {
		endpoints[i] = Endpoint{
			Name: fmt.Sprintf("e%03d", i), Service: "pool", DataCentre: "a", Models: []string{"m"}, Slots: slots,
		}
	}
	return endpoints
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// newTestBalancer returns a balancer in data centre a with the given endpoints.
func newTestBalancer(endpoints []Endpoint) *Balancer {
	b := New(Settings{DataCentre: "a"}, newRandom(1))
	b.Configure(startTime, endpoints)
	return b
}

var basicRequest = Request{Service: "pool", Model: "m", PromptTokens: 100, TotalTokens: 300, Tier: 4}

// referenceModel is a naive version of the balancer's rules: it keeps every request in a
// list and scans all of them.
type referenceModel struct {
	endpoints         map[string]Endpoint
	leaving           map[string]bool   // by endpoint name
	endpointByRequest map[uint64]string // endpoint name by request ID
	isolated          map[uint64]bool   // by request ID
}

// requestsAt returns the number of requests in flight at the endpoint.
func (m *referenceModel) requestsAt(name string) int {
	count := 0
	for _, endpoint := range m.endpointByRequest {
		if endpoint == name {
			count++
		}
	}
	return count
}

func (m *referenceModel) hasIsolatedRequest(name string) bool {
	for id, endpoint := range m.endpointByRequest {
		if endpoint == name && m.isolated[id] {
			return true
		}
	}
	return false
}

// canAccept reports whether an endpoint could take a request by the naive rules.
func (m *referenceModel) canAccept(name string, request Request) bool {
	e, found := m.endpoints[name]
	return found && !e.Leaving && !m.leaving[name] && slices.Contains(e.Models, request.Model) &&
		!slices.Contains(request.TriedEndpoints, name) && m.requestsAt(name) < e.Slots && !m.hasIsolatedRequest(name)
}

// testMachine applies random events to a balancer, to its twin with the same seed, and
// to the reference model.
type testMachine struct {
	balancer, twin *Balancer
	model          referenceModel
	now            time.Time
	lastID         uint64
	receivedTokens map[uint64]int
	allEndpoints   []Endpoint
}

func newTestMachine(t *rapid.T) *testMachine {
	count := rapid.IntRange(1, 9).Draw(t, "endpoints")
	endpoints := newEndpoints(count, 4)
	m := &testMachine{now: startTime, receivedTokens: map[uint64]int{}}
	m.model = referenceModel{map[string]Endpoint{}, map[string]bool{}, map[uint64]string{}, map[uint64]bool{}}
	for i := range endpoints {
		endpoints[i].DataCentre = rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "place")
		m.model.endpoints[endpoints[i].Name] = endpoints[i]
	}
	m.allEndpoints = endpoints
	m.balancer = New(Settings{DataCentre: "a"}, newRandom(7))
	m.twin = New(Settings{DataCentre: "a"}, newRandom(7))
	m.applyToBoth(func(b *Balancer) { b.Configure(startTime, endpoints) })
	return m
}

func (m *testMachine) applyToBoth(apply func(b *Balancer)) {
	apply(m.balancer)
	apply(m.twin)
}

func (m *testMachine) statesByName() map[string]State {
	states := map[string]State{}
	for _, state := range m.balancer.States() {
		states[state.Endpoint] = state
	}
	return states
}

func (m *testMachine) drawEndpointName(t *rapid.T) string {
	return m.balancer.configured[rapid.IntRange(0, len(m.balancer.configured)-1).Draw(t, "endpoint")].Name
}

func (m *testMachine) drawRequestID(t *rapid.T) (uint64, bool) {
	if len(m.model.endpointByRequest) == 0 {
		return 0, false
	}
	ids := make([]uint64, 0, len(m.model.endpointByRequest))
	for id := range m.model.endpointByRequest {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "request"), true
}

func (m *testMachine) pick(t *rapid.T) {
	request := basicRequest
	request.Tier = rapid.IntRange(0, 4).Draw(t, "tier")
	request.Isolated = rapid.IntRange(0, 9).Draw(t, "alone") == 0
	if rapid.Bool().Draw(t, "retry") {
		request.TriedEndpoints = []string{m.drawEndpointName(t)}
	}
	request.Prefixes = []uint64{rapid.Uint64Range(1, 5).Draw(t, "prefix")}
	choice, ok := m.balancer.Pick(m.now, request, nil)
	twinChoice, twinOK := m.twin.Pick(m.now, request, nil)
	assert.Assert(t, ok == twinOK && choice == twinChoice, "the same seed gave different choices")
	states := m.statesByName()
	if !ok {
		m.checkRefusal(t, request, states)
		return
	}
	m.checkChoice(t, request, choice, states)
	m.lastID++
	m.model.endpointByRequest[m.lastID], m.model.isolated[m.lastID] = choice.Endpoint, request.Isolated
	m.applyToBoth(func(b *Balancer) { b.RecordStart(m.now, m.lastID, choice.Endpoint, request) })
}

// checkRefusal checks that no healthy endpoint had free capacity by what the balancer
// knows.
func (m *testMachine) checkRefusal(t *rapid.T, request Request, states map[string]State) {
	for name, state := range states {
		assert.Assert(t, !m.isFree(name, request, state), "%s was free", name)
	}
}

// isFree reports whether a healthy endpoint can take the request, by the naive rules and
// by what the balancer knows of its load.
func (m *testMachine) isFree(name string, request Request, state State) bool {
	e := m.balancer.endpoints[name]
	acceptsByBalancerState := e.estimatedRequests(m.now)+1 <= float64(e.Slots) &&
		!e.isAtConcurrencyLimit(m.now) && !m.now.Before(e.refusalBackoffUntil)
	return state.Status == Healthy && m.model.canAccept(name, request) && acceptsByBalancerState
}

// checkChoice checks that the chosen endpoint accepts the request, and that no free
// endpoint in this data centre was skipped for one in another. An isolated request must
// get an endpoint without requests if a free one exists.
func (m *testMachine) checkChoice(t *rapid.T, request Request, choice Choice, states map[string]State) {
	status := states[choice.Endpoint].Status
	assert.Assert(t, m.model.canAccept(choice.Endpoint, request), "%s does not accept the request", choice.Endpoint)
	assert.Assert(t, status == Healthy || status == Suspect, "%s is %s", choice.Endpoint, status)
	assert.Equal(t, choice.CrossDataCentre, m.model.endpoints[choice.Endpoint].DataCentre != "a")
	for name, state := range states {
		sameDataCentre := m.model.endpoints[name].DataCentre == "a"
		if choice.CrossDataCentre && sameDataCentre && !request.Isolated {
			assert.Assert(t, !m.isFree(name, request, state), "placed in another data centre though %s was free", name)
		}
		if request.Isolated && status == Healthy && m.model.requestsAt(choice.Endpoint) > 0 && m.isFree(name, request, state) {
			assert.Assert(t, m.model.requestsAt(name) > 0, "%s had no requests", name)
		}
	}
}

func (m *testMachine) endRequest(t *rapid.T) {
	id, ok := m.drawRequestID(t)
	if !ok {
		return
	}
	result := rapid.SampledFrom([]Result{Finished, Finished, Refused, Failed, Canceled}).Draw(t, "result")
	m.applyToBoth(func(b *Balancer) { b.RecordEnd(m.now, id, result) })
	delete(m.model.endpointByRequest, id)
}

func (m *testMachine) recordProgress(t *rapid.T) {
	id, ok := m.drawRequestID(t)
	if !ok {
		return
	}
	m.receivedTokens[id] += rapid.IntRange(0, 30).Draw(t, "made")
	m.applyToBoth(func(b *Balancer) { b.RecordProgress(m.now, id, m.receivedTokens[id]) })
}

func (m *testMachine) recordLoad(t *rapid.T) {
	name := m.drawEndpointName(t)
	report := LoadReport{
		MeasuredAt: m.now.Add(-time.Duration(rapid.IntRange(-1, 5).Draw(t, "lag")) * time.Second),
		Running:    rapid.IntRange(0, 5).Draw(t, "running"),
		Draining:   rapid.IntRange(0, 9).Draw(t, "draining") == 0,
	}
	m.applyToBoth(func(b *Balancer) { b.RecordLoad(m.now, name, report) })
	m.model.leaving[name] = m.balancer.endpoints[name].reportedDraining || m.balancer.endpoints[name].markedLeaving
}

func (m *testMachine) markLeaving(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "leaves") > 0 {
		return
	}
	name := m.drawEndpointName(t)
	m.applyToBoth(func(b *Balancer) { b.SetLeaving(m.now, name) })
	m.model.leaving[name] = true
}

// configure removes random endpoints from the configuration and adds others again.
func (m *testMachine) configure(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "configure") > 0 {
		return
	}
	kept := []Endpoint{m.allEndpoints[0]}
	for _, e := range m.allEndpoints[1:] {
		if rapid.IntRange(0, 3).Draw(t, "kept") > 0 {
			kept = append(kept, e)
		}
	}
	m.applyToBoth(func(b *Balancer) { b.Configure(m.now, kept) })
	clear(m.model.endpoints)
	for _, e := range kept {
		m.model.endpoints[e.Name] = e
		m.model.leaving[e.Name] = m.balancer.endpoints[e.Name].reportedDraining || m.balancer.endpoints[e.Name].markedLeaving
	}
}

func (m *testMachine) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "wait")) * time.Millisecond)
}

// checkInvariants compares the balancer's counts with the model's and checks the cap on
// ejections.
func (m *testMachine) checkInvariants(t *rapid.T) {
	for _, state := range m.balancer.States() {
		assert.Equal(t, state.LocalRequests, m.model.requestsAt(state.Endpoint))
		assert.Equal(t, state.LocalTokens, 300*m.model.requestsAt(state.Endpoint))
	}
	for _, g := range m.balancer.groups {
		ejected, localRequests := 0, 0
		for _, e := range g.endpoints {
			localRequests += e.localRequests
			if e.breaker.status == Ejected {
				ejected++
			}
		}
		assert.Equal(t, g.ejectedCount, ejected)
		assert.Equal(t, g.localRequests, localRequests)
		assert.Assert(t, ejected <= max(1, int(0.3*float64(len(g.endpoints)))))
		assert.Assert(t, len(g.endpoints) > 1 || ejected == 0)
	}
	assert.Equal(t, m.balancer.NextProbe(), m.twin.NextProbe())
}

// TestRandomEventsMatchReferenceModel applies random events and checks every choice
// against the reference model, and that the same seed gives the same choices.
func TestRandomEventsMatchReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTestMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"pick": m.pick, "again": m.pick, "more": m.pick, "end": m.endRequest, "progress": m.recordProgress,
			"report": m.recordLoad, "leave": m.markLeaving, "configure": m.configure, "wait": m.advanceTime, "": m.checkInvariants,
		})
	})
}

// TestFullScanPicksLeastLoadedEndpoint checks that a balancer whose sample covers all
// endpoints chooses as a naive scan for the fewest requests does.
func TestFullScanPicksLeastLoadedEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "endpoints")
		b := New(Settings{DataCentre: "a", MaxCandidates: 40, MaxSamples: 40}, newRandom(3))
		endpoints := newEndpoints(count, 3)
		b.Configure(startTime, endpoints)
		loads := make([]int, count)
		for id := range uint64(rapid.IntRange(1, 140).Draw(t, "requests")) {
			best := -1
			for i, load := range loads {
				if load < 3 && (best < 0 || load < loads[best]) {
					best = i
				}
			}
			choice, ok := b.Pick(startTime, basicRequest, nil)
			assert.Equal(t, ok, best >= 0)
			if !ok {
				return
			}
			assert.Equal(t, choice.Endpoint, endpoints[best].Name)
			b.RecordStart(startTime, id, choice.Endpoint, basicRequest)
			loads[best]++
		}
	})
}

// TestConfigureKeepsInFlightRequestsAndLeavingMarks checks that an endpoint that is
// removed and comes back still has its requests, and that a leaving endpoint stays out
// of service.
func TestConfigureKeepsInFlightRequestsAndLeavingMarks(t *testing.T) {
	b := newTestBalancer(newEndpoints(3, 4))
	b.RecordStart(startTime, 1, "e001", basicRequest)
	b.SetLeaving(startTime, "e000")
	b.Configure(startTime, newEndpoints(1, 4))
	assert.Equal(t, len(b.States()), 1)
	b.Configure(startTime, newEndpoints(3, 4))
	assert.Equal(t, b.States()[1].LocalRequests, 1, "a returning endpoint lost its request")
	assert.Equal(t, b.States()[0].Status, Leaving, "an outdated list put a leaving endpoint back in service")
	b.ClearLeaving(startTime, "e000")
	assert.Equal(t, b.States()[0].Status, Healthy)
	b.Configure(startTime, nil)
	b.RecordEnd(startTime, 1, Failed)
	assert.Equal(t, len(b.endpoints)+len(b.inFlight), 0)
	_, ok := b.Pick(startTime, basicRequest, nil)
	assert.Assert(t, !ok)
}
