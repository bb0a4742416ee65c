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

// formatActions returns a one-line description of actions.
func formatActions(actions []orderer.Action) string {
	var descriptions []string
	for _, action := range actions {
		switch action := action.(type) {
		case orderer.ReadState:
			descriptions = append(descriptions, "read "+action.Endpoint)
		case orderer.Order:
			descriptions = append(descriptions, fmt.Sprintf("order %s %s/%s under %d for %s", action.Endpoint, action.Model, action.Version, action.Fence, action.ExpiresAt.Sub(start)))
		case orderer.SavePayload:
			descriptions = append(descriptions, "save")
		case orderer.ReportProgress:
			descriptions = append(descriptions, fmt.Sprintf("%s %s %d/%d %v %s", action.ChangeName, action.Progress.Phase, action.Progress.DoneEndpoints, action.Progress.TotalEndpoints, action.Progress.CurrentEndpoints, action.Progress.Reason))
		case orderer.Superseded:
			descriptions = append(descriptions, fmt.Sprint("superseded by ", action.Fence))
		}
	}
	return strings.Join(descriptions, ", ")
}

// newSingleChangeSet returns an endpoint that checks fencing tokens and a planned change
// of its model, after edit has modified them.
func newSingleChangeSet(edit func(*declarer.PlannedChange, *declarer.Endpoint)) declarer.Set {
	endpoint := declarer.Endpoint{Name: "e", Service: "pool", ChecksFencingToken: true}
	change := declarer.PlannedChange{Name: "c", Endpoints: []string{"e"}, Model: "oak", Version: "2", MaxParallel: 1, EndpointTimeout: declarer.Duration(time.Minute)}
	edit(&change, &endpoint)
	return declarer.SetFromValues([]any{endpoint, change, declarer.Service{Name: "pool", Kind: declarer.ServiceKindModel, Models: []string{"oak"}}})
}

// newLeaseHolder returns an orderer that holds the lease for an hour under fencing token 3.
func newLeaseHolder(resources declarer.Set) *orderer.Orderer {
	o := orderer.New(orderer.Settings{})
	o.OnLeaseAcquired(start, 3, nil)
	o.OnLeaseRenewed(start.Add(time.Hour))
	o.Configure(resources, nil)
	return o
}

// answerRead reports a state of the endpoint read at the given time after start, and
// describes the actions that follow.
func answerRead(o *orderer.Orderer, elapsed time.Duration, state orderer.EngineState) string {
	now := start.Add(elapsed)
	return formatActions(o.OnStateRead(now, orderer.ReadState{Endpoint: "e", RequestedAt: now}, state))
}

func Example() {
	o := newLeaseHolder(newSingleChangeSet(func(*declarer.PlannedChange, *declarer.Endpoint) {}))
	fmt.Println(formatActions(o.Tick(start)))
	fmt.Println(answerRead(o, 0, orderer.EngineState{Model: "ink"}))
	o.OnPayloadSaved(o.Payload()) // The load's deduction is stored in the lease object.
	fmt.Println(formatActions(o.Tick(start.Add(time.Second))))
	fmt.Println(answerRead(o, 20*time.Second, orderer.EngineState{Model: "oak", Version: "2"}))
	// Output:
	// read e, c waiting 0/1 [] reads the state of the endpoints
	// c running 0/1 [e] , save
	// read e, order e oak/2 under 3 for 11s
	// read e, c done 1/1 []
}

func noEdit(*declarer.PlannedChange, *declarer.Endpoint) {}

// A change reports why it does not proceed: it is paused, the engine does not answer, or
// every order fails. Failing orders stay within the load rate. An endpoint that is leaving
// counts as done without an order.
func TestBlockedChangeReportsPhaseAndReason(t *testing.T) {
	paused := newLeaseHolder(newSingleChangeSet(func(c *declarer.PlannedChange, _ *declarer.Endpoint) { c.Paused = true }))
	paused.Tick(start)
	assert.Equal(t, answerRead(paused, 0, orderer.EngineState{Model: "ink"}), "c paused 0/1 [] ")

	leaving := newLeaseHolder(newSingleChangeSet(func(_ *declarer.PlannedChange, e *declarer.Endpoint) { e.State = declarer.StateLeaving }))
	assert.Equal(t, formatActions(leaving.Tick(start)), "read e, c done 1/1 [] ", "no orders for an endpoint that takes no new work")

	silent := newLeaseHolder(newSingleChangeSet(noEdit))
	silent.Tick(start)
	silent.OnStateReadFailed("e", "no answer")
	assert.Equal(t, formatActions(silent.Tick(start.Add(time.Second))), "c running 0/1 [e] ")
	stalled := formatActions(silent.Tick(start.Add(2 * time.Minute)))
	assert.Equal(t, stalled, "read e, c stalled 0/1 [e] e: not done within 1m0s: state not read: no answer")

	failing := newLeaseHolder(newSingleChangeSet(noEdit))
	orders, lastReason := 0, ""
	var runActions func(now time.Time, actions []orderer.Action)
	runActions = func(now time.Time, actions []orderer.Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case orderer.Order:
				orders++
				failing.OnOrderFailed(action, "disk full")
			case orderer.SavePayload:
				failing.OnPayloadSaved(failing.Payload())
			case orderer.ReportProgress:
				lastReason = action.Progress.Reason
			case orderer.ReadState:
				runActions(now, failing.OnStateRead(now, action, orderer.EngineState{Model: "ink"}))
			}
		}
	}
	for second := range 300 {
		now := start.Add(time.Duration(second) * time.Second)
		runActions(now, failing.Tick(now))
	}
	assert.Equal(t, lastReason, "e: not done within 1m0s: order failed: disk full")
	assert.Equal(t, orders, 6, "the load rate: two at once, then one a minute")
}

// An expired or lost lease stops all actions, and a higher fencing token in a state or in
// a refusal is reported.
func TestNoOrdersAfterLostLeaseOrHigherFence(t *testing.T) {
	o := newLeaseHolder(newSingleChangeSet(noEdit))
	o.OnLeaseRenewed(start.Add(time.Second))
	assert.Equal(t, formatActions(o.Tick(start.Add(time.Second))), "", "the lease has ended")
	o.OnLeaseRenewed(start.Add(time.Hour))
	o.Tick(start)
	assert.Equal(t, answerRead(o, 0, orderer.EngineState{Fence: 4}), "superseded by 4")
	order := orderer.Order{Endpoint: "e", Fence: 3}
	assert.Equal(t, formatActions(o.OnOrderRefused(order, 5)), "superseded by 5")
	o.OnLeaseLost()
	assert.Equal(t, formatActions(o.Tick(start)), "")
	assert.Equal(t, formatActions(o.OnOrderAccepted(start, order, orderer.EngineState{})), "")
}

// A change that is done according to its status is not started again. An engine that
// lost its state gets one order, which states the result of all changes.
func TestDoneChangeIsReappliedToEmptyEngine(t *testing.T) {
	resources := newSingleChangeSet(noEdit)
	resources.Changes["d"] = declarer.PlannedChange{Name: "d", Endpoints: []string{"e"}, Version: "3", AfterChange: "c", MaxParallel: 1, EndpointTimeout: declarer.Duration(time.Minute)}
	o := newLeaseHolder(resources)
	o.Configure(resources, []string{"c", "d"})
	o.Tick(start)
	o.OnPayloadSaved(json.RawMessage(`{}`))
	assert.Equal(t, answerRead(o, 0, orderer.EngineState{Model: "oak", Version: "3"}), "")
	assert.Equal(t, answerRead(o, time.Minute, orderer.EngineState{}), "read e, save")
	o.OnPayloadSaved(o.Payload())
	assert.Equal(t, formatActions(o.Tick(start.Add(61*time.Second))), "order e oak/3 under 3 for 1m11s")
}

// Without a stored status, a new holder concludes from the engine's state that the first
// change is done on an endpoint on which the second one has started.
func TestNewHolderResumesFromEngineStates(t *testing.T) {
	resources := newSingleChangeSet(noEdit)
	resources.Changes["d"] = declarer.PlannedChange{Name: "d", Endpoints: []string{"e"}, Version: "3", AfterChange: "c", MaxParallel: 1, EndpointTimeout: declarer.Duration(time.Minute)}
	o := newLeaseHolder(resources)
	o.Tick(start)
	assert.Equal(t, answerRead(o, 0, orderer.EngineState{Model: "oak", Version: "3", Loading: true}), "c running 0/1 [e] ")
	assert.Equal(t, answerRead(o, 2*time.Second, orderer.EngineState{Model: "oak", Version: "3"}), "read e, c done 1/1 [] , d done 1/1 [] ")
}

// An order that changes one field repeats the engine's values of the other fields.
func TestOrderStatesWholeState(t *testing.T) {
	o := newLeaseHolder(newSingleChangeSet(func(c *declarer.PlannedChange, _ *declarer.Endpoint) {
		c.Model, c.Version, c.Role = "", "", declarer.RoleDecode
	}))
	o.Tick(start)
	actions := o.OnStateRead(start, orderer.ReadState{Endpoint: "e", RequestedAt: start}, orderer.EngineState{Model: "ink", Version: "1", Adapter: "spa"})
	order := actions[len(actions)-1].(orderer.Order)
	assert.Equal(t, order.DesiredState, orderer.DesiredState{Model: "ink", Version: "1", Adapter: "spa", Role: declarer.RoleDecode})
}
