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
	lease    = 15 * time.Second
	loadTime = 20 * time.Second
)

// fleet has two endpoints that check fencing numbers and two that do not, a
// change of the model, then one of the adapter.
func fleet(parallel int) declarer.Set {
	values := make([]any, 0, 7)
	values = append(values, declarer.Service{Name: "pool", Kind: declarer.ServiceKindModel, Models: []string{"ink", "oak"}})
	names := []string{"e0", "e1", "e2", "e3"}
	for i, name := range names {
		values = append(values, declarer.Endpoint{Name: name, Service: "pool", Address: "http://10.0.0.1:" + fmt.Sprint(i+1), ChecksFencingToken: i < 2})
	}
	limit := declarer.Duration(10 * time.Minute)
	values = append(values,
		declarer.PlannedChange{Name: "first", Endpoints: names, Model: "oak", Version: "2", MaxParallel: parallel, EndpointTimeout: limit},
		declarer.PlannedChange{Name: "second", Endpoints: names[1:3], Version: "3", Adapter: "spa", Role: declarer.RoleBoth, AfterChange: "first", MaxParallel: 1, EndpointTimeout: limit})
	return declarer.SetFromValues(values)
}

type engine struct {
	fenced bool
	state  orderer.EngineState
	ready  time.Time
	// newest is the highest fence obeyed.
	newest uint64
}

// message is an action under way, to arrive at some time.
type message struct {
	from   *holder
	at     time.Time
	action orderer.Action
}

type holder struct {
	fence   uint64
	orderer *orderer.Orderer
}

// world is engines, the lease object and the holders one after the other.
type world struct {
	t       *rapid.T
	now     time.Time
	set     declarer.Set
	engines map[string]*engine
	holder  *holder
	until   time.Time
	payload json.RawMessage
	flight  []message
	delay   int // Longest delay of a message, in seconds.
	loads   int
	reports map[string]orderer.Progress
	// late counts old holders' orders obeyed after a newer holder's.
	late, lateFenced int
	parallel         int
}

func newWorld(t *rapid.T, delay int) *world {
	w := &world{t: t, now: start, engines: make(map[string]*engine), delay: delay, reports: make(map[string]orderer.Progress)}
	w.parallel = rapid.IntRange(1, 4).Draw(t, "parallel")
	w.set = fleet(w.parallel)
	for _, endpoint := range w.set.EndpointList() {
		w.engines[endpoint.Name] = &engine{fenced: endpoint.ChecksFencingToken, state: orderer.EngineState{Model: "ink", Version: "1"}}
	}
	w.takeOver()
	return w
}

// takeOver makes a new holder; what the old one has under way goes on.
func (w *world) takeOver() {
	fence := uint64(1)
	if w.holder != nil {
		fence = w.holder.fence + 1
	}
	w.holder = &holder{fence: fence, orderer: orderer.New(orderer.Settings{LeaseDuration: lease, Rate: 1.0 / 30, Burst: 2})}
	w.holder.orderer.OnLeaseAcquired(w.now, fence, w.payload)
	w.holder.orderer.Configure(w.set, nil)
	w.renew()
}

func (w *world) renew() {
	w.until = w.now.Add(lease)
	w.holder.orderer.OnLeaseRenewed(w.until)
	w.payload = w.holder.orderer.Payload()
	w.holder.orderer.OnPayloadSaved(w.payload)
}

func (w *world) send(h *holder, actions []orderer.Action) {
	for _, action := range actions {
		if report, is := action.(orderer.ReportProgress); is {
			w.reports[report.ChangeName] = report.Progress
			assert.Assert(w.t, len(report.Progress.CurrentEndpoints) <= max(1, w.parallel))
			continue
		}
		at := w.now.Add(time.Duration(rapid.IntRange(0, 3).Draw(w.t, "delay")) * time.Second)
		if order, is := action.(orderer.Order); is {
			assert.Assert(w.t, w.now.Before(order.ExpiresAt) && order.Fence == h.fence)
			at = w.now.Add(time.Duration(rapid.IntRange(0, w.delay).Draw(w.t, "order")) * time.Second)
		}
		w.flight = append(w.flight, message{from: h, at: at, action: action})
	}
}

// deliver lets what has arrived take effect; answers may be lost.
func (w *world) deliver(faults bool) {
	due := slices.Clone(w.flight)
	w.flight = slices.DeleteFunc(w.flight, func(m message) bool { return !m.at.After(w.now) })
	for _, m := range due {
		if m.at.After(w.now) {
			continue
		}
		lost := faults && rapid.IntRange(0, 5).Draw(w.t, "lost") == 0
		o := m.from.orderer
		switch action := m.action.(type) {
		case orderer.ReadState:
			if lost {
				o.OnStateReadFailed(action.Endpoint, "no answer")
				continue
			}
			w.send(m.from, o.OnStateRead(w.now, action, w.engines[action.Endpoint].state))
		case orderer.Order:
			w.obey(m.from, action, lost)
		case orderer.SavePayload:
			if m.from == w.holder && !lost {
				w.renew()
			}
		}
	}
}

func (w *world) obey(h *holder, order orderer.Order, lost bool) {
	e := w.engines[order.Endpoint]
	if e.fenced && order.Fence < e.state.Fence {
		w.send(h, h.orderer.OnOrderRefused(order, e.state.Fence))
		return
	}
	if order.Fence < e.newest {
		w.late++
		if e.fenced {
			w.lateFenced++
		}
	}
	e.newest = max(e.newest, order.Fence)
	e.state.Fence = max(e.state.Fence, order.Fence)
	before := e.state
	e.state.Model, e.state.Version, e.state.Adapter, e.state.Role = order.Model, order.Version, order.Adapter, order.Role
	if before.Model != e.state.Model || before.Version != e.state.Version || before.Adapter != e.state.Adapter {
		w.loads++
		e.state.Loading, e.ready = true, w.now.Add(loadTime)
	}
	if lost {
		h.orderer.OnOrderFailed(order, "no answer")
		return
	}
	w.send(h, h.orderer.OnOrderAccepted(w.now, order, e.state))
}

// second lets a second pass. The holder acts only while it holds the lease.
func (w *world) second(faults bool) {
	w.now = w.now.Add(time.Second)
	for _, name := range []string{"e0", "e1", "e2", "e3"} {
		if e := w.engines[name]; e.state.Loading && !w.now.Before(e.ready) {
			e.state.Loading = false
		}
	}
	if w.now.Unix()%5 == 0 {
		w.renew()
	}
	w.deliver(faults)
	w.send(w.holder, w.holder.orderer.Tick(w.now))
	allowed := 2 + w.now.Sub(start).Seconds()/30
	assert.Assert(w.t, float64(w.loads) <= allowed, "%d loads in %s", w.loads, w.now.Sub(start))
}

func (w *world) run(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "holders") {
		for range rapid.IntRange(1, 120).Draw(t, "seconds") {
			w.second(true)
		}
		w.takeOver()
	}
	for range 600 {
		w.second(false)
	}
	for name, e := range w.engines {
		want := orderer.EngineState{Model: "oak", Version: "2", Fence: e.state.Fence}
		if name == "e1" || name == "e2" {
			want.Version, want.Adapter, want.Role = "3", "spa", declarer.RoleBoth
		}
		assert.Equal(t, e.state, want, name)
	}
	for _, change := range []string{"first", "second"} {
		assert.Equal(t, w.reports[change].Phase, orderer.PhaseDone, "%s: %v", change, w.reports[change])
	}
}

// Holders change at any moment with orders under way and answers lost. No
// engine that checks obeys an old holder after a new one, nor does one that
// does not check as long as messages take less than the lease plus the longest
// order; loads keep to the rate; and in the end all is as declared.
func TestHoldersOneAfterTheOther(t *testing.T) {
	sequences, loads := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 24)
		w.run(t)
		assert.Equal(t, w.late, 0)
		sequences++
		loads += w.loads
	})
	t.Logf("%d sequences, %d loads, old orders obeyed after a new holder's: 0", sequences, loads)
}

// With longer delays an endpoint that does not check may obey an old order: it
// is counted, one that checks never does, and the next read puts it right.
func TestOrdersDelayedBeyondTheWindow(t *testing.T) {
	sequences, late := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 90)
		w.run(t)
		assert.Equal(t, w.lateFenced, 0)
		sequences++
		late += w.late
	})
	t.Logf("%d sequences, old orders obeyed: by endpoints that check 0, by others %d", sequences, late)
}
