package balancer

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// prefixesMost is the prefixes of one request that are taken in.
const prefixesMost = 16

// Balancer chooses endpoints.
type Balancer struct {
	settings Settings
	random   *rand.Rand
	engines  map[string]*engine // removed ones with requests in flight included
	order    []*engine          // configured, by name
	groups   []*group
	pools    map[poolKey]*pool
	requests map[uint64]*request
	table    *table
	suspects []*engine
	ejected  []*engine
	assess   time.Time // next comparison of peers
	picks    uint64
	matched  []*engine
}

// request is one of the instance's own requests in flight.
type request struct {
	engine  *engine
	tokens  int
	fresh   int // prompt tokens not expected in the cache
	prompts int // prompt tokens to be read until its first token
	alone   bool
	made    int
	started time.Time
	last    time.Time
}

// New returns a Balancer without endpoints.
func New(settings Settings, random *rand.Rand) *Balancer {
	settings = settings.withDefaults()
	return &Balancer{
		settings: settings,
		random:   random,
		engines:  map[string]*engine{},
		requests: map[uint64]*request{},
		table:    newTable(settings.CacheEntries),
	}
}

// Configure replaces the set of endpoints and keeps the state of those that
// stay. One that left stays known while requests run there. Give it only the
// endpoints that the room function may grant: a pick looks at few of them.
func (b *Balancer) Configure(now time.Time, endpoints []Endpoint) {
	for _, e := range b.order {
		e.removed = true
	}
	b.order = b.order[:0]
	for _, endpoint := range endpoints {
		e := b.engines[endpoint.Name]
		if e == nil {
			e = newEngine(endpoint.Name)
			b.engines[endpoint.Name] = e
		}
		e.Endpoint = endpoint
		e.slots = float64(endpoint.Slots)
		e.away = endpoint.DataCentre != b.settings.DataCentre
		e.removed = false
		b.order = append(b.order, e)
	}
	slices.SortFunc(b.order, func(x, y *engine) int { return strings.Compare(x.Name, y.Name) })
	b.order = slices.Compact(b.order)
	b.drop()
	b.regroup()
	b.relieve(now)
}

// drop forgets removed endpoints without requests in flight.
func (b *Balancer) drop() {
	gone := func(e *engine) bool { return e.removed }
	b.suspects = slices.DeleteFunc(b.suspects, gone)
	b.ejected = slices.DeleteFunc(b.ejected, gone)
	for name, e := range b.engines {
		if !e.removed {
			continue
		}
		e.departed = false
		e.standing = standing{}
		e.epoch++
		if e.running == 0 {
			delete(b.engines, name)
		}
	}
}

// RecordStart records that request id was sent to the endpoint.
func (b *Balancer) RecordStart(now time.Time, id uint64, endpoint string, ask Request) {
	e := b.engines[endpoint]
	if e == nil || b.requests[id] != nil {
		return
	}
	reused := b.remember(&ask, e)
	r := &request{engine: e, tokens: ask.TotalTokens, fresh: ask.PromptTokens - reused, alone: ask.Isolated, started: now, last: now}
	b.requests[id] = r
	e.pending += r.fresh
	r.prompts = e.pending
	e.changed(now, 1, r.tokens)
	if r.alone {
		e.alone++
	}
	if e.standing.status == Suspect {
		e.standing.probe, e.standing.probing = id, true
	}
}

// remember records that the engine will hold the prompt's prefixes, and
// returns the prompt tokens that it held before. A holder of one prefix was
// recorded with all shorter ones.
func (b *Balancer) remember(ask *Request, e *engine) int {
	prefixes := ask.prefixes()
	longer := -1
	for i := len(prefixes) - 1; i >= 0; i-- {
		guess := 0
		if longer >= 0 {
			guess = b.table.entries[longer].parent
		}
		index, held := b.table.hold(prefixes[i], e, guess)
		if held {
			return ask.covered(i)
		}
		if longer >= 0 {
			b.table.entries[longer].parent = index
		}
		longer = index
	}
	return 0
}

// RecordProgress records how many tokens of request id have come from the endpoint,
// whether or not the caller has read them. Call it at least four times a second
// while tokens come: a silence of all streams counts as slowness.
func (b *Balancer) RecordProgress(now time.Time, id uint64, made int) {
	r := b.requests[id]
	if r == nil || made <= r.made {
		return
	}
	e := r.engine
	if r.made == 0 {
		e.decoding++
		e.pending -= r.fresh
		e.group.firstToken(now.Sub(r.started), r.prompts)
	} else {
		e.meter.add(now, now.Sub(r.last), made-r.made, e.factor(e.load(now)), b.settings.BetweenTokens)
		e.adjust(now, b.settings.BetweenTokens)
	}
	r.made, r.last, e.lastToken = made, now, now
	b.alive(now, e, e.probedBy(id))
	b.tick(now)
}

// RecordEnd records that request id left its endpoint.
func (b *Balancer) RecordEnd(now time.Time, id uint64, result Result) {
	r := b.requests[id]
	if r == nil {
		return
	}
	delete(b.requests, id)
	e := r.engine
	probe := e.probedBy(id)
	e.changed(now, -1, -r.tokens)
	if r.made > 0 {
		e.decoding--
	} else {
		e.pending -= r.fresh
	}
	if r.alone {
		e.alone--
	}
	if e.removed {
		if e.running == 0 && b.engines[e.Name] == e {
			delete(b.engines, e.Name)
		}
		return
	}
	if probe {
		e.standing.probing = false
	}
	b.settle(now, e, result, probe)
}

func (b *Balancer) settle(now time.Time, e *engine, result Result, probe bool) {
	switch result {
	case Finished:
		b.alive(now, e, probe)
	case Refused:
		e.refusedUntil = now.Add(refusedFor)
	case Failed:
		b.failed(now, e, probe)
	case Canceled:
	}
}

func (e *engine) probedBy(id uint64) bool {
	return e.standing.probing && e.standing.probe == id
}

// RecordLoad takes in a load report. One that isn't newer than the last is ignored.
func (b *Balancer) RecordLoad(now time.Time, endpoint string, load LoadReport) {
	if e := b.engines[endpoint]; e != nil && !e.removed {
		e.report(now, load)
	}
}

// Cached takes in cache events of an endpoint: prefixes stored and evicted.
func (b *Balancer) Cached(_ time.Time, endpoint string, stored, evicted []uint64) {
	e := b.engines[endpoint]
	if e == nil || e.removed {
		return
	}
	for _, hash := range stored {
		b.table.hold(hash, e, 0)
	}
	for _, hash := range evicted {
		b.table.remove(hash, e)
	}
}

// Return takes back Leave: the endpoint is known to serve again.
func (b *Balancer) Return(_ time.Time, endpoint string) {
	if e := b.engines[endpoint]; e != nil {
		e.departed = false
	}
}

// SetLeaving stops new requests to an endpoint, until Return or until Configure has
// removed it.
func (b *Balancer) SetLeaving(_ time.Time, endpoint string) {
	if e := b.engines[endpoint]; e != nil {
		e.departed = true
	}
}

// Next returns when an ejected endpoint is due for a probe; zero for none.
func (b *Balancer) Next() time.Time {
	var next time.Time
	for _, e := range b.ejected {
		if next.IsZero() || e.standing.due.Before(next) {
			next = e.standing.due
		}
	}
	return next
}
