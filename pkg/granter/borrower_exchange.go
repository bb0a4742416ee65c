package granter

import (
	"slices"
	"time"
)

// Homes returns the homes of the endpoints that this instance uses, sorted.
func (b *Borrower) Homes() []string { return slices.Clone(b.homes) }

// DueHomes returns the homes to send credit requests to now, sorted. A home is due
// after Settings.RequestInterval, and sooner if this instance has no credit at one
// of its endpoints or requests wait for lack of credit.
func (b *Borrower) DueHomes(now time.Time) []string {
	var due []string
	for _, home := range b.homes {
		exchange := b.exchanges[home]
		if exchange == nil || now.Sub(exchange.lastRequestedAt) >= b.requestInterval(now, home, exchange) {
			due = append(due, home)
		}
	}
	return due
}

// requestInterval returns the time to wait between credit requests to a home.
func (b *Borrower) requestInterval(now time.Time, home string, exchange *homeExchange) time.Duration {
	if b.hasStarvedEndpoint(now, home) {
		return exchange.urgentInterval
	}
	return b.settings.RequestInterval
}

// hasStarvedEndpoint reports whether an endpoint of this home lacks credit.
func (b *Borrower) hasStarvedEndpoint(now time.Time, home string) bool {
	return slices.ContainsFunc(b.sortedEndpoints, func(e *borrowedEndpoint) bool { return e.home == home && e.isStarved(now) })
}

// isStarved reports whether the endpoint has no valid credit, or requests wait and
// the free credit is too small for one of mean size.
func (e *borrowedEndpoint) isStarved(now time.Time) bool {
	if e.inSubset && (e.credit.Slots == 0 || !now.Before(e.creditExpiresAt)) {
		return true
	}
	var waiting Credit
	for _, tierDemand := range e.waiting {
		waiting = waiting.plus(tierDemand)
	}
	return waiting.Slots > 0 && !e.fits(now, 1, waiting.Tokens/waiting.Slots)
}

// CreateCreditRequests returns the credit requests to send to a home now, and
// records that they are sent.
func (b *Borrower) CreateCreditRequests(now time.Time, home string) []CreditRequest {
	b.recordExchange(now, home)
	var requests []CreditRequest
	for _, e := range b.sortedEndpoints {
		if e.home != home {
			continue
		}
		request := CreditRequest{Endpoint: e.Name, InUse: e.inUse, Waiting: e.waiting, GrantEpoch: e.grantEpoch, RequestedAt: now}
		if now.Before(e.creditExpiresAt) {
			request.UnexpiredCredit = e.credit
		}
		requests = append(requests, request)
	}
	return requests
}

// recordExchange records that credit requests are sent to the home now. While
// credit is lacking, the urgent interval doubles each time, up to the regular
// interval, so that a home with nothing to lend isn't asked often.
func (b *Borrower) recordExchange(now time.Time, home string) {
	exchange := b.exchanges[home]
	if exchange == nil {
		exchange = &homeExchange{urgentInterval: b.settings.UrgentRequestInterval}
		b.exchanges[home] = exchange
	}
	if b.hasStarvedEndpoint(now, home) {
		exchange.urgentInterval = min(2*exchange.urgentInterval, b.settings.RequestInterval)
	} else {
		exchange.urgentInterval = b.settings.UrgentRequestInterval
	}
	exchange.lastRequestedAt = now
}

// ReceiveGrants applies the grants of a home. A grant's TTL counts from the time of the
// request, so a late or repeated grant doesn't outlast the expiry that its home
// recorded.
func (b *Borrower) ReceiveGrants(now time.Time, home string, grants []Grant) {
	for _, grant := range grants {
		e := b.endpoints[grant.Endpoint]
		if e == nil || e.home != home {
			continue
		}
		e.applyGrant(now, grant)
	}
}

// applyGrant replaces the credit. It ignores grants that have expired, were
// requested before the home last changed, or aren't newer than the last one.
func (e *borrowedEndpoint) applyGrant(now time.Time, grant Grant) {
	expiresAt := grant.RequestedAt.Add(grant.TTL)
	if grant.RequestedAt.Before(e.homeSince) || !now.Before(expiresAt) || !e.isNewerGrant(grant) {
		return
	}
	e.credit, e.creditExpiresAt = grant.Credit, expiresAt
	e.grantEpoch, e.grantRequestedAt = grant.Epoch, grant.RequestedAt
}

// isNewerGrant reports whether the grant is newer than the last one applied. The
// time of the request is compared before the epoch, since a restarted home may
// continue with lower epochs.
func (e *borrowedEndpoint) isNewerGrant(grant Grant) bool {
	if grant.RequestedAt.Equal(e.grantRequestedAt) {
		return grant.Epoch > e.grantEpoch
	}
	return grant.RequestedAt.After(e.grantRequestedAt)
}

// RecordUnreachable records that a home did not answer, so that it is asked again only
// after the request interval, which starts now. Its credits stay valid until they expire;
// after that the reserved shares apply.
func (b *Borrower) RecordUnreachable(now time.Time, home string) {
	if exchange := b.exchanges[home]; exchange != nil {
		exchange.lastRequestedAt = now
	}
}

// EndpointStatus is the credit for an endpoint and its use by this instance, for
// status pages and metrics.
type EndpointStatus struct {
	Endpoint          string
	Home              string
	Limit             Credit // capacity that this instance may use now
	InUse             Credit
	UsesReservedShare bool // the credit has expired and the reserved share applies
}

// EndpointStatuses returns the status of each endpoint that is in use or in the
// subset, sorted by name.
func (b *Borrower) EndpointStatuses(now time.Time) []EndpointStatus {
	statuses := make([]EndpointStatus, 0, len(b.sortedEndpoints))
	for _, e := range b.sortedEndpoints {
		statuses = append(statuses, EndpointStatus{
			Endpoint:          e.Name,
			Home:              e.home,
			Limit:             e.limit(now),
			InUse:             e.inUse,
			UsesReservedShare: !now.Before(e.creditExpiresAt),
		})
	}
	return statuses
}
