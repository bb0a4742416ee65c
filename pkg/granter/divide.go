package granter

import "time"

// claim is what one live borrower needs of an endpoint's capacity.
type claim struct {
	reservedShare       Credit
	cumulativeDemand    [TierCount + 1]Credit // [0]: in use; [n+1]: plus what waits in tiers 0 to n
	assigned            bool                  // may get a share of the capacity that nobody needs
	hasNoNearerEndpoint bool                  // goes before those without in sharing that capacity
}

// newClaim returns the claim of a borrower. Only an assigned borrower has a
// reserved share.
func newClaim(record *borrowerRecord, reservedShare Credit) claim {
	c := claim{assigned: record.assigned, hasNoNearerEndpoint: record.hasNoNearerEndpoint}
	if record.assigned {
		c.reservedShare = reservedShare
	}
	c.cumulativeDemand[0] = record.inUse
	for tier, waiting := range record.waiting {
		c.cumulativeDemand[tier+1] = c.cumulativeDemand[tier].plus(waiting)
	}
	return c
}

// divideCapacity divides one dimension of a capacity, slots or tokens, among the
// claims: first the reserved shares, then what is in use, then the waiting demand
// from the highest tier to the lowest. A tier whose demand exceeds what remains is
// rationed. Capacity that nobody needs is spread evenly, as headroom for bursts.
// contended reports whether some demand was not met.
func divideCapacity(capacity int, claims []claim, dimension func(Credit) int, rationNeeds rationFunc) (shares []int, contended bool) {
	shares = make([]int, len(claims))
	needs := make([]int, len(claims))
	for i, c := range claims {
		needs[i] = dimension(c.reservedShare)
	}
	remaining := allocate(capacity, shares, needs, rationNeeds)
	for level := range TierCount + 1 {
		totalNeed := 0
		for i, c := range claims {
			needs[i] = max(0, dimension(c.cumulativeDemand[level])-shares[i])
			totalNeed += needs[i]
		}
		contended = contended || totalNeed > remaining
		remaining = allocate(remaining, shares, needs, rationNeeds)
	}
	spreadEvenly(remaining, shares, claims)
	return shares, contended
}

// rationFunc adds to shares what remains of a capacity, which is less than
// totalNeed, the sum of the needs.
type rationFunc func(remaining, totalNeed int, shares, needs []int)

// tokenTurnInterval is how long one borrower is first in line for scarce tokens.
const tokenTurnInterval = 2 * time.Second

// allocate adds to each share its need in full, or calls rationNeeds if less than
// the sum of the needs remains. It returns what remains afterwards.
func allocate(remaining int, shares, needs []int, rationNeeds rationFunc) int {
	totalNeed := 0
	for _, need := range needs {
		totalNeed += need
	}
	if totalNeed <= remaining {
		for i, need := range needs {
			shares[i] += need
		}
		return remaining - totalNeed
	}
	rationNeeds(remaining, totalNeed, shares, needs)
	return 0
}

// rationProportionally divides what remains in proportion to the needs.
func rationProportionally(remaining, totalNeed int, shares, needs []int) {
	// Rounding the running sum, not each part, yields whole numbers whose sum is
	// exactly what remains.
	allocated, cumulativeNeed := 0, 0
	for i, need := range needs {
		cumulativeNeed += need
		cumulativeShare := remaining * cumulativeNeed / totalNeed
		shares[i] += cumulativeShare - allocated
		allocated = cumulativeShare
	}
}

// rationWholeNeeds meets one need after the other in full, beginning with the claim
// at index first, until nothing remains. Needs aren't met in proportion, since with
// only part of a request's tokens no borrower could start it.
func rationWholeNeeds(first int) rationFunc {
	return func(remaining, _ int, shares, needs []int) {
		for i := range needs {
			index := (first + i) % len(needs)
			allocated := min(remaining, needs[index])
			shares[index] += allocated
			remaining -= allocated
		}
	}
}

// spreadEvenly divides what remains evenly among the assigned borrowers that have no
// nearer endpoint, or among all assigned borrowers if there is none such.
func spreadEvenly(remaining int, shares []int, claims []claim) {
	recipientCount, nearCount := 0, 0
	for _, c := range claims {
		if c.assigned {
			recipientCount++
		}
		if c.assigned && c.hasNoNearerEndpoint {
			nearCount++
		}
	}
	if nearCount > 0 {
		recipientCount = nearCount
	}
	allocated, recipientsSoFar := 0, 0
	for i, c := range claims {
		if !c.assigned || (nearCount > 0 && !c.hasNoNearerEndpoint) {
			continue
		}
		recipientsSoFar++
		cumulativeShare := remaining * recipientsSoFar / recipientCount
		shares[i] += cumulativeShare - allocated
		allocated = cumulativeShare
	}
}
