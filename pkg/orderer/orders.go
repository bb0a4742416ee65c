package orderer

import (
	"fmt"
	"time"
)

// desiredState returns the state that the endpoint should have now, which results from
// its changes up to the last one that is done or in progress on it. It returns false if
// there is none.
func (o *Orderer) desiredState(endpoint string) (DesiredState, bool) {
	engine := o.engine(endpoint)
	var lastChange string
	for _, name := range o.changesByEndpoint[endpoint] {
		if o.doneChanges[name] || engine.currentChange == name {
			lastChange = name
		}
	}
	if lastChange == "" {
		return DesiredState{}, false
	}
	return o.desiredAfterChange(endpoint, lastChange), true
}

// orderIfNeeded returns an order for an endpoint that is not in its desired state, if one
// may be sent now, or a request to save the load budget that the order needs first.
func (o *Orderer) orderIfNeeded(now time.Time, name string) []Action {
	endpoint := o.resources.Endpoints[name]
	engine := o.engine(name)
	desired, hasDesired := o.desiredState(name)
	if !hasDesired || endpoint.IsLeaving() || !o.isStateSettled(engine, endpoint.ChecksFencingToken) {
		return nil
	}
	if desired.isMetBy(engine.state) {
		return o.scheduleIdleRead(now, engine)
	}
	if now.Before(engine.lastOrder.ExpiresAt) || engine.state.Loading {
		return nil // An order is in progress, or the engine is still loading.
	}
	if engine.stateReadAt.Before(engine.lastOrder.ExpiresAt) {
		return nil // The engine must be read first, as it may have obeyed the last order.
	}
	if engine.orderAttempts >= MaxOrderAttempts && engine.lastFailure != "" && now.Before(engine.lastOrder.ExpiresAt.Add(o.settings.IdlePollInterval)) {
		return nil
	}
	if desired.needsLoad(engine.state) {
		if taken, mustSave := o.budget.takeLoad(now); !taken {
			return saveActions(mustSave)
		}
	}
	return []Action{o.issueOrder(now, name, desired)}
}

func saveActions(mustSave bool) []Action {
	if mustSave {
		return []Action{SavePayload{}}
	}
	return nil
}

// scheduleIdleRead makes an engine that is in its desired state and not loading be read
// at the idle poll interval, and clears its failures.
func (o *Orderer) scheduleIdleRead(now time.Time, engine *engine) []Action {
	if !engine.state.Loading {
		engine.orderAttempts, engine.lastFailure = 0, ""
		if nextRead := engine.stateReadAt.Add(o.settings.IdlePollInterval); nextRead.After(now) {
			engine.nextReadAt = nextRead
		}
	}
	return nil
}

// isStateSettled reports whether no order of a previous holder can change the engine's
// state any more: the engine checks fencing tokens, or it was read after all those
// orders had expired.
func (o *Orderer) isStateSettled(engine *engine, checksFencingToken bool) bool {
	if engine.stateReadAt.IsZero() {
		return false
	}
	return checksFencingToken || !engine.stateReadAt.Before(o.previousOrdersExpireAt)
}

// issueOrder returns an order of the desired state and records it as in progress.
func (o *Orderer) issueOrder(now time.Time, name string, desired DesiredState) Order {
	engine := o.engine(name)
	expiresAt := now.Add(o.settings.MaxOrderTTL)
	if o.leaseExpiresAt.Before(expiresAt) {
		expiresAt = o.leaseExpiresAt
	}
	engine.lastOrder = Order{
		Endpoint: name, Address: o.resources.Endpoints[name].Address,
		Fence: o.fence, ExpiresAt: expiresAt, DesiredState: desired.filledFrom(engine.state),
	}
	engine.orderAttempts++
	engine.nextReadAt = now.Add(o.settings.ActivePollInterval)
	return engine.lastOrder
}

// OnStateRead handles the state that was read from an engine. It is the state at the time of
// the request or later.
func (o *Orderer) OnStateRead(now time.Time, read ReadState, state EngineState) []Action {
	return o.recordState(now, read.Endpoint, read.RequestedAt, state)
}

// recordState records the state that an engine had at readAt or later and returns the
// actions that follow.
func (o *Orderer) recordState(now time.Time, endpoint string, readAt time.Time, state EngineState) []Action {
	if !o.holdsLease {
		return nil
	}
	if state.Fence > o.fence {
		return []Action{Superseded{Endpoint: endpoint, Fence: state.Fence}}
	}
	engine := o.engine(endpoint)
	if readAt.Before(engine.stateReadAt) {
		return nil // A newer state is known already.
	}
	engine.state, engine.stateReadAt = state, readAt
	return o.Tick(now)
}

// OnStateReadFailed handles a failed read of an engine's state.
func (o *Orderer) OnStateReadFailed(endpoint, reason string) {
	if o.holdsLease {
		o.engine(endpoint).lastFailure = "state not read: " + reason
	}
}

// OnOrderAccepted handles the state with which an engine answered an order that it obeyed.
func (o *Orderer) OnOrderAccepted(now time.Time, order Order, state EngineState) []Action {
	if !o.holdsLease || order.Fence != o.fence {
		return nil
	}
	engine := o.engine(order.Endpoint)
	engine.lastFailure = ""
	engine.lastOrder.ExpiresAt = now // It was obeyed, so no order is in progress any more.
	return o.recordState(now, order.Endpoint, now, state)
}

// OnOrderRefused handles an order that an engine refused because it knows a higher fencing
// token.
func (o *Orderer) OnOrderRefused(order Order, fence uint64) []Action {
	if !o.holdsLease || order.Fence != o.fence {
		return nil
	}
	o.engine(order.Endpoint).lastFailure = fmt.Sprintf("order refused: the engine knows fencing number %d", fence)
	return []Action{Superseded{Endpoint: order.Endpoint, Fence: fence}}
}

// OnOrderFailed handles an order that failed or whose result is in doubt. A later read of
// the engine's state shows whether it was obeyed.
func (o *Orderer) OnOrderFailed(order Order, reason string) {
	if o.holdsLease && order.Fence == o.fence {
		o.engine(order.Endpoint).lastFailure = "order failed: " + reason
	}
}
