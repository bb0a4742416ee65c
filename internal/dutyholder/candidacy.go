package dutyholder

import (
	"slices"
	"time"
)

// candidacy decides whether this instance tries to hold a duty.
type candidacy struct {
	settings  Settings
	startedAt time.Duration

	isCandidate  bool
	chosenSince  time.Duration // since when this instance is among the first ones; 0 if it is not
	droppedSince time.Duration // since when it is not; 0 if it is
	largest      int           // members at largestAt, or fewer since
	largestAt    time.Duration
	apartSince   time.Duration // since when most members are out of reach; 0 if they are not
}

const (
	// settleTime is the time after its start in which an instance learns of its peers. It does not
	// try to hold a duty within it.
	settleTime = 1500 * time.Millisecond
	// chooseDelay and dropDelay are how long an instance must be among the first ones, or not, until
	// it tries to hold the duty, or no longer does. A peer is out of sight for a second at times.
	chooseDelay = 300 * time.Millisecond
	dropDelay   = 2 * time.Second
	// apartDelay is how long after most members got out of reach at once an instance goes on, and
	// apartMemory for how long it then leaves the duty to those on the other side, if there are any.
	apartDelay  = time.Second
	apartMemory = 5 * time.Second
)

// update returns whether this instance tries to hold the duty, and why not. isHolder is whether it
// holds the duty.
func (c *candidacy) update(now time.Duration, members []string, isHolder bool) (isCandidate bool, reason string) {
	if !slices.Contains(members, c.settings.Instance) {
		c.isCandidate, c.chosenSince = false, 0

		return false, "leaving"
	}
	if now-c.startedAt < settleTime {
		return false, "just started"
	}
	if c.isApart(now, len(members)) {
		c.isCandidate, c.chosenSince = false, 0

		return false, "most instances are out of reach"
	}
	rank := slices.Index(Reserve(c.settings.Duty, members), c.settings.Instance)
	if rank >= 0 && (isHolder || rank < candidateCount) {
		c.droppedSince = 0
		if c.chosenSince == 0 {
			c.chosenSince = now
		}
		c.isCandidate = c.isCandidate || now-c.chosenSince >= chooseDelay

		return c.isCandidate, "not long among the first instances"
	}
	c.chosenSince = 0
	if c.droppedSince == 0 {
		c.droppedSince = now
	}
	c.isCandidate = c.isCandidate && now-c.droppedSince < dropDelay

	return c.isCandidate, "not among the first instances"
}

// isApart reports whether most of the members that were there some seconds ago are out of reach.
// Their counts would not arrive here.
func (c *candidacy) isApart(now time.Duration, members int) bool {
	if members >= c.largest || now-c.largestAt > apartMemory {
		c.largest, c.largestAt = members, now
	}
	if 2*members >= c.largest {
		c.apartSince = 0
		if members*4 >= c.largest*3 {
			c.largestAt = now
		}

		return false
	}
	if c.apartSince == 0 {
		c.apartSince = now
	}

	return now-c.apartSince >= apartDelay
}
