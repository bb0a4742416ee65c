package emulator

import (
	"sync"
	"time"
)

// weightStoreRetryInterval is how long an engine waits before it tries a busy
// weight store again.
const weightStoreRetryInterval = 50 * time.Millisecond

// roleDraining is the role in which an engine refuses new requests. With any other
// role it accepts them.
const roleDraining = "draining"

// WeightStore emulates a store of model weights that serves a limited number of
// model loads at once. Several engines share one. It is safe for concurrent use.
type WeightStore struct {
	mu        sync.Mutex
	freeSlots int
}

// NewWeightStore returns a weight store that serves maxParallelLoads model loads at
// once.
func NewWeightStore(maxParallelLoads int) *WeightStore {
	return &WeightStore{freeSlots: maxParallelLoads}
}

// tryAcquire takes a slot for a model load, if one is free. A nil store always has one.
func (w *WeightStore) tryAcquire() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.freeSlots == 0 {
		return false
	}
	w.freeSlots--

	return true
}

func (w *WeightStore) release() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.freeSlots++
}

// assignment is what an engine is to run: a model, and its role.
type assignment struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// hasSameWeights reports whether two assignments differ at most in their role, so
// that no load is needed to change from one to the other.
func (a assignment) hasSameWeights(other assignment) bool {
	a.Role = other.Role

	return a == other
}

// order is the body of a request that tells an engine what to run. Fence is the
// fencing token of the holder of the lease under which the order was given.
type order struct {
	assignment
	Fence      uint64    `json:"fence"`
	Holder     string    `json:"holder"`
	ValidUntil time.Time `json:"until"`
}

// orderStatus is an engine's report of what it runs and of the progress of a model
// load, from 0 to 1.
type orderStatus struct {
	assignment
	Fence        uint64  `json:"fence"`
	Holder       string  `json:"holder"`
	IsLoading    bool    `json:"loading"`
	LoadProgress float64 `json:"progress"`
}

// assignmentState holds what an engine runs, what it was ordered to run, and the
// state of the model load between them.
type assignmentState struct {
	highestFence  uint64
	holder        string
	initial       assignment // What the engine runs after a restart.
	current       assignment
	target        assignment
	isLoading     bool // A load of the target's weights is running or pending.
	hasLoadSlot   bool // The engine holds a slot of the weight store.
	loadStartedAt time.Time
}

func newAssignmentState(model string) assignmentState {
	initial := assignment{Model: model}

	return assignmentState{initial: initial, current: initial, target: initial}
}

// revertToInitial drops every order after a restart. The highest fencing token
// stays, because an engine stores it with its settings.
func (a *assignmentState) revertToInitial() {
	a.current, a.target = a.initial, a.initial
	a.isLoading = false
}

// isDraining reports whether new requests are refused because of a model load or
// the engine's role.
func (a *assignmentState) isDraining() bool {
	return a.isLoading || a.current.Role == roleDraining
}

// applyOrder applies an order and reports whether it was accepted. A change of
// role takes effect at once, a change of weights after a model load.
func (e *Emulator) applyOrder(received order, now time.Time) bool {
	if e.settings.ChecksFencingToken && (received.Fence < e.assignmentState.highestFence || received.isExpired(now)) {
		return false
	}

	e.audit.AcceptedOrders++
	e.assignmentState.highestFence = max(e.assignmentState.highestFence, received.Fence)
	e.assignmentState.holder = received.Holder
	e.assignmentState.current.Role = received.Role
	if !received.hasSameWeights(e.assignmentState.target) {
		e.endModelLoad()
		e.assignmentState.isLoading = !received.hasSameWeights(e.assignmentState.current)
	}
	e.assignmentState.target = received.assignment
	e.wakeLoop()

	return true
}

func (o order) isExpired(now time.Time) bool {
	return !o.ValidUntil.IsZero() && now.After(o.ValidUntil)
}

// endModelLoad ends a finished or abandoned model load and releases its slot of
// the weight store.
func (e *Emulator) endModelLoad() {
	if e.assignmentState.hasLoadSlot {
		e.settings.WeightStore.release()
	}
	e.assignmentState.hasLoadSlot = false
	e.assignmentState.isLoading = false
}

// advanceModelLoad starts or finishes a pending model load once no stream is
// running or waiting, and returns after what time to call it again.
func (e *Emulator) advanceModelLoad(now time.Time) time.Duration {
	if !e.assignmentState.isLoading || len(e.waitQueue.streams) > 0 {
		return idleInterval
	}
	if !e.assignmentState.hasLoadSlot {
		if !e.settings.WeightStore.tryAcquire() {
			return weightStoreRetryInterval
		}
		e.assignmentState.hasLoadSlot = true
		e.assignmentState.loadStartedAt = now
	}
	if remaining := e.modelLoadTime() - now.Sub(e.assignmentState.loadStartedAt); remaining > 0 {
		return remaining
	}

	e.endModelLoad()
	e.assignmentState.current = e.assignmentState.target
	e.prefixCache.clear()

	return idleInterval
}

func (e *Emulator) modelLoadTime() time.Duration {
	return time.Duration(float64(e.settings.ModelLoadTime) / e.settings.SpeedFactor)
}

// orderStatus returns what the engine runs and the progress of a model load.
func (e *Emulator) orderStatus(now time.Time) orderStatus {
	status := orderStatus{
		assignment: e.assignmentState.current, Fence: e.assignmentState.highestFence, Holder: e.assignmentState.holder,
		IsLoading: e.assignmentState.isLoading,
	}
	if e.assignmentState.hasLoadSlot {
		status.LoadProgress = min(1, now.Sub(e.assignmentState.loadStartedAt).Seconds()/e.modelLoadTime().Seconds())
	}
	if !e.assignmentState.isLoading {
		status.LoadProgress = 1
	}

	return status
}
