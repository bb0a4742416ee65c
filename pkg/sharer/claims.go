package sharer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// peerID identifies a sender of claims: an instance, or a data centre by its summaries.
type peerID struct {
	name         string
	isDataCentre bool
}

// peerClaims are the last claims of a peer.
type peerClaims struct {
	receivedAt time.Time
	claims     []Claim
}

// usage is a workspace's or a lane's demand and service, in tokens per second.
type usage struct {
	wanted, served float64
}

// totals are what is known of a lane at all instances.
type totals struct {
	usage
	workspaces map[string]usage
	level      float64 // water level of the fair shares, in tokens per second for a weight of 1
	capacity   float64 // what the lane may use
}

// ReceiveClaims replaces the claims of an instance that shares this one's data centre, or of all that
// do if the fleet is not divided. No claims mean that the peer is not short.
func (s *Sharer) ReceiveClaims(now time.Time, peer string, claims []Claim) {
	s.receive(now, peerID{name: peer}, claims)
}

// ReceiveDataCentreClaims replaces the claims of another data centre, which are the sums of its
// instances'.
func (s *Sharer) ReceiveDataCentreClaims(now time.Time, dataCentre string, claims []Claim) {
	s.receive(now, peerID{name: dataCentre, isDataCentre: true}, claims)
}

func (s *Sharer) receive(now time.Time, id peerID, claims []Claim) {
	if len(claims) == 0 {
		return // Of a message without claims it is not known whether the sender has any.
	}
	s.lastHeard = now
	s.peers[id] = &peerClaims{receivedAt: now, claims: slices.Clone(claims)}
	for _, claim := range claims {
		s.lane(claim.Service, claim.Tier)
	}
}

// Claims returns this instance's claims, largest first, while capacity is short; otherwise none.
func (s *Sharer) Claims(now time.Time) []Claim {
	return s.claims(now, false)
}

// DataCentreClaims returns the sums of the claims of all instances that send theirs to this one, and of its
// own, for summaries to other data centres.
func (s *Sharer) DataCentreClaims(now time.Time) []Claim {
	return s.claims(now, true)
}

func (s *Sharer) claims(now time.Time, includePeers bool) []Claim {
	var claims []Claim
	for _, l := range s.lanes {
		if !s.isServiceShort(now, l.id.service) {
			continue
		}
		for workspace, u := range s.sum(now, l, func(id peerID) bool { return includePeers && !id.isDataCentre }) {
			if u.wanted+u.served >= 1 {
				claims = append(claims, Claim{l.id.service, l.id.tier, workspace, u.wanted, u.served})
			}
		}
	}
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(b.Wanted, a.Wanted), cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Workspace, b.Workspace))
	})

	return combine(claims)
}

// combine adds the smallest claims of each lane up to one, so that there are at most maxClaims and one for each lane.
func combine(claims []Claim) []Claim {
	if len(claims) <= maxClaims {
		return claims
	}
	rest := map[laneID]Claim{}
	listed := slices.Clone(claims[:maxClaims])
	for _, claim := range claims[maxClaims:] {
		id := laneID{claim.Service, claim.Tier}
		rest[id] = Claim{claim.Service, claim.Tier, "", rest[id].Wanted + claim.Wanted, rest[id].Served + claim.Served}
	}

	return append(listed, slices.SortedFunc(maps.Values(rest), func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tier, b.Tier))
	})...)
}

// isServiceShort reports whether a lane of the service was short lately. All lanes of the service
// are claimed then, since they share its engines.
func (s *Sharer) isServiceShort(now time.Time, service string) bool {
	for id, l := range s.lanes {
		if id.service == service && now.Sub(l.shortAt) < shortageMemory {
			return true
		}
	}

	return false
}

// sum returns the usage of a lane by workspace: this instance's, and that of the peers that include accepts.
func (s *Sharer) sum(now time.Time, l *lane, include func(peerID) bool) map[string]usage {
	sums := make(map[string]usage, len(l.accounts))
	for workspace, a := range l.accounts {
		// Sums of whole numbers do not depend on the order of addition, so equal inputs give equal decisions.
		sums[workspace] = usage{math.Round(a.wanted.get(now)), math.Round(a.served.get(now))}
	}
	for id, peer := range s.peers {
		if now.Sub(peer.receivedAt) > claimTTL {
			delete(s.peers, id)

			continue
		}
		if !include(id) {
			continue
		}
		for _, claim := range peer.claims {
			if claim.Service == l.id.service && claim.Tier == l.id.tier {
				u := sums[claim.Workspace]
				sums[claim.Workspace] = usage{u.wanted + math.Round(claim.Wanted), u.served + math.Round(claim.Served)}
			}
		}
	}

	return sums
}

// claimSources returns the number of peers whose claims are in use, and the age of the oldest.
func (s *Sharer) claimSources(now time.Time) (count int, age time.Duration) {
	for _, peer := range s.peers {
		if now.Sub(peer.receivedAt) <= claimTTL {
			count, age = count+1, max(age, now.Sub(peer.receivedAt))
		}
	}

	return count, age
}

// totals returns what is known of a lane at all instances.
func (s *Sharer) totals(now time.Time, l *lane) totals {
	if l.cached.workspaces != nil && now.Sub(l.cachedAt) < sharesInterval {
		return l.cached
	}
	t := totals{workspaces: s.sum(now, l, func(peerID) bool { return true })}
	for _, u := range t.workspaces {
		t.wanted += u.wanted
		t.served += u.served
	}
	l.cached, l.cachedAt = t, now
	t.capacity = s.capacity(now, l, t.served)
	demands, smallest := make([]demand, 0, len(t.workspaces)), math.Inf(1)
	for workspace, u := range t.workspaces {
		if workspace != "" {
			demands = append(demands, demand{u.wanted, s.weight(workspace)})
			smallest = min(smallest, u.wanted)
		}
	}
	if rest := t.workspaces[""].wanted; rest > 0 {
		// Those that claims do not name want no more than the smallest named one, so there are this many at least.
		demands = append(demands, demand{rest, max(1, rest/max(1, smallest))})
	}
	t.level = waterLevel(t.capacity, demands)
	l.cached = t

	return t
}

// capacity returns the rate of work that a lane may use: what the service's engines get now, raised or lowered by the
// state of their queues, less the demand of higher tiers. An instance that no longer hears of others
// uses its equal share of what it last knew.
func (s *Sharer) capacity(now time.Time, l *lane, served float64) float64 {
	all, higher := served, 0.0
	for id, other := range s.lanes {
		if id.service != l.id.service || id == l.id {
			continue
		}
		t := s.totals(now, other)
		all += t.served
		if id.tier < l.id.tier {
			higher += t.wanted
		}
	}
	if count, _ := s.claimSources(now); count == 0 && s.instances > 1 {
		switch {
		case s.lastHeard.IsZero() && now.Sub(l.shortSince) < learningTime:
			return math.Inf(1)
		case !s.lastHeard.IsZero() && now.Sub(s.lastHeard) < isolatedTTL:
			return max(0, l.lastCapacity/float64(s.instances)-higher)
		}
	}
	total := all * l.gain()
	l.lastCapacity = total

	return max(0, total-higher)
}

// share returns a workspace's share of a lane at all instances; infinite if there is enough for all.
func (s *Sharer) share(now time.Time, l *lane, workspace string) float64 {
	return s.totals(now, l).level * s.weight(workspace)
}

// localRate returns the part of a workspace's share that this instance may spend: that which
// corresponds to its part of the workspace's demand.
func (s *Sharer) localRate(now time.Time, l *lane, workspace string) float64 {
	t := s.totals(now, l)
	wanted := t.workspaces[workspace].wanted
	own := l.account(now, workspace).wanted.get(now)
	if math.IsInf(t.level, 1) || wanted <= 0 {
		return t.level * s.weight(workspace)
	}

	return t.level * s.weight(workspace) * min(1, own/wanted)
}
