package granter

import "time"

const (
	// issuesMost is the unexpired grants remembered for one borrower.
	issuesMost = 8
)

// issue is a grant that its borrower may still act on.
type issue struct {
	credit  Credit
	expires time.Time
	epoch   uint64
}

// account is what a home knows of one borrower of one endpoint.
type account struct {
	borrower string
	expected bool // by the placement
	near     bool // has none of the group nearer to it
	left     bool // said so itself
	reported bool // has told what it holds since this home took over
	asked    time.Time
	held     Credit
	heldTill time.Time
	waiting  [Tiers]Credit
	acked    uint64
	issues   []issue // oldest first
}

// take records a want. It returns false for one older than the last.
func (a *account) take(now time.Time, want CreditRequest, settings Settings) bool {
	if want.RequestedAt.Before(a.asked) {
		return false
	}
	a.expire(now)
	a.asked = want.RequestedAt
	a.left = false
	a.held = want.InUse
	a.heldTill = now.Add(settings.Lifetime + settings.Grace)
	a.waiting = want.Waiting
	if a.acknowledge(want.GrantEpoch) {
		// The grant of this home took the place of any other home's, so that
		// the borrower has told all that it holds. No clock takes part.
		a.reported = true
	} else if want.UnexpiredCredit != (Credit{}) {
		a.issue(issue{credit: want.UnexpiredCredit, expires: now.Add(settings.Lifetime)})
	}
	return true
}

// acknowledge drops the grants that the borrower has replaced by a newer one.
// It returns false for a grant that isn't of this home.
func (a *account) acknowledge(epoch uint64) bool {
	if epoch == a.acked {
		return epoch != 0
	}
	for i, issue := range a.issues {
		if issue.epoch == epoch && epoch != 0 {
			a.issues = append(a.issues[:0], a.issues[i:]...)
			a.acked = epoch
			return true
		}
	}
	return false
}

// issue remembers a grant. The two oldest share a record when there are many.
func (a *account) issue(latest issue) {
	if len(a.issues) == issuesMost {
		first, second := a.issues[0], a.issues[1]
		second.credit = second.credit.or(first.credit)
		if first.expires.After(second.expires) {
			second.expires = first.expires
		}
		a.issues = append(a.issues[:0], a.issues[1:]...)
		a.issues[0] = second
	}
	a.issues = append(a.issues, latest)
}

func (a *account) expire(now time.Time) {
	kept := a.issues[:0]
	for _, issue := range a.issues {
		if now.Before(issue.expires) {
			kept = append(kept, issue)
		}
	}
	a.issues = kept
}

// live tells whether the borrower was heard of lately.
func (a *account) live(now time.Time) bool { return !a.left && now.Before(a.heldTill) }

// committed is the most that the borrower may be using or take into use.
func (a *account) committed(now time.Time, floor Credit) Credit {
	a.expire(now)
	var most Credit
	if a.expected && !a.left {
		most = floor
	}
	if a.live(now) {
		most = most.or(a.held)
	}
	for _, issue := range a.issues {
		most = most.or(issue.credit)
	}
	return most
}
