package orderer

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// Defaults of the settings.
const (
	DefaultLease   = 15 * time.Second
	DefaultLongest = 10 * time.Second
	DefaultPoll    = 2 * time.Second
	DefaultRest    = time.Minute
	DefaultRate    = 1.0 / 60
	DefaultBurst   = 2
)

// MaximumTries is the number of orders given for a step before it is stalled.
const MaximumTries = 3

// Settings are the parameters of an Orderer.
type Settings struct {
	// LeaseDuration is the duration of the lease.
	LeaseDuration time.Duration
	// Longest is the longest time between the sending of an order and its end.
	Longest time.Duration
	// Poll is the time between reads of an engine that is being changed, Rest
	// of one that is as ordered.
	Poll, Rest time.Duration
	// Rate is the number of loads a second that the weight store allows, Burst
	// how many may begin at once.
	Rate, Burst float64
}

// WithDefaults returns the settings with zero values replaced.
func (s Settings) WithDefaults() Settings {
	orDefault(&s.LeaseDuration, DefaultLease)
	orDefault(&s.Longest, DefaultLongest)
	orDefault(&s.Poll, DefaultPoll)
	orDefault(&s.Rest, DefaultRest)
	orDefault(&s.Rate, DefaultRate)
	orDefault(&s.Burst, DefaultBurst)
	return s
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Orderer plans the orders of one lease holder.
type Orderer struct {
	settings Settings
	leading  bool
	fence    uint64
	until    time.Time
	// quiet is when orders of the last holder to endpoints that do not check
	// fencing numbers have ended.
	quiet time.Time

	set     declarer.Set
	chains  map[string][]string // Changes of an endpoint, in order.
	engines map[string]*engine
	done    map[string]bool
	told    map[string]Progress
	purse   purse
}

// engine is what is known of an endpoint.
type engine struct {
	state  EngineState
	readAt time.Time // Zero until read under this lease.
	due    time.Time
	// started is the change in progress on the endpoint.
	started string
	began   time.Time
	// order is the last one given, until it ends.
	order  Order
	tries  int
	reason string
}

// New returns an orderer that does not hold the lease.
func New(settings Settings) *Orderer {
	settings = settings.WithDefaults()
	return &Orderer{
		settings: settings,
		done:     make(map[string]bool),
		purse:    purse{rate: settings.Rate, burst: settings.Burst},
	}
}

// OnLeaseAcquired takes note that the lease is held under a new fencing number, with the
// payload of the lease object.
func (o *Orderer) OnLeaseAcquired(now time.Time, fence uint64, payload json.RawMessage) {
	o.leading, o.fence, o.until = true, fence, time.Time{}
	o.quiet = now.Add(o.settings.LeaseDuration + o.settings.Longest)
	o.engines = make(map[string]*engine)
	o.told = make(map[string]Progress)
	o.done = make(map[string]bool)
	o.purse.open(now, payload)
}

// OnLeaseRenewed takes note of the end of the lease.
func (o *Orderer) OnLeaseRenewed(until time.Time) { o.until = until }

// OnLeaseLost takes note that the lease is lost: no more orders.
func (o *Orderer) OnLeaseLost() { o.leading = false }

// Configure takes the resources in force. A change that is marked done by its
// status stays done.
func (o *Orderer) Configure(set declarer.Set, done []string) {
	o.set = set
	for _, name := range done {
		o.done[name] = true
	}
	maps.DeleteFunc(o.done, func(name string, _ bool) bool {
		_, found := set.Changes[name]
		return !found
	})
	o.chains = chainsOf(set)
}

// Payload returns what to keep in the lease object.
func (o *Orderer) Payload() json.RawMessage { return o.purse.payload() }

// OnPayloadSaved takes note that the lease object holds the payload.
func (o *Orderer) OnPayloadSaved(payload json.RawMessage) { o.purse.saved(payload) }

// chainsOf lists the changes of each endpoint, each after those it comes after.
func chainsOf(set declarer.Set) map[string][]string {
	chains := make(map[string][]string)
	for _, change := range set.ChangeList() {
		for _, endpoint := range change.Endpoints {
			chains[endpoint] = append(chains[endpoint], change.Name)
		}
	}
	for _, chain := range chains {
		slices.SortStableFunc(chain, func(a, b string) int { return depth(set, a) - depth(set, b) })
	}
	return chains
}

// depth is the number of changes that a change comes after.
func depth(set declarer.Set, name string) int {
	count := 0
	for count <= len(set.Changes) && set.Changes[name].AfterChange != "" {
		name = set.Changes[name].AfterChange
		count++
	}
	return count
}

func (o *Orderer) engine(name string) *engine {
	known, found := o.engines[name]
	if !found {
		known = &engine{}
		o.engines[name] = known
	}
	return known
}

// Tick plans what is due: reads, orders and reports. The caller passes it at
// least once per Poll and checks the lease again before it sends an order.
func (o *Orderer) Tick(now time.Time) []Action {
	if !o.leading || !now.Before(o.until) {
		return nil
	}
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(o.chains)) {
		actions = append(actions, o.readDue(now, name)...)
	}
	for _, change := range o.set.ChangeList() {
		actions = append(actions, o.advance(now, change)...)
	}
	for _, name := range slices.Sorted(maps.Keys(o.chains)) {
		actions = append(actions, o.command(now, name)...)
	}
	return actions
}

func (o *Orderer) readDue(now time.Time, name string) []Action {
	engine := o.engine(name)
	if now.Before(engine.due) {
		return nil
	}
	engine.due = now.Add(o.settings.Poll)
	return []Action{ReadState{Endpoint: name, Address: o.set.Endpoints[name].Address, Asked: now}}
}
