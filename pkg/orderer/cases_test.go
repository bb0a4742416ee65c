package orderer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/orderer"
)

// script shows actions on one line.
func script(actions []orderer.Action) string {
	var words []string
	for _, action := range actions {
		switch action := action.(type) {
		case orderer.ReadState:
			words = append(words, "read "+action.Endpoint)
		case orderer.Order:
			words = append(words, fmt.Sprintf("order %s %s/%s under %d for %s", action.Endpoint, action.Model, action.Version, action.Fence, action.ExpiresAt.Sub(start)))
		case orderer.SavePayload:
			words = append(words, "save")
		case orderer.ReportProgress:
			words = append(words, fmt.Sprintf("%s %s %d/%d %v %s", action.ChangeName, action.Progress.Phase, action.Progress.DoneEndpoints, action.Progress.TotalEndpoints, action.Progress.CurrentEndpoints, action.Progress.Reason))
		case orderer.Superseded:
			words = append(words, fmt.Sprint("superseded by ", action.Fence))
		}
	}
	return strings.Join(words, ", ")
}

// one is a fenced endpoint and a change of it.
func one(edit func(*declarer.PlannedChange, *declarer.Endpoint)) declarer.Set {
	endpoint := declarer.Endpoint{Name: "e", Service: "pool", ChecksFencingToken: true}
	change := declarer.PlannedChange{Name: "c", Endpoints: []string{"e"}, Model: "oak", Version: "2", MaxParallel: 1, EndpointTimeout: declarer.Duration(time.Minute)}
	edit(&change, &endpoint)
	return declarer.SetFromValues([]any{endpoint, change, declarer.Service{Name: "pool", Kind: declarer.ServiceKindModel, Models: []string{"oak"}}})
}

func lead(set declarer.Set) *orderer.Orderer {
	o := orderer.New(orderer.Settings{})
	o.OnLeaseAcquired(start, 3, nil)
	o.OnLeaseRenewed(start.Add(time.Hour))
	o.Configure(set, nil)
	return o
}

func read(o *orderer.Orderer, after time.Duration, state orderer.EngineState) string {
	now := start.Add(after)
	return script(o.OnStateRead(now, orderer.ReadState{Endpoint: "e", Asked: now}, state))
}

func Example() {
	o := lead(one(func(*declarer.PlannedChange, *declarer.Endpoint) {}))
	fmt.Println(script(o.Tick(start)))
	fmt.Println(read(o, 0, orderer.EngineState{Model: "ink"}))
	o.OnPayloadSaved(o.Payload()) // The load is paid for in the lease object.
	fmt.Println(script(o.Tick(start.Add(time.Second))))
	fmt.Println(read(o, 20*time.Second, orderer.EngineState{Model: "oak", Version: "2"}))
	// Output:
	// read e, c waiting 0/1 [] reads the state of the endpoints
	// c running 0/1 [e] , save
	// read e, order e oak/2 under 3 for 11s
	// read e, c done 1/1 []
}

func nothing(*declarer.PlannedChange, *declarer.Endpoint) {}

func TestChangeThatCannotGoOn(t *testing.T) {
	paused := lead(one(func(c *declarer.PlannedChange, _ *declarer.Endpoint) { c.Paused = true }))
	paused.Tick(start)
	assert.Equal(t, read(paused, 0, orderer.EngineState{Model: "ink"}), "c paused 0/1 [] ")

	leaving := lead(one(func(_ *declarer.PlannedChange, e *declarer.Endpoint) { e.State = declarer.StateLeaving }))
	assert.Equal(t, script(leaving.Tick(start)), "read e, c done 1/1 [] ", "nothing is ordered of an endpoint that takes no new work")

	silent := lead(one(nothing))
	silent.Tick(start)
	silent.OnStateReadFailed("e", "no answer")
	assert.Equal(t, script(silent.Tick(start.Add(time.Second))), "c running 0/1 [e] ")
	late := script(silent.Tick(start.Add(2 * time.Minute)))
	assert.Equal(t, late, "read e, c stalled 0/1 [e] e: not done within 1m0s: state not read: no answer")

	failing := lead(one(nothing))
	orders, last := 0, ""
	var carry func(now time.Time, actions []orderer.Action)
	carry = func(now time.Time, actions []orderer.Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case orderer.Order:
				orders++
				failing.OnOrderFailed(action, "disk full")
			case orderer.SavePayload:
				failing.OnPayloadSaved(failing.Payload())
			case orderer.ReportProgress:
				last = action.Progress.Reason
			case orderer.ReadState:
				carry(now, failing.OnStateRead(now, action, orderer.EngineState{Model: "ink"}))
			}
		}
	}
	for second := range 300 {
		now := start.Add(time.Duration(second) * time.Second)
		carry(now, failing.Tick(now))
	}
	assert.Equal(t, last, "e: not done within 1m0s: order failed: disk full")
	assert.Equal(t, orders, 6, "the weight store's rate: two at once, then one a minute")
}

func TestLostLeaseAndHigherFence(t *testing.T) {
	o := lead(one(nothing))
	o.OnLeaseRenewed(start.Add(time.Second))
	assert.Equal(t, script(o.Tick(start.Add(time.Second))), "", "the lease has ended")
	o.OnLeaseRenewed(start.Add(time.Hour))
	o.Tick(start)
	assert.Equal(t, read(o, 0, orderer.EngineState{Fence: 4}), "superseded by 4")
	order := orderer.Order{Endpoint: "e", Fence: 3}
	assert.Equal(t, script(o.OnOrderRefused(order, 5)), "superseded by 5")
	o.OnLeaseLost()
	assert.Equal(t, script(o.Tick(start)), "")
	assert.Equal(t, script(o.OnOrderAccepted(start, order, orderer.EngineState{})), "")
}

// A change that its status says is done is not begun again, and an engine that
// came back empty is ordered once, to the last state.
func TestDoneChangesStayInForce(t *testing.T) {
	set := one(nothing)
	set.Changes["d"] = declarer.PlannedChange{Name: "d", Endpoints: []string{"e"}, Version: "3", AfterChange: "c", MaxParallel: 1, EndpointTimeout: declarer.Duration(time.Minute)}
	o := lead(set)
	o.Configure(set, []string{"c", "d"})
	o.Tick(start)
	o.OnPayloadSaved(json.RawMessage(`{}`))
	assert.Equal(t, read(o, 0, orderer.EngineState{Model: "oak", Version: "3"}), "")
	assert.Equal(t, read(o, time.Minute, orderer.EngineState{}), "read e, save")
	o.OnPayloadSaved(o.Payload())
	assert.Equal(t, script(o.Tick(start.Add(61*time.Second))), "order e oak/3 under 3 for 1m11s")
}

// Without any status a new holder finds by reading that the first change is
// done where the second has begun.
func TestNewHolderFindsItsPlace(t *testing.T) {
	set := one(nothing)
	set.Changes["d"] = declarer.PlannedChange{Name: "d", Endpoints: []string{"e"}, Version: "3", AfterChange: "c", MaxParallel: 1, EndpointTimeout: declarer.Duration(time.Minute)}
	o := lead(set)
	o.Tick(start)
	assert.Equal(t, read(o, 0, orderer.EngineState{Model: "oak", Version: "3", Loading: true}), "c running 0/1 [e] ")
	assert.Equal(t, read(o, 2*time.Second, orderer.EngineState{Model: "oak", Version: "3"}), "read e, c done 1/1 [] , d done 1/1 [] ")
}

// An order of one field states the others as the engine has them.
func TestOrderStatesAll(t *testing.T) {
	o := lead(one(func(c *declarer.PlannedChange, _ *declarer.Endpoint) {
		c.Model, c.Version, c.Role = "", "", declarer.RoleDecode
	}))
	o.Tick(start)
	actions := o.OnStateRead(start, orderer.ReadState{Endpoint: "e", Asked: start}, orderer.EngineState{Model: "ink", Version: "1", Adapter: "spa"})
	order := actions[len(actions)-1].(orderer.Order)
	assert.Equal(t, order.DesiredState, orderer.DesiredState{Model: "ink", Version: "1", Adapter: "spa", Role: declarer.RoleDecode})
}
