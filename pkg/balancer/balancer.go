package balancer

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// maxIndexedPrefixes is the maximum number of prefix hashes of a request that are
// indexed; longer prefixes are ignored.
const maxIndexedPrefixes = 16

// Balancer chooses endpoints for requests and tracks their load, speed and failures.
type Balancer struct {
	settings Settings
	random   *rand.Rand
	// endpoints holds the tracked endpoints by name, also removed ones that still have
	// requests in flight.
	endpoints        map[string]*trackedEndpoint
	configured       []*trackedEndpoint // sorted by name, without removed endpoints
	groups           []*group
	pools            map[poolKey]*pool
	inFlight         map[uint64]*inFlightRequest // by request ID
	prefixIndex      *prefixIndex
	suspectEndpoints []*trackedEndpoint
	ejectedEndpoints []*trackedEndpoint
	nextComparison   time.Time          // when endpoint speeds are next compared
	pickCount        uint64             // serial number of the current pick
	matchedHolders   []*trackedEndpoint // endpoints that cache a prefix of the current request
}

// inFlightRequest is a request of this instance that is in flight at an endpoint.
type inFlightRequest struct {
	endpoint       *trackedEndpoint
	totalTokens    int // prompt tokens and estimated answer tokens
	uncachedTokens int // prompt tokens not expected in the endpoint's cache
	// prefillBacklog is the prompt tokens that the endpoint prefills before the first
	// token: those of this request and of earlier ones of this instance.
	prefillBacklog int
	isolated       bool // the endpoint takes no other request from this instance
	receivedTokens int  // answer tokens received so far
	startedAt      time.Time
	lastProgressAt time.Time // when receivedTokens last grew; at first, the start
}

// New returns a Balancer without endpoints; random makes its sampling repeatable.
func New(settings Settings, random *rand.Rand) *Balancer {
	settings = settings.withDefaults()
	return &Balancer{
		settings:    settings,
		random:      random,
		endpoints:   map[string]*trackedEndpoint{},
		inFlight:    map[uint64]*inFlightRequest{},
		prefixIndex: newIndex(settings.MaxPrefixes),
	}
}

// Configure replaces the set of endpoints. Endpoints that remain keep their state, and a
// removed endpoint is tracked until its last request in flight has ended. Pass only
// endpoints for which the capacity function may return true: a pick examines only a few
// endpoints, so others would use up its samples.
func (b *Balancer) Configure(now time.Time, endpoints []Endpoint) {
	for _, e := range b.configured {
		e.removed = true
	}
	b.configured = b.configured[:0]
	for _, endpoint := range endpoints {
		e := b.endpoints[endpoint.Name]
		if e == nil {
			e = newTrackedEndpoint(endpoint.Name)
			b.endpoints[endpoint.Name] = e
		}
		e.Endpoint = endpoint
		e.slots = float64(endpoint.Slots)
		e.crossDataCentre = endpoint.DataCentre != b.settings.DataCentre
		e.removed = false
		b.configured = append(b.configured, e)
	}
	slices.SortFunc(b.configured, func(x, y *trackedEndpoint) int { return strings.Compare(x.Name, y.Name) })
	b.configured = slices.Compact(b.configured)
	b.forgetRemoved()
	b.rebuildGroupsAndPools()
	b.releaseEjectionsOverCap(now)
}

// forgetRemoved resets the state of removed endpoints and deletes those without requests
// in flight.
func (b *Balancer) forgetRemoved() {
	isRemoved := func(e *trackedEndpoint) bool { return e.removed }
	b.suspectEndpoints = slices.DeleteFunc(b.suspectEndpoints, isRemoved)
	b.ejectedEndpoints = slices.DeleteFunc(b.ejectedEndpoints, isRemoved)
	for name, e := range b.endpoints {
		if !e.removed {
			continue
		}
		e.markedLeaving = false
		e.breaker = circuitBreaker{}
		e.cacheEpoch++
		if e.localRequests == 0 {
			delete(b.endpoints, name)
		}
	}
}

// RecordStart records that the request with this ID was sent to the endpoint.
func (b *Balancer) RecordStart(now time.Time, id uint64, endpoint string, request Request) {
	e := b.endpoints[endpoint]
	if e == nil || b.inFlight[id] != nil {
		return
	}
	cachedTokens := b.recordPrefixes(&request, e)
	r := &inFlightRequest{
		endpoint: e, totalTokens: request.TotalTokens, uncachedTokens: request.PromptTokens - cachedTokens,
		isolated: request.Isolated, startedAt: now, lastProgressAt: now,
	}
	b.inFlight[id] = r
	e.pendingPrefillTokens += r.uncachedTokens
	r.prefillBacklog = e.pendingPrefillTokens
	e.addLocalLoad(now, 1, r.totalTokens)
	if r.isolated {
		e.isolatedRequests++
	}
	if e.breaker.status == Suspect {
		e.breaker.probeRequestID, e.breaker.probeInFlight = id, true
	}
}

// recordPrefixes records that the endpoint will cache the prompt's prefixes, and returns
// the number of prompt tokens that it had cached already. It starts with the longest
// prefix and stops at the first one already held: a holder of a prefix was recorded as a
// holder of all shorter ones too.
func (b *Balancer) recordPrefixes(request *Request, e *trackedEndpoint) int {
	prefixes := request.prefixes()
	longerPosition := -1
	for i := len(prefixes) - 1; i >= 0; i-- {
		guessedPosition := 0
		if longerPosition >= 0 {
			guessedPosition = b.prefixIndex.entries[longerPosition].shorterPosition
		}
		position, alreadyHeld := b.prefixIndex.recordHolder(prefixes[i], e, guessedPosition)
		if alreadyHeld {
			return request.prefixTokens(i)
		}
		if longerPosition >= 0 {
			b.prefixIndex.entries[longerPosition].shorterPosition = position
		}
		longerPosition = position
	}
	return 0
}

// RecordProgress records the total number of answer tokens received so far for a request,
// whether or not the caller has read them. Call it at least four times a second while
// tokens arrive: when all streams of an endpoint are silent, the silence counts as
// slowness.
func (b *Balancer) RecordProgress(now time.Time, id uint64, receivedTokens int) {
	r := b.inFlight[id]
	if r == nil || receivedTokens <= r.receivedTokens {
		return
	}
	e := r.endpoint
	if r.receivedTokens == 0 {
		e.decodingRequests++
		e.pendingPrefillTokens -= r.uncachedTokens
		e.group.learnPrefillSpeed(now.Sub(r.startedAt), r.prefillBacklog)
	} else {
		e.meter.add(now, now.Sub(r.lastProgressAt), receivedTokens-r.receivedTokens,
			e.loadSlowdown(e.estimatedRequests(now)), b.settings.TargetTokenInterval)
		e.adjustConcurrencyLimit(now, b.settings.TargetTokenInterval)
	}
	r.receivedTokens, r.lastProgressAt, e.lastTokenAt = receivedTokens, now, now
	b.recordSuccess(now, e, e.isProbedBy(id))
	b.runPeriodicChecks(now)
}

// RecordEnd records that a request has ended at its endpoint, and with which result.
func (b *Balancer) RecordEnd(now time.Time, id uint64, result Result) {
	r := b.inFlight[id]
	if r == nil {
		return
	}
	delete(b.inFlight, id)
	e := r.endpoint
	isProbe := e.isProbedBy(id)
	e.addLocalLoad(now, -1, -r.totalTokens)
	if r.receivedTokens > 0 {
		e.decodingRequests--
	} else {
		e.pendingPrefillTokens -= r.uncachedTokens
	}
	if r.isolated {
		e.isolatedRequests--
	}
	if e.removed {
		if e.localRequests == 0 && b.endpoints[e.Name] == e {
			delete(b.endpoints, e.Name)
		}
		return
	}
	if isProbe {
		e.breaker.probeInFlight = false
	}
	b.recordResult(now, e, result, isProbe)
}

// recordResult updates the endpoint's circuit breaker or its refusal backoff with the
// result of a request. A cancelled request tells nothing about the endpoint.
func (b *Balancer) recordResult(now time.Time, e *trackedEndpoint, result Result, isProbe bool) {
	switch result {
	case Finished:
		b.recordSuccess(now, e, isProbe)
	case Refused:
		e.refusalBackoffUntil = now.Add(refusalBackoff)
	case Failed:
		b.recordFailure(now, e, isProbe)
	case Canceled:
	}
}

// isProbedBy reports whether the request is the endpoint's probe in flight.
func (e *trackedEndpoint) isProbedBy(id uint64) bool {
	return e.breaker.probeInFlight && e.breaker.probeRequestID == id
}

// RecordLoad records a load report of the endpoint. A report that is not newer than the last
// one is ignored.
func (b *Balancer) RecordLoad(now time.Time, endpoint string, report LoadReport) {
	if e := b.endpoints[endpoint]; e != nil && !e.removed {
		e.recordLoad(now, report)
	}
}

// RecordCacheEvents records which prefix hashes an endpoint has stored in its cache and
// which it has evicted.
func (b *Balancer) RecordCacheEvents(_ time.Time, endpoint string, stored, evicted []uint64) {
	e := b.endpoints[endpoint]
	if e == nil || e.removed {
		return
	}
	for _, hash := range stored {
		b.prefixIndex.recordHolder(hash, e, 0)
	}
	for _, hash := range evicted {
		b.prefixIndex.removeHolder(hash, e)
	}
}

// ClearLeaving undoes SetLeaving: the endpoint is in service again.
func (b *Balancer) ClearLeaving(_ time.Time, endpoint string) {
	if e := b.endpoints[endpoint]; e != nil {
		e.markedLeaving = false
	}
}

// SetLeaving stops new requests to an endpoint until ClearLeaving is called or Configure
// removes the endpoint.
func (b *Balancer) SetLeaving(_ time.Time, endpoint string) {
	if e := b.endpoints[endpoint]; e != nil {
		e.markedLeaving = true
	}
}

// NextProbe returns the earliest time at which an ejected endpoint is due for a probe,
// or the zero time when none is ejected.
func (b *Balancer) NextProbe() time.Time {
	var next time.Time
	for _, e := range b.ejectedEndpoints {
		if next.IsZero() || e.breaker.probeDueAt.Before(next) {
			next = e.breaker.probeDueAt
		}
	}
	return next
}
