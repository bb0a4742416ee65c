package orderer

import (
	"fmt"
	"time"
)

// target returns the state that the endpoint is to have now: all changes that
// are done or in progress on it.
func (o *Orderer) target(endpoint string) (DesiredState, bool) {
	engine := o.engine(endpoint)
	var last string
	for _, name := range o.chains[endpoint] {
		if o.done[name] || engine.started == name {
			last = name
		}
	}
	if last == "" {
		return DesiredState{}, false
	}
	return o.upTo(endpoint, last), true
}

// command orders an endpoint if it has not the state it is to have.
func (o *Orderer) command(now time.Time, name string) []Action {
	endpoint := o.set.Endpoints[name]
	engine := o.engine(name)
	desired, wanted := o.target(name)
	if !wanted || endpoint.IsLeaving() || !o.readSince(engine, endpoint.ChecksFencingToken) {
		return nil
	}
	if desired.metBy(engine.state) {
		return o.settle(now, engine)
	}
	if now.Before(engine.order.ExpiresAt) || engine.state.Loading {
		return nil // An order is under way, or the engine is busy with one.
	}
	if engine.readAt.Before(engine.order.ExpiresAt) {
		return nil // Read again first: the last order may have been obeyed.
	}
	if engine.tries >= MaximumTries && engine.reason != "" && now.Before(engine.order.ExpiresAt.Add(o.settings.Rest)) {
		return nil
	}
	if desired.loads(engine.state) {
		if taken, save := o.purse.take(now); !taken {
			return saveIf(save)
		}
	}
	return []Action{o.order(now, name, desired)}
}

func saveIf(save bool) []Action {
	if save {
		return []Action{SavePayload{}}
	}
	return nil
}

// settle lets an engine that is as ordered be read less often.
func (o *Orderer) settle(now time.Time, engine *engine) []Action {
	if !engine.state.Loading {
		engine.tries, engine.reason = 0, ""
		if rest := engine.readAt.Add(o.settings.Rest); rest.After(now) {
			engine.due = rest
		}
	}
	return nil
}

// readSince reports whether the engine was read late enough for its state to
// be the outcome of all orders of the last holder.
func (o *Orderer) readSince(engine *engine, fenced bool) bool {
	if engine.readAt.IsZero() {
		return false
	}
	return fenced || !engine.readAt.Before(o.quiet)
}

func (o *Orderer) order(now time.Time, name string, desired DesiredState) Order {
	engine := o.engine(name)
	until := now.Add(o.settings.Longest)
	if o.until.Before(until) {
		until = o.until
	}
	engine.order = Order{
		Endpoint: name, Address: o.set.Endpoints[name].Address,
		Fence: o.fence, ExpiresAt: until, DesiredState: desired.on(engine.state),
	}
	engine.tries++
	engine.due = now.Add(o.settings.Poll)
	return engine.order
}

// OnStateRead takes an engine's state, which it had at the time of the asking or later.
func (o *Orderer) OnStateRead(now time.Time, read ReadState, state EngineState) []Action {
	return o.take(now, read.Endpoint, read.Asked, state)
}

func (o *Orderer) take(now time.Time, endpoint string, at time.Time, state EngineState) []Action {
	if !o.leading {
		return nil
	}
	if state.Fence > o.fence {
		return []Action{Superseded{Endpoint: endpoint, Fence: state.Fence}}
	}
	engine := o.engine(endpoint)
	if at.Before(engine.readAt) {
		return nil // A late answer.
	}
	engine.state, engine.readAt = state, at
	return o.Tick(now)
}

// OnStateReadFailed takes note that an engine could not be read.
func (o *Orderer) OnStateReadFailed(endpoint, reason string) {
	if o.leading {
		o.engine(endpoint).reason = "state not read: " + reason
	}
}

// OnOrderAccepted takes the state with which an engine answered an order.
func (o *Orderer) OnOrderAccepted(now time.Time, order Order, state EngineState) []Action {
	if !o.leading || order.Fence != o.fence {
		return nil
	}
	engine := o.engine(order.Endpoint)
	engine.reason = ""
	engine.order.ExpiresAt = now // It was obeyed: nothing is under way any more.
	return o.take(now, order.Endpoint, now, state)
}

// OnOrderRefused takes note that an engine refused an order for its fencing number.
func (o *Orderer) OnOrderRefused(order Order, fence uint64) []Action {
	if !o.leading || order.Fence != o.fence {
		return nil
	}
	o.engine(order.Endpoint).reason = fmt.Sprintf("order refused: the engine knows fencing number %d", fence)
	return []Action{Superseded{Endpoint: order.Endpoint, Fence: fence}}
}

// OnOrderFailed takes note that an order failed or may have; it is settled by
// reading the state back.
func (o *Orderer) OnOrderFailed(order Order, reason string) {
	if o.leading && order.Fence == o.fence {
		o.engine(order.Endpoint).reason = "order failed: " + reason
	}
}
