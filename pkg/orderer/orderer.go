package orderer

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// Defaults for the zero values of Settings.
const (
	DefaultLeaseDuration      = 15 * time.Second
	DefaultMaxOrderTTL        = 10 * time.Second
	DefaultActivePollInterval = 2 * time.Second
	DefaultIdlePollInterval   = time.Minute
	DefaultMaxLoadsPerSecond  = 1.0 / 60
	DefaultMaxLoadBurst       = 2
)

// MaxOrderAttempts is the number of orders sent to an endpoint for one change after
// which a failure counts as a stall and further orders wait for IdlePollInterval.
const MaxOrderAttempts = 3

// Settings configures an Orderer. Zero values stand for the defaults.
type Settings struct {
	// LeaseDuration is the duration of the lease after each write.
	LeaseDuration time.Duration
	// MaxOrderTTL is the longest time between the sending of an order and its expiry.
	MaxOrderTTL time.Duration
	// ActivePollInterval is the time between reads of an engine that is being changed,
	// IdlePollInterval that of an engine in its desired state. IdlePollInterval is also
	// the delay before an engine that failed MaxOrderAttempts orders gets another one.
	ActivePollInterval, IdlePollInterval time.Duration
	// MaxLoadsPerSecond is the rate of loads that the weight store allows, MaxLoadBurst
	// the number of loads that may start at once.
	MaxLoadsPerSecond, MaxLoadBurst float64
}

// WithDefaults returns the settings with zero values replaced by the defaults.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.LeaseDuration, DefaultLeaseDuration)
	setDefault(&s.MaxOrderTTL, DefaultMaxOrderTTL)
	setDefault(&s.ActivePollInterval, DefaultActivePollInterval)
	setDefault(&s.IdlePollInterval, DefaultIdlePollInterval)
	setDefault(&s.MaxLoadsPerSecond, DefaultMaxLoadsPerSecond)
	setDefault(&s.MaxLoadBurst, DefaultMaxLoadBurst)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Orderer is the state machine that plans the orders of one instance while it holds the
// lease.
type Orderer struct {
	settings       Settings
	holdsLease     bool
	fence          uint64
	leaseExpiresAt time.Time
	// previousOrdersExpireAt is when the orders of previous holders have expired, which
	// matters for endpoints that do not check fencing tokens.
	previousOrdersExpireAt time.Time

	resources         declarer.Set
	changesByEndpoint map[string][]string // Names of the changes of each endpoint, in order.
	engines           map[string]*engine
	doneChanges       map[string]bool
	reportedProgress  map[string]Progress
	budget            loadBudget
}

// engine is what this holder knows of one endpoint and has ordered from it.
type engine struct {
	state       EngineState
	stateReadAt time.Time // Zero until the state is read under this lease.
	nextReadAt  time.Time
	// currentChange is the name of the change in progress on the endpoint.
	currentChange   string
	changeStartedAt time.Time
	// lastOrder is the latest order. It counts as in progress until its expiry.
	lastOrder     Order
	orderAttempts int    // Orders sent since the desired state last changed or was met.
	lastFailure   string // Why the last read or order failed.
}

// New returns an Orderer of an instance that does not hold the lease.
func New(settings Settings) *Orderer {
	settings = settings.WithDefaults()
	return &Orderer{
		settings:    settings,
		doneChanges: make(map[string]bool),
		budget:      loadBudget{loadsPerSecond: settings.MaxLoadsPerSecond, maxLoads: settings.MaxLoadBurst},
	}
}

// OnLeaseAcquired handles the acquisition of the lease under a new fencing token. It
// discards the state of an earlier term and restores the load budget from the lease's
// payload.
func (o *Orderer) OnLeaseAcquired(now time.Time, fence uint64, payload json.RawMessage) {
	o.holdsLease, o.fence, o.leaseExpiresAt = true, fence, time.Time{}
	o.previousOrdersExpireAt = now.Add(o.settings.LeaseDuration + o.settings.MaxOrderTTL)
	o.engines = make(map[string]*engine)
	o.reportedProgress = make(map[string]Progress)
	o.doneChanges = make(map[string]bool)
	o.budget.restore(now, payload)
}

// OnLeaseRenewed handles a renewal of the lease, which now expires at the given
// time. It must also be called once after OnLeaseAcquired, because nothing is planned
// before the expiry is known.
func (o *Orderer) OnLeaseRenewed(expiresAt time.Time) { o.leaseExpiresAt = expiresAt }

// OnLeaseLost handles the loss of the lease. No actions are planned until it is
// acquired again.
func (o *Orderer) OnLeaseLost() { o.holdsLease = false }

// Configure sets the resources in force and the names of the changes that are done
// according to their status. Those are not started again.
func (o *Orderer) Configure(resources declarer.Set, done []string) {
	o.resources = resources
	for _, name := range done {
		o.doneChanges[name] = true
	}
	maps.DeleteFunc(o.doneChanges, func(name string, _ bool) bool {
		_, found := resources.Changes[name]
		return !found
	})
	o.changesByEndpoint = listChangesByEndpoint(resources)
}

// Payload returns the load budget as the payload to store in the lease object.
func (o *Orderer) Payload() json.RawMessage { return o.budget.payload() }

// OnPayloadSaved handles the storing of a payload in the lease object.
func (o *Orderer) OnPayloadSaved(payload json.RawMessage) { o.budget.recordSaved(payload) }

// listChangesByEndpoint returns the names of each endpoint's changes, sorted so that a
// change follows those that must be done before it.
func listChangesByEndpoint(resources declarer.Set) map[string][]string {
	changesByEndpoint := make(map[string][]string)
	for _, change := range resources.ChangeList() {
		for _, endpoint := range change.Endpoints {
			changesByEndpoint[endpoint] = append(changesByEndpoint[endpoint], change.Name)
		}
	}
	for _, names := range changesByEndpoint {
		slices.SortStableFunc(names, func(a, b string) int { return predecessorCount(resources, a) - predecessorCount(resources, b) })
	}
	return changesByEndpoint
}

// predecessorCount returns the number of changes that must be done before a change. The
// count is bounded in case the AfterChange fields form a cycle.
func predecessorCount(resources declarer.Set, name string) int {
	count := 0
	for count <= len(resources.Changes) && resources.Changes[name].AfterChange != "" {
		name = resources.Changes[name].AfterChange
		count++
	}
	return count
}

// engine returns what is known of an endpoint, creating an empty record at first use.
func (o *Orderer) engine(name string) *engine {
	existing, found := o.engines[name]
	if !found {
		existing = &engine{}
		o.engines[name] = existing
	}
	return existing
}

// Tick returns the reads, orders and reports that are due. The caller calls it at least
// once per ActivePollInterval and checks the lease again before it sends an order.
func (o *Orderer) Tick(now time.Time) []Action {
	if !o.holdsLease || !now.Before(o.leaseExpiresAt) {
		return nil
	}
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(o.changesByEndpoint)) {
		actions = append(actions, o.readIfDue(now, name)...)
	}
	for _, change := range o.resources.ChangeList() {
		actions = append(actions, o.advanceChange(now, change)...)
	}
	for _, name := range slices.Sorted(maps.Keys(o.changesByEndpoint)) {
		actions = append(actions, o.orderIfNeeded(now, name)...)
	}
	return actions
}

// readIfDue returns a read of the engine's state if the poll interval has passed.
func (o *Orderer) readIfDue(now time.Time, name string) []Action {
	engine := o.engine(name)
	if now.Before(engine.nextReadAt) {
		return nil
	}
	engine.nextReadAt = now.Add(o.settings.ActivePollInterval)
	return []Action{ReadState{Endpoint: name, Address: o.resources.Endpoints[name].Address, RequestedAt: now}}
}
