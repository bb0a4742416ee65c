package granter

import (
	"cmp"
	"slices"
	"time"
)

func compareNames(x, y string) int { return cmp.Compare(x, y) }

// Borrower counts one instance's use of endpoints against the credits that it
// holds.
type Borrower struct {
	settings        Settings
	self            string                       // name of this instance
	dataCentres     map[string]string            // data centre of each member
	endpoints       map[string]*borrowedEndpoint // by endpoint name
	sortedEndpoints []*borrowedEndpoint          // all endpoints, sorted by name
	subset          []string                     // endpoints that this instance uses, sorted
	homes           []string                     // homes of its endpoints, sorted
	exchanges       map[string]*homeExchange     // by home
	inFlight        map[uint64]*inFlightRequest  // by request ID
}

// borrowedEndpoint is an endpoint with the credit that this instance holds for it
// and its use by this instance.
type borrowedEndpoint struct {
	Endpoint
	home                 string
	homeSince            time.Time // when the endpoint was added or its home last changed
	inSubset             bool      // false if it is kept only until its requests end
	reservedShare        Credit    // usable without credit, from interimShareUntil on
	interimReservedShare Credit    // usable without credit before interimShareUntil
	interimShareUntil    time.Time // when credits lent before the last change have expired
	credit               Credit
	creditExpiresAt      time.Time
	grantEpoch           uint64    // of the last grant applied; 0 after a change of home
	grantRequestedAt     time.Time // when the last grant applied was requested
	inUse                Credit
	waiting              [TierCount]Credit // demand of requests that wait here, by tier
}

// homeExchange is the state of the exchange of credit requests and grants with one
// home.
type homeExchange struct {
	lastRequestedAt time.Time
	urgentInterval  time.Duration // current interval while credit is lacking
}

// inFlightRequest is a request that uses one slot and some tokens of an endpoint.
type inFlightRequest struct {
	endpoint *borrowedEndpoint
	tokens   int
}

// NewBorrower returns a Borrower without endpoints for the instance named self.
func NewBorrower(settings Settings, self string) *Borrower {
	return &Borrower{
		settings:  settings.withDefaults(),
		self:      self,
		endpoints: map[string]*borrowedEndpoint{},
		exchanges: map[string]*homeExchange{},
		inFlight:  map[uint64]*inFlightRequest{},
	}
}

// SetDataCentres sets the data centre of each member, by which subsets are chosen. It
// takes effect at the next call of Configure.
func (b *Borrower) SetDataCentres(dataCentres map[string]string) { b.dataCentres = dataCentres }

// Configure replaces the endpoints and the live members, which include this
// instance, and chooses the subset. An endpoint that is no longer in the subset
// is kept until its requests in flight end.
func (b *Borrower) Configure(now time.Time, endpoints []Endpoint, members []string) {
	p := newPlacement(b.settings.SubsetSize, endpoints, members, b.dataCentres)
	borrowers := p.borrowersByEndpoint()
	for _, borrowed := range b.sortedEndpoints {
		borrowed.inSubset = false
	}
	for _, e := range p.endpointsOf(b.self) {
		borrowed := b.endpoints[e.Name]
		if borrowed == nil {
			borrowed = &borrowedEndpoint{homeSince: now}
			b.endpoints[e.Name] = borrowed
		}
		borrowed.Endpoint = e
		borrowed.inSubset = true
		borrowed.setReservedShare(now, b.settings.reservedShare(e, len(borrowers[e.Name])), b.settings.CreditTTL)
	}
	b.sortedEndpoints = b.sortedEndpoints[:0]
	for name, borrowed := range b.endpoints {
		if !borrowed.inSubset && borrowed.inUse.Slots == 0 {
			delete(b.endpoints, name)
			continue
		}
		borrowed.setHome(now, HomeOf(name, members))
		b.sortedEndpoints = append(b.sortedEndpoints, borrowed)
	}
	slices.SortFunc(b.sortedEndpoints, func(x, y *borrowedEndpoint) int { return compareNames(x.Name, y.Name) })
	b.rebuildSubsetAndHomes()
}

// setReservedShare changes the reserved share. A larger share takes effect only
// after creditTTL: until then the home may have lent the difference to others.
func (e *borrowedEndpoint) setReservedShare(now time.Time, reservedShare Credit, creditTTL time.Duration) {
	if reservedShare == e.reservedShare {
		return
	}
	previous := e.reservedShare
	if now.Before(e.interimShareUntil) {
		previous = previous.componentMin(e.interimReservedShare)
	}
	e.reservedShare, e.interimReservedShare, e.interimShareUntil = reservedShare, previous.componentMin(reservedShare), now.Add(creditTTL)
}

// setHome changes the endpoint's home. Credit from the previous home stays valid
// until it expires or the new home's first grant replaces it.
func (e *borrowedEndpoint) setHome(now time.Time, home string) {
	if e.home == home {
		return
	}
	e.home = home
	e.homeSince = now
	e.grantEpoch = 0
}

// rebuildSubsetAndHomes updates the sorted lists of the subset and of the homes,
// and drops the exchanges with instances that are no longer homes.
func (b *Borrower) rebuildSubsetAndHomes() {
	b.subset = b.subset[:0]
	b.homes = b.homes[:0]
	for _, e := range b.sortedEndpoints {
		if e.inSubset {
			b.subset = append(b.subset, e.Name)
		}
		if e.home != "" {
			b.homes = append(b.homes, e.home)
		}
	}
	slices.Sort(b.homes)
	b.homes = slices.Compact(b.homes)
	for home := range b.exchanges {
		if _, found := slices.BinarySearch(b.homes, home); !found {
			delete(b.exchanges, home)
		}
	}
}

// Subset returns the names of the endpoints that this instance uses, sorted.
func (b *Borrower) Subset() []string { return slices.Clone(b.subset) }

// SetDemand sets the demand of the requests that wait at this instance and could run
// on the endpoint, by tier.
func (b *Borrower) SetDemand(endpoint string, waiting [TierCount]Credit) {
	if e := b.endpoints[endpoint]; e != nil {
		e.waiting = waiting
	}
}

// limit returns the capacity that may be in use: the credit until it expires, and
// then the reserved share.
func (e *borrowedEndpoint) limit(now time.Time) Credit {
	if now.Before(e.creditExpiresAt) {
		return e.credit
	}
	if now.Before(e.interimShareUntil) {
		return e.interimReservedShare
	}
	return e.reservedShare
}

// HasCapacity reports whether the credit for the endpoint, or the reserved share once the
// credit has expired, has this many slots and tokens free.
func (b *Borrower) HasCapacity(now time.Time, endpoint string, slots, tokens int) bool {
	e := b.endpoints[endpoint]
	return e != nil && e.fits(now, slots, tokens)
}

// fits reports whether the limit allows this many slots and tokens in addition to what
// is in use. It is false for an endpoint outside the subset.
func (e *borrowedEndpoint) fits(now time.Time, slots, tokens int) bool {
	limit := e.limit(now)
	if !e.inSubset || e.inUse.Slots+slots > limit.Slots {
		return false
	}
	return e.Tokens == 0 || e.inUse.Tokens+tokens <= limit.Tokens
}

// Acquire counts the request id, with one slot and the given tokens, against the
// endpoint's credit or reserved share. It returns false and changes nothing if that
// doesn't suffice or a request with this id is in flight.
func (b *Borrower) Acquire(now time.Time, id uint64, endpoint string, tokens int) bool {
	e := b.endpoints[endpoint]
	if e == nil || b.inFlight[id] != nil || !e.fits(now, 1, tokens) {
		return false
	}
	e.inUse = e.inUse.plus(Credit{Slots: 1, Tokens: tokens})
	b.inFlight[id] = &inFlightRequest{endpoint: e, tokens: tokens}
	return true
}

// IncreaseTokens raises the tokens that the request id uses, for an answer that is longer
// than estimated. This may exceed the credit: no request is stopped, and new ones
// have less capacity until this one ends.
func (b *Borrower) IncreaseTokens(_ time.Time, id uint64, tokens int) {
	r := b.inFlight[id]
	if r == nil || tokens <= r.tokens {
		return
	}
	r.endpoint.inUse.Tokens += tokens - r.tokens
	r.tokens = tokens
}

// Release frees the capacity that the request id uses.
func (b *Borrower) Release(_ time.Time, id uint64) {
	r := b.inFlight[id]
	if r == nil {
		return
	}
	delete(b.inFlight, id)
	r.endpoint.inUse = r.endpoint.inUse.minus(Credit{Slots: 1, Tokens: r.tokens})
}
