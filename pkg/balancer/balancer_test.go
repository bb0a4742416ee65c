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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet returns endpoints e000… of one service in data centre a.
func fleet(count, slots int) []Endpoint {
	endpoints := make([]Endpoint, count)
	for i := range endpoints {
		endpoints[i] = Endpoint{
			Name: fmt.Sprintf("e%03d", i), Service: "pool", DataCentre: "a", Models: []string{"m"}, Slots: slots,
		}
	}
	return endpoints
}

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func build(endpoints []Endpoint) *Balancer {
	b := New(Settings{DataCentre: "a"}, seeded(1))
	b.Configure(start, endpoints)
	return b
}

var plain = Request{Service: "pool", Model: "m", PromptTokens: 100, TotalTokens: 300, Tier: 4}

// model is the naive version: it keeps every request in a list and scans all.
type model struct {
	endpoints map[string]Endpoint
	gone      map[string]bool
	running   map[uint64]string
	alone     map[uint64]bool
}

func (m *model) load(name string) int {
	count := 0
	for _, endpoint := range m.running {
		if endpoint == name {
			count++
		}
	}
	return count
}

func (m *model) lonely(name string) bool {
	for id, endpoint := range m.running {
		if endpoint == name && m.alone[id] {
			return true
		}
	}
	return false
}

// open tells whether an endpoint could take a request, by the naive rules.
func (m *model) open(name string, ask Request) bool {
	e, found := m.endpoints[name]
	return found && !e.Leaving && !m.gone[name] && slices.Contains(e.Models, ask.Model) &&
		!slices.Contains(ask.TriedEndpoints, name) && m.load(name) < e.Slots && !m.lonely(name)
}

// machine drives a balancer, its twin with the same seed, and the model.
type machine struct {
	b, twin *Balancer
	m       model
	now     time.Time
	next    uint64
	made    map[uint64]int
	all     []Endpoint
}

func newMachine(t *rapid.T) *machine {
	count := rapid.IntRange(1, 9).Draw(t, "endpoints")
	endpoints := fleet(count, 4)
	m := &machine{now: start, made: map[uint64]int{}}
	m.m = model{map[string]Endpoint{}, map[string]bool{}, map[uint64]string{}, map[uint64]bool{}}
	for i := range endpoints {
		endpoints[i].DataCentre = rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "place")
		m.m.endpoints[endpoints[i].Name] = endpoints[i]
	}
	m.all = endpoints
	m.b = New(Settings{DataCentre: "a"}, seeded(7))
	m.twin = New(Settings{DataCentre: "a"}, seeded(7))
	m.each(func(b *Balancer) { b.Configure(start, endpoints) })
	return m
}

func (m *machine) each(do func(b *Balancer)) {
	do(m.b)
	do(m.twin)
}

func (m *machine) statuses() map[string]State {
	states := map[string]State{}
	for _, state := range m.b.States() {
		states[state.Endpoint] = state
	}
	return states
}

func (m *machine) name(t *rapid.T) string {
	return m.b.order[rapid.IntRange(0, len(m.b.order)-1).Draw(t, "endpoint")].Name
}

func (m *machine) request(t *rapid.T) (uint64, bool) {
	if len(m.m.running) == 0 {
		return 0, false
	}
	ids := make([]uint64, 0, len(m.m.running))
	for id := range m.m.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "request"), true
}

func (m *machine) pick(t *rapid.T) {
	ask := plain
	ask.Tier = rapid.IntRange(0, 4).Draw(t, "tier")
	ask.Isolated = rapid.IntRange(0, 9).Draw(t, "alone") == 0
	if rapid.Bool().Draw(t, "retry") {
		ask.TriedEndpoints = []string{m.name(t)}
	}
	ask.Prefixes = []uint64{rapid.Uint64Range(1, 5).Draw(t, "prefix")}
	choice, ok := m.b.Pick(m.now, ask, nil)
	again, okAgain := m.twin.Pick(m.now, ask, nil)
	assert.Assert(t, ok == okAgain && choice == again, "same seed, other choice")
	states := m.statuses()
	if !ok {
		m.refused(t, ask, states)
		return
	}
	m.chosen(t, ask, choice, states)
	m.next++
	m.m.running[m.next], m.m.alone[m.next] = choice.Endpoint, ask.Isolated
	m.each(func(b *Balancer) { b.RecordStart(m.now, m.next, choice.Endpoint, ask) })
}

// refused checks that no healthy endpoint was free by what the balancer knows.
func (m *machine) refused(t *rapid.T, ask Request, states map[string]State) {
	for name, state := range states {
		assert.Assert(t, !m.free(name, ask, state), "%s was free", name)
	}
}

func (m *machine) free(name string, ask Request, state State) bool {
	e := m.b.engines[name]
	known := e.load(m.now)+1 <= float64(e.Slots) && !e.limited(m.now) && !m.now.Before(e.refusedUntil)
	return state.Status == Healthy && m.m.open(name, ask) && known
}

func (m *machine) chosen(t *rapid.T, ask Request, choice Choice, states map[string]State) {
	status := states[choice.Endpoint].Status
	assert.Assert(t, m.m.open(choice.Endpoint, ask), "%s is not open", choice.Endpoint)
	assert.Assert(t, status == Healthy || status == Suspect, "%s is %s", choice.Endpoint, status)
	assert.Equal(t, choice.CrossDataCentre, m.m.endpoints[choice.Endpoint].DataCentre != "a")
	for name, state := range states {
		local := m.m.endpoints[name].DataCentre == "a"
		if choice.CrossDataCentre && local && !ask.Isolated {
			assert.Assert(t, !m.free(name, ask, state), "left its data centre though %s was free", name)
		}
		if ask.Isolated && status == Healthy && m.m.load(choice.Endpoint) > 0 && m.free(name, ask, state) {
			assert.Assert(t, m.m.load(name) > 0, "%s was empty", name)
		}
	}
}

func (m *machine) end(t *rapid.T) {
	id, ok := m.request(t)
	if !ok {
		return
	}
	result := rapid.SampledFrom([]Result{Finished, Finished, Refused, Failed, Canceled}).Draw(t, "result")
	m.each(func(b *Balancer) { b.RecordEnd(m.now, id, result) })
	delete(m.m.running, id)
}

func (m *machine) progress(t *rapid.T) {
	id, ok := m.request(t)
	if !ok {
		return
	}
	m.made[id] += rapid.IntRange(0, 30).Draw(t, "made")
	m.each(func(b *Balancer) { b.RecordProgress(m.now, id, m.made[id]) })
}

func (m *machine) report(t *rapid.T) {
	name := m.name(t)
	load := LoadReport{
		MeasuredAt: m.now.Add(-time.Duration(rapid.IntRange(-1, 5).Draw(t, "lag")) * time.Second),
		Running:    rapid.IntRange(0, 5).Draw(t, "running"),
		Draining:   rapid.IntRange(0, 9).Draw(t, "draining") == 0,
	}
	m.each(func(b *Balancer) { b.RecordLoad(m.now, name, load) })
	m.m.gone[name] = m.b.engines[name].draining || m.b.engines[name].departed
}

func (m *machine) leave(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "leaves") > 0 {
		return
	}
	name := m.name(t)
	m.each(func(b *Balancer) { b.SetLeaving(m.now, name) })
	m.m.gone[name] = true
}

// configure drops some endpoints and brings others back.
func (m *machine) configure(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "configure") > 0 {
		return
	}
	kept := []Endpoint{m.all[0]}
	for _, e := range m.all[1:] {
		if rapid.IntRange(0, 3).Draw(t, "kept") > 0 {
			kept = append(kept, e)
		}
	}
	m.each(func(b *Balancer) { b.Configure(m.now, kept) })
	clear(m.m.endpoints)
	for _, e := range kept {
		m.m.endpoints[e.Name] = e
		m.m.gone[e.Name] = m.b.engines[e.Name].draining || m.b.engines[e.Name].departed
	}
}

func (m *machine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "wait")) * time.Millisecond)
}

func (m *machine) check(t *rapid.T) {
	for _, state := range m.b.States() {
		assert.Equal(t, state.Running, m.m.load(state.Endpoint))
		assert.Equal(t, state.Tokens, 300*m.m.load(state.Endpoint))
	}
	for _, g := range m.b.groups {
		ejected, running := 0, 0
		for _, e := range g.engines {
			running += e.running
			if e.standing.status == Ejected {
				ejected++
			}
		}
		assert.Equal(t, g.ejected, ejected)
		assert.Equal(t, g.running, running)
		assert.Assert(t, ejected <= max(1, int(0.3*float64(len(g.engines)))))
		assert.Assert(t, len(g.engines) > 1 || ejected == 0)
	}
	assert.Equal(t, m.b.Next(), m.twin.Next())
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"pick": m.pick, "again": m.pick, "more": m.pick, "end": m.end, "progress": m.progress,
			"report": m.report, "leave": m.leave, "configure": m.configure, "wait": m.wait, "": m.check,
		})
	})
}

func TestFullScanEqualsNaiveLeastLoaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "endpoints")
		b := New(Settings{DataCentre: "a", Choices: 40, Probes: 40}, seeded(3))
		endpoints := fleet(count, 3)
		b.Configure(start, endpoints)
		loads := make([]int, count)
		for id := range uint64(rapid.IntRange(1, 140).Draw(t, "requests")) {
			best := -1
			for i, load := range loads {
				if load < 3 && (best < 0 || load < loads[best]) {
					best = i
				}
			}
			choice, ok := b.Pick(start, plain, nil)
			assert.Equal(t, ok, best >= 0)
			if !ok {
				return
			}
			assert.Equal(t, choice.Endpoint, endpoints[best].Name)
			b.RecordStart(start, id, choice.Endpoint, plain)
			loads[best]++
		}
	})
}

func TestConfigureKeepsWhatRuns(t *testing.T) {
	b := build(fleet(3, 4))
	b.RecordStart(start, 1, "e001", plain)
	b.SetLeaving(start, "e000")
	b.Configure(start, fleet(1, 4))
	assert.Equal(t, len(b.States()), 1)
	b.Configure(start, fleet(3, 4))
	assert.Equal(t, b.States()[1].Running, 1, "a returning endpoint lost its request")
	assert.Equal(t, b.States()[0].Status, Leaving, "a lagging list brought a leaving endpoint back")
	b.Return(start, "e000")
	assert.Equal(t, b.States()[0].Status, Healthy)
	b.Configure(start, nil)
	b.RecordEnd(start, 1, Failed)
	assert.Equal(t, len(b.engines)+len(b.requests), 0)
	_, ok := b.Pick(start, plain, nil)
	assert.Assert(t, !ok)
}
