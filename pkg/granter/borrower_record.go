package granter

import "time"

const (
	// maxOutstandingGrants is the maximum number of grants that a home remembers for one
	// borrower of an endpoint. Beyond it, the two oldest are merged.
	maxOutstandingGrants = 8
)

// outstandingGrant is a grant that its borrower may still use: it has neither
// expired nor been replaced by a newer grant that the borrower acknowledged.
type outstandingGrant struct {
	credit    Credit
	expiresAt time.Time
	epoch     uint64 // 0 for credit known only from a borrower's report
}

// borrowerRecord is the state that a home keeps of one borrower of one endpoint.
type borrowerRecord struct {
	borrower            string
	assigned            bool               // the endpoint is in the borrower's subset by the placement
	hasNoNearerEndpoint bool               // no endpoint of the group is nearer to it
	hasLeft             bool               // the borrower reported that it left
	hasReported         bool               // the borrower reported all its credit since this home took over
	lastRequestedAt     time.Time          // time of its newest credit request, by its own clock
	inUse               Credit             // capacity in use by its requests in flight
	liveUntil           time.Time          // after this, inUse and waiting no longer count
	waiting             [TierCount]Credit  // demand of its waiting requests, by tier
	acknowledgedEpoch   uint64             // epoch of the newest grant that it acknowledged
	outstandingGrants   []outstandingGrant // oldest first
}

// recordRequest updates the record from a credit request. It returns false, and
// changes nothing, if the request is older than the last one recorded.
func (r *borrowerRecord) recordRequest(now time.Time, request CreditRequest, settings Settings) bool {
	if request.RequestedAt.Before(r.lastRequestedAt) {
		return false
	}
	r.dropExpiredGrants(now)
	r.lastRequestedAt = request.RequestedAt
	r.hasLeft = false
	r.inUse = request.InUse
	r.liveUntil = now.Add(settings.CreditTTL + settings.GracePeriod)
	r.waiting = request.Waiting
	if r.acknowledge(request.GrantEpoch) {
		// The borrower acknowledged a grant of this home, which replaced any
		// grant of another home. All credit that it holds is therefore known here,
		// and this doesn't depend on any clock.
		r.hasReported = true
	} else if request.UnexpiredCredit != (Credit{}) {
		r.addGrant(outstandingGrant{credit: request.UnexpiredCredit, expiresAt: now.Add(settings.CreditTTL)})
	}
	return true
}

// acknowledge drops the outstanding grants older than the one that the borrower
// acknowledged by its epoch. It returns false if this home didn't issue that
// grant or no longer remembers it.
func (r *borrowerRecord) acknowledge(epoch uint64) bool {
	if epoch == r.acknowledgedEpoch {
		return epoch != 0
	}
	for i, grant := range r.outstandingGrants {
		if grant.epoch == epoch && epoch != 0 {
			r.outstandingGrants = append(r.outstandingGrants[:0], r.outstandingGrants[i:]...)
			r.acknowledgedEpoch = epoch
			return true
		}
	}
	return false
}

// addGrant remembers a grant. Above maxOutstandingGrants, the two oldest grants
// are merged into one with the larger credit and the later expiry of the two.
func (r *borrowerRecord) addGrant(grant outstandingGrant) {
	if len(r.outstandingGrants) == maxOutstandingGrants {
		oldest, second := r.outstandingGrants[0], r.outstandingGrants[1]
		second.credit = second.credit.componentMax(oldest.credit)
		if oldest.expiresAt.After(second.expiresAt) {
			second.expiresAt = oldest.expiresAt
		}
		r.outstandingGrants = append(r.outstandingGrants[:0], r.outstandingGrants[1:]...)
		r.outstandingGrants[0] = second
	}
	r.outstandingGrants = append(r.outstandingGrants, grant)
}

func (r *borrowerRecord) dropExpiredGrants(now time.Time) {
	kept := r.outstandingGrants[:0]
	for _, grant := range r.outstandingGrants {
		if now.Before(grant.expiresAt) {
			kept = append(kept, grant)
		}
	}
	r.outstandingGrants = kept
}

// isLive reports whether the borrower sent a credit request recently and hasn't left.
func (r *borrowerRecord) isLive(now time.Time) bool { return !r.hasLeft && now.Before(r.liveUntil) }

// committedCapacity returns the largest capacity that the borrower may use now or
// start to use without a new grant.
func (r *borrowerRecord) committedCapacity(now time.Time, reservedShare Credit) Credit {
	r.dropExpiredGrants(now)
	var committed Credit
	if r.assigned && !r.hasLeft {
		committed = reservedShare
	}
	if r.isLive(now) {
		committed = committed.componentMax(r.inUse)
	}
	for _, grant := range r.outstandingGrants {
		committed = committed.componentMax(grant.credit)
	}
	return committed
}
