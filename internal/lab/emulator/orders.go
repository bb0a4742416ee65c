package emulator

import (
	"sync"
	"time"
)

// weightsRetry is how soon an engine asks a busy weight store again.
const weightsRetry = 50 * time.Millisecond

// Roles that an order gives. An engine with another role serves.
const roleDraining = "draining"

// Weights is a weight store that serves a limited number of loads at once.
// Several engines share one. It is safe for concurrent use.
type Weights struct {
	mu   sync.Mutex
	free int
}

// NewWeights returns a weight store that serves so many loads at once.
func NewWeights(parallel int) *Weights {
	return &Weights{free: parallel}
}

func (w *Weights) take() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.free == 0 {
		return false
	}
	w.free--

	return true
}

func (w *Weights) give() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.free++
}

// setup is what an engine runs.
type setup struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

func (s setup) sameWeights(other setup) bool {
	s.Role = other.Role

	return s == other
}

// order is an order to an engine.
type order struct {
	setup
	Fence  uint64    `json:"fence"`
	Holder string    `json:"holder"`
	Until  time.Time `json:"until"`
}

// orderState is what an engine tells of its orders.
type orderState struct {
	setup
	Fence    uint64  `json:"fence"`
	Holder   string  `json:"holder"`
	Loading  bool    `json:"loading"`
	Progress float64 `json:"progress"`
}

// orders holds what an engine was ordered to run and how far it is with it.
type orders struct {
	fence   uint64
	holder  string
	first   setup // What the engine runs after a restart.
	current setup
	target  setup
	loading bool // The weights differ from the target's.
	holds   bool // The engine holds a place at the weight store.
	since   time.Time
}

func newOrders(model string) orders {
	first := setup{Model: model}

	return orders{first: first, current: first, target: first}
}

// restart forgets every order but the highest fencing number, which an
// engine keeps with its settings.
func (o *orders) restart() {
	o.current, o.target = o.first, o.first
	o.loading = false
}

// draining reports whether new requests are refused.
func (o *orders) draining() bool {
	return o.loading || o.current.Role == roleDraining
}

// order takes an order and reports whether it was accepted.
func (e *Emulator) order(given order, now time.Time) bool {
	if e.settings.ChecksFencingToken && (given.Fence < e.orders.fence || given.expired(now)) {
		return false
	}

	e.audit.Orders++
	e.orders.fence = max(e.orders.fence, given.Fence)
	e.orders.holder = given.Holder
	e.orders.current.Role = given.Role
	if !given.sameWeights(e.orders.target) {
		e.stopLoading()
		e.orders.loading = !given.sameWeights(e.orders.current)
	}
	e.orders.target = given.setup
	e.nudge()

	return true
}

func (o order) expired(now time.Time) bool {
	return !o.Until.IsZero() && now.After(o.Until)
}

// stopLoading gives the place at the weight store back.
func (e *Emulator) stopLoading() {
	if e.orders.holds {
		e.settings.Weights.give()
	}
	e.orders.holds = false
	e.orders.loading = false
}

// advanceOrders goes on with a load once the engine is empty, and returns
// how soon to look again.
func (e *Emulator) advanceOrders(now time.Time) time.Duration {
	if !e.orders.loading || len(e.waiting.streams) > 0 {
		return idleEvery
	}
	if !e.orders.holds {
		if !e.settings.Weights.take() {
			return weightsRetry
		}
		e.orders.holds = true
		e.orders.since = now
	}
	if left := e.loadTime() - now.Sub(e.orders.since); left > 0 {
		return left
	}

	e.stopLoading()
	e.orders.current = e.orders.target
	e.cache.clear()

	return idleEvery
}

func (e *Emulator) loadTime() time.Duration {
	return time.Duration(float64(e.settings.LoadTime) / e.settings.SpeedFactor)
}

// orderState returns what the engine runs and how far a load is.
func (e *Emulator) orderState(now time.Time) orderState {
	told := orderState{
		setup: e.orders.current, Fence: e.orders.fence, Holder: e.orders.holder, Loading: e.orders.loading,
	}
	if e.orders.holds {
		told.Progress = min(1, now.Sub(e.orders.since).Seconds()/e.loadTime().Seconds())
	}
	if !e.orders.loading {
		told.Progress = 1
	}

	return told
}
