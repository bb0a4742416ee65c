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
	g.view = g.buildView(now)
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
	fleet := g.viewAt(now).fleet
	if fleet.IsDivided() || g.roundCount > startupRounds {
		due = g.selectInRound(fleet, due, g.parent(fleet, now))
	}
	for _, p := range due {
		p.exchanging, p.lastAttemptAt = true, now
		p.carriesLoads = fleet.CarriesLoads(p.isLocal, now.Sub(g.summaryAt[p.dataCentre]))
		p.sharesEngines = fleet.SharesEngines(p.isLocal)
		if p.carriesLoads && !p.sharesEngines {
			g.summaryAt[p.dataCentre] = now // Asked for; it is asked for again when it would be too old.
		}
	}

	return due
}

// selectInRound returns the peers of those that are due that are contacted in this round. In the
// rounds after the start, these include some that this instance has not contacted and that have
// not contacted it.
func (g *Gossiper) selectInRound(fleet spreader.Fleet, due []*peer, parent *peer) []*peer {
	selected := spreader.SelectPeers(fleet, g.settings.Fanout, moveToFront(due, parent), func(p *peer) bool { return p.isLocal })
	if fleet.IsLocalRound(g.roundCount) {
		selected = slices.DeleteFunc(selected, func(p *peer) bool { return !p.isLocal && p != parent })
	}
	if g.roundCount > maxUnheardRounds {
		return selected
	}
	unheard := 0
	for _, p := range due {
		if p.name == "" && p.lastAttemptAt.IsZero() && unheard < maxStartupContacts {
			unheard++
			if !slices.Contains(selected, p) {
				selected = append(selected, p)
			}
		}
	}

	return selected
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
		if p.isLocal {
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

// missingMembers returns the addresses that a peer is told that knows some number of live
// instances. In a large fleet the numbers differ a little at any time.
func missingMembers(knownCount int, live []string) []string {
	switch {
	case knownCount >= len(live):
		return nil
	case knownCount+knownCount/missingMemberDivisor >= len(live):
		return someOf(live, maxFewMembers)
	default:
		return live
	}
}
