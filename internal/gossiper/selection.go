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
	if g.roundCount > startupRounds {
		due = spreader.SelectPeers(fleet, g.settings.Fanout, due, g.isLocal)
	}
	for _, p := range due {
		p.exchanging, p.lastAttemptAt = true, now
		p.sendLoads = fleet.CarriesLoads(g.isLocal(p), p.exchangeCount)
		p.exchangeCount++
	}

	return due
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

// Addresses returns the addresses of the peers that sent a message within
// livenessTimeout.
func (g *Gossiper) Addresses() []string {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var live []string
	for address, p := range g.peers {
		if now.Sub(p.lastMessageAt) < livenessTimeout {
			live = append(live, address)
		}
	}

	return live
}
