package gossiper

import (
	"slices"
	"strings"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/spreader"
)

// selectPeers returns the peers to contact in this round, those with the oldest
// last attempt first, and marks them as contacted. It skips peers with an exchange
// in progress, and removes those that have been silent for removalTimeout.
func (g *Gossiper) selectPeers(now time.Time) []*peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roundCount++
	var due []*peer
	for address, p := range g.peers {
		silence := now.Sub(p.lastMessageAt)
		if silence > removalTimeout && now.Sub(p.addedAt) > removalTimeout && !slices.Contains(g.settings.Seeds, address) {
			delete(g.peers, address)
			delete(g.byHash, hashAddress(address))

			continue
		}
		if p.exchanging || (silence > livenessTimeout && now.Sub(p.lastAttemptAt) < silentRetryInterval) {
			continue
		}
		due = append(due, p)
	}
	slices.SortFunc(due, func(a, b *peer) int {
		if order := a.lastAttemptAt.Compare(b.lastAttemptAt); order != 0 {
			return order
		}

		return strings.Compare(a.address, b.address)
	})
	fleet := g.fleet(now)
	if fleet.IsDivided() || g.roundCount > startupRounds {
		due = appendMissing(g.selectInRound(fleet, due, g.parent(fleet, now)), g.unheard(due))
	}
	for _, p := range due {
		p.exchanging, p.lastAttemptAt = true, now
		p.carriesLoads = fleet.CarriesLoads(g.isLocal(p), now.Sub(g.summaryAt[p.dataCentre]))
		p.sharesEngines = fleet.SharesEngines(g.isLocal(p))
		if p.carriesLoads && !p.sharesEngines {
			g.summaryAt[p.dataCentre] = now // Asked for; it is asked for again when it would be too old.
		}
	}

	return due
}

// selectInRound returns the peers of those that are due that are contacted in this round.
func (g *Gossiper) selectInRound(fleet spreader.Fleet, due []*peer, parent *peer) []*peer {
	selected := spreader.SelectPeers(fleet, g.settings.Fanout, moveToFront(due, parent), g.isLocal)
	if !fleet.IsLocalRound(g.roundCount) {
		return selected
	}

	return slices.DeleteFunc(selected, func(p *peer) bool { return !g.isLocal(p) && p != parent })
}

// unheard returns the peers to contact in a round after the start beside those that are selected
// in every round: those that this instance has not contacted and that have not contacted it.
func (g *Gossiper) unheard(due []*peer) []*peer {
	if g.roundCount > startupRounds {
		return nil
	}
	var unheard []*peer
	for _, p := range due {
		if p.name == "" && p.lastAttemptAt.IsZero() && len(unheard) < maxStartupContacts {
			unheard = append(unheard, p)
		}
	}

	return unheard
}

// appendMissing appends those of more that peers does not contain.
func appendMissing(peers, more []*peer) []*peer {
	for _, p := range more {
		if !slices.Contains(peers, p) {
			peers = append(peers, p)
		}
	}

	return peers
}

// moveToFront returns the peers with one of them first, if it is among them.
func moveToFront(peers []*peer, first *peer) []*peer {
	if i := slices.Index(peers, first); i > 0 {
		return slices.Concat([]*peer{first}, peers[:i], peers[i+1:])
	}

	return peers
}

// parent returns the peer of a divided fleet that this instance contacts in each round: its
// parent in the tree of its data centre or, for the first one there, the first instance of the
// fleet. It returns nil if there is none. The caller holds the lock.
func (g *Gossiper) parent(fleet spreader.Fleet, now time.Time) *peer {
	if !fleet.IsDivided() {
		return nil
	}
	var locals []*peer // before this instance by name
	var first *peer
	for _, p := range g.peers {
		if p.name == "" || p.leaving || p.name >= g.settings.Name || now.Sub(p.lastMessageAt) >= g.rankTimeout(fleet, p) {
			continue
		}
		if g.isLocal(p) {
			locals = append(locals, p)
		}
		if first == nil || p.name < first.name {
			first = p
		}
	}
	index, ok := spreader.Parent(len(locals))
	if !ok {
		return first
	}
	slices.SortFunc(locals, func(a, b *peer) int { return strings.Compare(a.name, b.name) })

	return locals[index]
}

// fleet returns the numbers of peers that sent a message within livenessTimeout, or that
// were added within it and have not sent one yet. The caller holds the lock.
func (g *Gossiper) fleet(now time.Time) spreader.Fleet {
	var fleet spreader.Fleet
	for _, p := range g.peers {
		if now.Sub(p.lastMessageAt) >= livenessTimeout && (p.name != "" || now.Sub(p.addedAt) >= livenessTimeout) {
			continue
		}
		fleet.Peers++
		if g.isLocal(p) {
			fleet.LocalPeers++
		}
	}

	return fleet
}

// UpdateAddresses returns the addresses of the live peers that get load updates at once.
func (g *Gossiper) UpdateAddresses() []string {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	fleet := g.fleet(now)
	var addresses []string
	for address, p := range g.peers {
		if now.Sub(p.lastMessageAt) < livenessTimeout && fleet.SharesEngines(g.isLocal(p)) {
			addresses = append(addresses, address)
		}
	}

	return addresses
}

// Addresses returns the addresses of the peers that live, as far as is known.
func (g *Gossiper) Addresses() []string {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	live := make([]string, 0, len(g.peers))
	for address, p := range g.peers {
		if now.Sub(p.lastMessageAt) < livenessTimeout {
			live = append(live, address)
		}
	}

	return live
}

// isMissingMembers reports whether a peer that knows some number of live instances is told the
// addresses of those that this instance knows. In a large fleet the numbers differ a little at any
// time.
func isMissingMembers(known, live int) bool {
	return known+known/missingMemberDivisor < live
}
