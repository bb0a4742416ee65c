package tracker

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// isSuspect reports whether a member is unreachable and neither this instance nor
// a peer has had an exchange with it within SuspicionTimeout.
func (t *Tracker) isSuspect(now time.Time, r *memberRecord) bool {
	if r.missedExchanges < t.settings.MinMissedExchanges {
		return false
	}
	return now.Sub(r.lastSeen()) >= t.settings.SuspicionTimeout
}

// lastSeen returns the time of the last known exchange of any instance with the
// member.
func (r *memberRecord) lastSeen() time.Time {
	if r.lastReported.After(r.lastExchange) {
		return r.lastReported
	}
	return r.lastExchange
}

// isExpired reports whether a member is to be removed: it is not listed, and it
// is suspect or was neither listed nor seen within RemovalTimeout.
func (t *Tracker) isExpired(now time.Time, r *memberRecord) bool {
	if r.listed {
		return false
	}
	lastKnownAt := r.listedAt
	if r.lastSeen().After(lastKnownAt) {
		lastKnownAt = r.lastSeen()
	}
	return now.Sub(lastKnownAt) >= t.settings.RemovalTimeout || r.suspect
}

// refreshMember updates or removes the member of the given name according to its
// record and reports whether the members changed.
func (t *Tracker) refreshMember(now time.Time, name string) bool {
	record, found := t.records[name]
	if !found {
		return false
	}
	record.suspect = t.isSuspect(now, record)
	if t.isExpired(now, record) {
		delete(t.records, name)
		return t.removeMember(name)
	}
	return t.setMember(t.createMember(record))
}

// findMember returns the index of a member, or the index at which to insert it.
func (t *Tracker) findMember(name string) (int, bool) {
	return slices.BinarySearchFunc(t.members, name, func(member Member, name string) int { return strings.Compare(member.Name, name) })
}

// removeMember removes a member and reports whether it was there.
func (t *Tracker) removeMember(name string) bool {
	at, found := t.findMember(name)
	if found {
		t.members = slices.Delete(t.members, at, at+1)
	}
	return found
}

// setMember adds or replaces a member and reports whether the members changed.
func (t *Tracker) setMember(member Member) bool {
	at, found := t.findMember(member.Name)
	switch {
	case !found:
		t.members = slices.Insert(t.members, at, member)
	case t.members[at] == member:
		return false
	default:
		t.members[at] = member
	}
	return true
}

// refreshSelf updates this instance, which is always a member.
func (t *Tracker) refreshSelf() {
	self := Member{Instance: t.self, State: Live, Reachable: true}
	if t.leaving || t.self.Leaving {
		self.State = Leaving
	}
	t.updateVersion(t.setMember(self))
}

// createMember returns the member that a record describes.
func (t *Tracker) createMember(r *memberRecord) Member {
	member := Member{
		Instance: r.instance, Incarnation: r.incarnation, State: Live,
		Reachable: r.missedExchanges < t.settings.MinMissedExchanges,
	}
	switch {
	case r.suspect:
		member.State = Suspect
	case r.announcedLeaving || r.instance.Leaving:
		member.State = Leaving
	}
	return member
}

func compareAgeThenName(a, b time.Duration, nameA, nameB string) int {
	return cmp.Or(cmp.Compare(a, b), strings.Compare(nameA, nameB))
}
