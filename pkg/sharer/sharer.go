package sharer

import (
	"math"
	"time"
)

// Sharer decides about requests for engines and keeps the state that it needs for that.
type Sharer struct {
	settings  Settings
	instances int
	lanes     map[laneID]*lane
	returns   returns
	peers     map[peerID]*peerClaims
	lastHeard time.Time // when the last claims were received
	refusals  uint64
}

// New returns a Sharer that knows of no other instance.
func New(settings Settings) *Sharer {
	return &Sharer{
		settings: settings, instances: 1, lanes: map[laneID]*lane{},
		returns: returns{byID: map[returnID]time.Time{}}, peers: map[peerID]*peerClaims{},
	}
}

// SetFleet sets the number of live instances.
func (s *Sharer) SetFleet(instances int) {
	s.instances = max(1, instances)
}

// weight returns a workspace's weight in the fair shares.
func (s *Sharer) weight(workspace string) float64 {
	if weight := s.settings.Weights[workspace]; weight > 0 {
		return weight
	}

	return 1
}

// Want counts a request's work as demand, unless it is a refused request that comes back.
func (s *Sharer) Want(now time.Time, work Work) {
	if work.IsRepeat {
		return
	}
	if _, isKnown := s.returns.dueAt(now, work); isKnown {
		return
	}
	s.lane(work.Service, work.Tier).account(now, work.Workspace).wanted.add(now, float64(work.Tokens))
}

// Admit decides whether a request may be sent to the endpoint that is the best one for it. A request
// that is sent must be recorded by Start. A refused one gets a time to return, at which its work has
// a place in its workspace's share.
func (s *Sharer) Admit(now time.Time, work Work, room Room) Decision {
	l := s.lane(work.Service, work.Tier)
	queue := s.queue(now, work, room)
	decision := Decision{Predicted: room.Prefill + queue}
	queue = time.Duration(float64(queue) * l.errors.correction(now))
	decision.Expected = room.Prefill + queue
	limited := decision.Expected
	if room.Prefill >= work.Target {
		limited = queue // Its prompt alone takes too long, so coming back would not help it.
	}
	decision.queue = queue
	decision.IsReturned = work.IsResumed || s.returns.isDue(now, work, l)
	if work.Target <= 0 {
		decision.Admitted = true

		return decision
	}
	l.observe(now, float64(queue)/float64(work.Target))
	if work.IsRepeat || (room.HasFreeSlot && float64(queue) <= freeFraction*float64(work.Target)) {
		decision.Admitted = true

		return decision
	}
	s.addShare(now, l, work, &decision)
	excess := limited - time.Duration(newLimit*float64(work.Target))
	isTooLate := excess > 0 && (!decision.IsReturned || float64(limited) > returnedLimit*float64(work.Target))
	decision.Reason = s.reasonToRefuse(now, l, work, decision, isTooLate)
	if decision.Reason == "" {
		decision.Admitted = true

		return decision
	}
	l.refusedAt = now
	if decision.Reason != TooEarly {
		l.refused.add(now, float64(work.Tokens))
	}
	l.markShort(now)
	decision.RetryAfter = s.reserve(now, l, work, max(0, excess))

	return decision
}

// reasonToRefuse returns why a request that finds no free place is refused; empty if it is not.
func (s *Sharer) reasonToRefuse(now time.Time, l *lane, work Work, decision Decision, isTooLate bool) Reason {
	isShort := float64(decision.queue) > shortFraction*float64(work.Target)
	_, isEarly := s.returns.dueAt(now, work)
	switch {
	case isTooLate:
		return TooLate
	case s.isHigherTierShort(now, l.id):
		return HigherTier
	case decision.IsReturned:
	case isShort && isEarly:
		return TooEarly
	case isShort && l.account(now, work.Workspace).debtAt(now, s.localRate(now, l, work.Workspace)) > 0:
		return OverShare
	}

	return ""
}

// Start records that an admitted request is sent to an endpoint.
func (s *Sharer) Start(now time.Time, work Work) {
	l := s.lane(work.Service, work.Tier)
	account := l.account(now, work.Workspace)
	account.served.add(now, float64(work.Tokens))
	l.sent.add(now, float64(work.Tokens))
	isReturned := s.returns.isDue(now, work, l)
	isKnown := s.returns.take(work)
	switch {
	case isReturned || isKnown:
		account.promise(now, -float64(work.Tokens))
	default:
		account.chargeSent(now, s.localRate(now, l, work.Workspace), float64(work.Tokens))
	}
}

// Finish records how a request that was recorded by Start went. Work that an endpoint began stays charged, also if
// the caller left.
func (s *Sharer) Finish(now time.Time, work Work, outcome Outcome) {
	l := s.lane(work.Service, work.Tier)
	if outcome.HasNotRun {
		account := l.account(now, work.Workspace)
		account.served.add(now, -float64(work.Tokens))
		account.charge(now, s.localRate(now, l, work.Workspace), -float64(work.Tokens))
	}
	if outcome.UntilFirstToken > 0 {
		l.errors.record(now, outcome.Predicted, outcome.UntilFirstToken, work.Target)
	}
}

// queue returns the time that a request waits for others. Engines run higher tiers first, so of the
// queue at the endpoint the lane counts the part of its own and higher tiers' work.
func (s *Sharer) queue(now time.Time, work Work, room Room) time.Duration {
	ahead, all := 0.0, 0.0
	for id := range s.lanes {
		if id.service == work.Service {
			served := s.totals(now, s.lanes[id]).served
			all += served
			if id.tier <= work.Tier {
				ahead += served
			}
		}
	}
	part := 1.0
	if all > 0 {
		part = ahead / all
	}

	return time.Duration(part * float64(max(0, room.Expected-room.Prefill)))
}

// isHigherTierShort reports whether a higher tier of the service was short lately and much of its demand is not
// served, at all instances or at this one. Requests that come back are no part of the demand, but of what is refused.
func (s *Sharer) isHigherTierShort(now time.Time, id laneID) bool {
	for other, l := range s.lanes {
		if other.service != id.service || other.tier >= id.tier || now.Sub(l.shortAt) > rateTimeConstant {
			continue
		}
		sent, refused := l.sent.get(now), l.refused.get(now)
		if t := s.totals(now, l); t.wanted-t.served > higherShortFraction*t.wanted || refused > higherShortFraction*(sent+refused) {
			return true
		}
	}

	return false
}

// addShare adds what is known of the workspace's share to a decision.
func (s *Sharer) addShare(now time.Time, l *lane, work Work, decision *Decision) {
	t := s.totals(now, l)
	workspace := t.workspaces[work.Workspace]
	decision.Share = s.share(now, l, work.Workspace)
	decision.Wanted, decision.Served, decision.Capacity = workspace.wanted, workspace.served, t.capacity
	decision.Peers, decision.ClaimsAge = s.claimSources(now)
}

// reserve returns the time after which a refused request should come back. The request gets a place
// behind those of its workspace that were told to come back before, unless it cannot wait so long.
func (s *Sharer) reserve(now time.Time, l *lane, work Work, drain time.Duration) time.Duration {
	due, isKnown := s.returns.dueAt(now, work)
	if isKnown && due.After(now) {
		return due.Sub(now)
	}
	account, rate := l.account(now, work.Workspace), s.localRate(now, l, work.Workspace)
	wait := max(drain, minRetryAfter)
	switch {
	case rate <= 0:
		wait = max(wait, returnPeriod)
	case rate < math.MaxFloat64:
		wait = max(wait, time.Duration(max(0, account.debtAt(now, rate))/rate*float64(time.Second)))
	}
	s.refusals++
	due = nextReturn(now.Add(min(wait, maxRetryAfter)), work.ID, s.refusals)
	if due.Sub(now)+work.Target <= work.TimeLeft && s.returns.put(now, work, due) && !isKnown {
		account.charge(now, rate, float64(work.Tokens))
		account.promise(now, float64(work.Tokens))
	}

	return due.Sub(now)
}
