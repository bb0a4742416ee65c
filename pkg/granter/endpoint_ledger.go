package granter

import (
	"slices"
	"strings"
	"time"
)

// maxUnassignedBorrowers is the maximum number of borrowers that a home lends an endpoint
// to in addition to those that the placement assigns.
const maxUnassignedBorrowers = 32

// endpointLedger records which borrowers a home has lent one endpoint's capacity to.
type endpointLedger struct {
	endpoint      Endpoint
	capacity      Credit            // that may be lent in total
	reservedShare Credit            // of each assigned borrower
	openedAt      time.Time         // when this instance became the home
	recovering    bool              // credits of an earlier home may be outstanding
	records       []*borrowerRecord // sorted by borrower
}

// assignBorrowers sets the borrowers that the placement assigns to the endpoint, and
// removes the records of idle ones that aren't assigned.
func (l *endpointLedger) assignBorrowers(now time.Time, borrowers []string) {
	for _, record := range l.records {
		record.assigned = false
	}
	for _, borrower := range borrowers {
		if record := l.recordOf(borrower); record != nil {
			record.assigned = true
		}
	}
	l.records = slices.DeleteFunc(l.records, func(record *borrowerRecord) bool { return !record.assigned && record.isIdle(now) })
}

// isIdle reports whether the borrower has no outstanding grant and hasn't sent a
// credit request recently.
func (r *borrowerRecord) isIdle(now time.Time) bool {
	r.dropExpiredGrants(now)
	return !r.isLive(now) && len(r.outstandingGrants) == 0
}

// findRecord returns the index of the borrower's record, or where to insert it.
func findRecord(records []*borrowerRecord, borrower string) (int, bool) {
	return slices.BinarySearchFunc(records, borrower, func(record *borrowerRecord, name string) int {
		return strings.Compare(record.borrower, name)
	})
}

// recordOf returns the borrower's record. It adds one if there is none.
func (l *endpointLedger) recordOf(borrower string) *borrowerRecord {
	i, found := findRecord(l.records, borrower)
	if !found {
		l.records = slices.Insert(l.records, i, &borrowerRecord{borrower: borrower})
	}
	return l.records[i]
}

// admits reports whether the borrower has a record or may get one. It first removes
// the records of idle unassigned borrowers, which count against the limit.
func (l *endpointLedger) admits(now time.Time, borrower string) bool {
	if _, found := findRecord(l.records, borrower); found {
		return true
	}
	l.records = slices.DeleteFunc(l.records, func(record *borrowerRecord) bool { return !record.assigned && record.isIdle(now) })
	unassignedCount := 0
	for _, record := range l.records {
		if !record.assigned {
			unassignedCount++
		}
	}
	return unassignedCount < maxUnassignedBorrowers
}

// hasRecovered reports whether all credit that an earlier home lent is either known
// here or expired. It clears recovering once that is so.
func (l *endpointLedger) hasRecovered(now time.Time, creditTTL time.Duration) bool {
	if !l.recovering {
		return true
	}
	if now.Sub(l.openedAt) < creditTTL {
		for _, record := range l.records {
			if record.assigned && !record.hasLeft && !record.hasReported {
				return false
			}
		}
	}
	l.recovering = false
	return true
}

// freeCapacity returns the capacity that no borrower but the given one can be using.
func (l *endpointLedger) freeCapacity(now time.Time, borrower *borrowerRecord) Credit {
	free := l.capacity
	for _, record := range l.records {
		if record != borrower {
			free = free.minus(record.committedCapacity(now, l.reservedShare))
		}
	}
	return free
}

// targetCredit returns the borrower's share when the live borrowers divide the capacity
// that isn't committed to borrowers that are no longer live, and whether some demand isn't
// met.
func (l *endpointLedger) targetCredit(now time.Time, borrower *borrowerRecord) (target Credit, contended bool) {
	var claims []claim
	index, unavailable := 0, Credit{}
	for _, record := range l.records {
		if !record.isLive(now) {
			unavailable = unavailable.plus(record.committedCapacity(now, l.reservedShare))
			continue
		}
		if record == borrower {
			index = len(claims)
		}
		claims = append(claims, newClaim(record, l.reservedShare))
	}
	divisible := l.capacity.minus(unavailable)
	first := int(now.UnixNano()/int64(tokenTurnInterval)) % max(1, len(claims))
	slots, slotsContended := divideCapacity(divisible.Slots, claims, func(c Credit) int { return c.Slots }, rationProportionally)
	tokens, tokensContended := divideCapacity(divisible.Tokens, claims, func(c Credit) int { return c.Tokens }, rationWholeNeeds(first))
	return Credit{Slots: slots[index], Tokens: tokens[index]}, slotsContended || tokensContended
}
