package orderer_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/orderer"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

var start = time.Unix(1000, 0)

const (
	leaseDuration = 15 * time.Second
	loadDuration  = 20 * time.Second
)

// newResources returns two endpoints that check fencing tokens, two that do not, a planned
// change of the model of all four, and a following change of the adapter of two.
func newResources(parallel int) declarer.Set {
	resources := make([]any, 0, 7)
	resources = append(resources, declarer.Service{Name: "pool", Kind: declarer.ServiceKindModel, Models: []string{"ink", "oak"}})
	names := []string{"e0", "e1", "e2", "e3"}
	for i, name := range names {
		resources = append(resources, declarer.Endpoint{Name: name, Service: "pool", Address: "http://10.0.0.1:" + fmt.Sprint(i+1), ChecksFencingToken: i < 2})
	}
	endpointTimeout := declarer.Duration(10 * time.Minute)
	resources = append(resources,
		declarer.PlannedChange{Name: "first", Endpoints: names, Model: "oak", Version: "2", MaxParallel: parallel, EndpointTimeout: endpointTimeout},
		declarer.PlannedChange{Name: "second", Endpoints: names[1:3], Version: "3", Adapter: "spa", Role: declarer.RoleBoth, AfterChange: "first", MaxParallel: 1, EndpointTimeout: endpointTimeout})
	return declarer.SetFromValues(resources)
}

// engine is a simulated model engine.
type engine struct {
	checksFencingToken bool
	state              orderer.EngineState
	loadedAt           time.Time
	// highestObeyedFence is the highest fencing token of an order that it obeyed.
	highestObeyedFence uint64
}

// message is an action in transit to an engine or to the store.
type message struct {
	sender    *holder
	arrivesAt time.Time
	action    orderer.Action
}

// holder is an orderer that holds or held the lease.
type holder struct {
	fence   uint64
	orderer *orderer.Orderer
}

// simulation holds engines, the lease object, the current holder and the messages in
// transit, including those of previous holders.
type simulation struct {
	t                    *rapid.T
	now                  time.Time
	resources            declarer.Set
	engines              map[string]*engine
	holder               *holder
	leaseExpiresAt       time.Time
	payload              json.RawMessage
	inFlight             []message
	maxOrderDelaySeconds int // Longest delay of an order in transit.
	loadCount            int
	progressByChange     map[string]orderer.Progress
	// staleOrders counts the orders of previous holders that an engine obeyed after one of
	// a later holder; staleOrdersWithFenceCheck those obeyed by engines that check tokens.
	staleOrders, staleOrdersWithFenceCheck int
	maxParallel                            int
}

func newSimulation(t *rapid.T, maxOrderDelaySeconds int) *simulation {
	s := &simulation{t: t, now: start, engines: make(map[string]*engine), maxOrderDelaySeconds: maxOrderDelaySeconds, progressByChange: make(map[string]orderer.Progress)}
	s.maxParallel = rapid.IntRange(1, 4).Draw(t, "parallel")
	s.resources = newResources(s.maxParallel)
	for _, endpoint := range s.resources.EndpointList() {
		s.engines[endpoint.Name] = &engine{checksFencingToken: endpoint.ChecksFencingToken, state: orderer.EngineState{Model: "ink", Version: "1"}}
	}
	s.changeHolder()
	return s
}

// changeHolder replaces the lease holder. Messages of the previous one stay in transit.
func (s *simulation) changeHolder() {
	fence := uint64(1)
	if s.holder != nil {
		fence = s.holder.fence + 1
	}
	s.holder = &holder{fence: fence, orderer: orderer.New(orderer.Settings{LeaseDuration: leaseDuration, MaxLoadsPerSecond: 1.0 / 30, MaxLoadBurst: 2})}
	s.holder.orderer.OnLeaseAcquired(s.now, fence, s.payload)
	s.holder.orderer.Configure(s.resources, nil)
	s.renewLease()
}

// renewLease renews the holder's lease and stores its payload.
func (s *simulation) renewLease() {
	s.leaseExpiresAt = s.now.Add(leaseDuration)
	s.holder.orderer.OnLeaseRenewed(s.leaseExpiresAt)
	s.payload = s.holder.orderer.Payload()
	s.holder.orderer.OnPayloadSaved(s.payload)
}

// send records progress reports and puts all other actions in transit.
func (s *simulation) send(h *holder, actions []orderer.Action) {
	for _, action := range actions {
		if report, ok := action.(orderer.ReportProgress); ok {
			s.progressByChange[report.ChangeName] = report.Progress
			assert.Assert(s.t, len(report.Progress.CurrentEndpoints) <= max(1, s.maxParallel))
			continue
		}
		arrivesAt := s.now.Add(time.Duration(rapid.IntRange(0, 3).Draw(s.t, "delay")) * time.Second)
		if order, ok := action.(orderer.Order); ok {
			assert.Assert(s.t, s.now.Before(order.ExpiresAt) && order.Fence == h.fence)
			arrivesAt = s.now.Add(time.Duration(rapid.IntRange(0, s.maxOrderDelaySeconds).Draw(s.t, "order")) * time.Second)
		}
		s.inFlight = append(s.inFlight, message{sender: h, arrivesAt: arrivesAt, action: action})
	}
}

// deliverArrived carries out the messages that have arrived. With faults, answers may be
// lost.
func (s *simulation) deliverArrived(faults bool) {
	messages := slices.Clone(s.inFlight)
	s.inFlight = slices.DeleteFunc(s.inFlight, func(m message) bool { return !m.arrivesAt.After(s.now) })
	for _, m := range messages {
		if m.arrivesAt.After(s.now) {
			continue
		}
		lost := faults && rapid.IntRange(0, 5).Draw(s.t, "lost") == 0
		o := m.sender.orderer
		switch action := m.action.(type) {
		case orderer.ReadState:
			if lost {
				o.OnStateReadFailed(action.Endpoint, "no answer")
				continue
			}
			s.send(m.sender, o.OnStateRead(s.now, action, s.engines[action.Endpoint].state))
		case orderer.Order:
			s.applyOrder(m.sender, action, lost)
		case orderer.SavePayload:
			if m.sender == s.holder && !lost {
				s.renewLease()
			}
		}
	}
}

// applyOrder lets an engine refuse or obey an order and reports the result.
func (s *simulation) applyOrder(h *holder, order orderer.Order, lost bool) {
	e := s.engines[order.Endpoint]
	if e.checksFencingToken && order.Fence < e.state.Fence {
		s.send(h, h.orderer.OnOrderRefused(order, e.state.Fence))
		return
	}
	if order.Fence < e.highestObeyedFence {
		s.staleOrders++
		if e.checksFencingToken {
			s.staleOrdersWithFenceCheck++
		}
	}
	e.highestObeyedFence = max(e.highestObeyedFence, order.Fence)
	e.state.Fence = max(e.state.Fence, order.Fence)
	before := e.state
	e.state.Model, e.state.Version, e.state.Adapter, e.state.Role = order.Model, order.Version, order.Adapter, order.Role
	if before.Model != e.state.Model || before.Version != e.state.Version || before.Adapter != e.state.Adapter {
		s.loadCount++
		e.state.Loading, e.loadedAt = true, s.now.Add(loadDuration)
	}
	if lost {
		h.orderer.OnOrderFailed(order, "no answer")
		return
	}
	s.send(h, h.orderer.OnOrderAccepted(s.now, order, e.state))
}

// advanceSecond lets one second pass and asserts that loads stay within their rate. Only
// the current holder is ticked.
func (s *simulation) advanceSecond(faults bool) {
	s.now = s.now.Add(time.Second)
	for _, name := range []string{"e0", "e1", "e2", "e3"} {
		if e := s.engines[name]; e.state.Loading && !s.now.Before(e.loadedAt) {
			e.state.Loading = false
		}
	}
	if s.now.Unix()%5 == 0 {
		s.renewLease()
	}
	s.deliverArrived(faults)
	s.send(s.holder, s.holder.orderer.Tick(s.now))
	maxLoads := 2 + s.now.Sub(start).Seconds()/30
	assert.Assert(s.t, float64(s.loadCount) <= maxLoads, "%d loads in %s", s.loadCount, s.now.Sub(start))
}

// run simulates several holders with faults, then ten minutes without faults, and asserts
// that all changes are done.
func (s *simulation) run(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "holders") {
		for range rapid.IntRange(1, 120).Draw(t, "seconds") {
			s.advanceSecond(true)
		}
		s.changeHolder()
	}
	for range 600 {
		s.advanceSecond(false)
	}
	for name, e := range s.engines {
		want := orderer.EngineState{Model: "oak", Version: "2", Fence: e.state.Fence}
		if name == "e1" || name == "e2" {
			want.Version, want.Adapter, want.Role = "3", "spa", declarer.RoleBoth
		}
		assert.Equal(t, e.state, want, name)
	}
	for _, change := range []string{"first", "second"} {
		assert.Equal(t, s.progressByChange[change].Phase, orderer.PhaseDone, "%s: %v", change, s.progressByChange[change])
	}
}

// The lease holder changes at any moment while orders are in transit and answers are lost.
// No engine obeys a previous holder's order after one of a later holder: engines that
// check fencing tokens refuse it, and the others are safe while messages take less than
// the lease's duration plus the longest lifetime of an order. Loads stay within their
// rate, and in the end every engine has the declared state.
func TestStaleOrdersAreNotObeyedAcrossHolders(t *testing.T) {
	sequences, loads := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 24)
		s.run(t)
		assert.Equal(t, s.staleOrders, 0)
		sequences++
		loads += s.loadCount
	})
	t.Logf("%d sequences, %d loads, old orders obeyed after a new holder's: 0", sequences, loads)
}

// With longer delays an endpoint that does not check fencing tokens may obey a stale
// order, which is counted and corrected after the next read; one that checks never does.
func TestLongDelaysAffectOnlyEndpointsWithoutFenceCheck(t *testing.T) {
	sequences, staleOrders := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 90)
		s.run(t)
		assert.Equal(t, s.staleOrdersWithFenceCheck, 0)
		sequences++
		staleOrders += s.staleOrders
	})
	t.Logf("%d sequences, old orders obeyed: by endpoints that check 0, by others %d", sequences, staleOrders)
}
