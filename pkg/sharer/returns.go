package sharer

import (
	"hash/fnv"
	"time"
)

// returnID identifies a refused request. Requests of different workspaces may have the same ID.
type returnID struct {
	workspace, id string
}

// returns holds when refused requests should come back.
type returns struct {
	byID    map[returnID]time.Time
	sweptAt time.Time
}

// put records when a request should come back. It returns false if there are too many.
func (r *returns) put(now time.Time, work Work, due time.Time) bool {
	if now.Sub(r.sweptAt) > returnMemory {
		r.sweptAt = now
		for id, due := range r.byID {
			if now.Sub(due) > returnMemory {
				delete(r.byID, id)
			}
		}
	}
	if work.ID == "" || len(r.byID) >= maxReturns {
		return false
	}
	r.byID[returnID{work.Workspace, work.ID}] = due

	return true
}

// dueAt returns when a request that this instance refused should come back.
func (r *returns) dueAt(now time.Time, work Work) (time.Time, bool) {
	due, isKnown := r.byID[returnID{work.Workspace, work.ID}]

	return due, isKnown && now.Sub(due) <= returnMemory
}

// take removes a request that is sent, and reports whether its work was charged when it was refused.
func (r *returns) take(work Work) bool {
	id := returnID{work.Workspace, work.ID}
	_, isKnown := r.byID[id]
	delete(r.byID, id)

	return isKnown
}

// isDue reports whether a request has waited its time: this instance told it to come back by now, or it comes
// at the time of its ID while capacity is short. Then another instance may have told it that, since
// all derive that time from the ID alike. This instance
// then honours its own promises to the workspace, and one more, since few are promised at each.
func (r *returns) isDue(now time.Time, work Work, l *lane) bool {
	if due, isKnown := r.dueAt(now, work); isKnown {
		return now.Add(returnGrace).After(due)
	}
	if work.ID == "" || now.Sub(l.refusedAt) > shortageMemory {
		return false
	}
	since := (time.Duration(now.UnixNano()) - phaseOf(work.ID) + returnGrace) % returnPeriod
	account := l.accounts[work.Workspace]

	return since < returnWindow && account != nil && account.promisedNow(now) > -float64(work.Tokens)
}

// nextReturn returns the first time from a given one on that is that of a request's ID. Requests without an
// ID are spread by a number.
func nextReturn(from time.Time, id string, number uint64) time.Time {
	phase := time.Duration(number*0x9e3779b97f4a7c15>>1) % returnPeriod
	if id != "" {
		phase = phaseOf(id)
	}
	wait := (phase - time.Duration(from.UnixNano())) % returnPeriod
	if wait < 0 {
		wait += returnPeriod
	}

	return from.Add(wait)
}

// phaseOf returns the time within each returnPeriod at which a request returns.
func phaseOf(id string) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9 // The finalizer of splitmix64 spreads the bits evenly.

	return time.Duration((x^x>>31)>>1) % returnPeriod
}
