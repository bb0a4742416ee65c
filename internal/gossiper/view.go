package gossiper

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/spreader"
)

// view is what an instance knows of the live peers at a time. It is built once a round and not for
// each message, because that work grows with the fleet. It does not change.
type view struct {
	builtAt time.Time
	fleet   spreader.Fleet
	live    []string // addresses of the peers that sent a message within livenessTimeout
	updated []string // those of them that get load updates at once
	heard   []uint32 // entries for live instances in messages
	// tellers is the number of live peers whose messages say of others that they live.
	tellers int
	// hasAnswering is whether a live peer answers exchanges that come in datagrams.
	hasAnswering bool
}

// viewAt returns the view of this round. The caller holds the lock.
func (g *Gossiper) viewAt(now time.Time) view {
	if now.Sub(g.view.builtAt) >= g.settings.RoundInterval {
		g.view = g.buildView(now)
	}

	return g.view
}

// buildView returns the view at a time. Peers that were added within livenessTimeout and have not
// sent a message yet count in the size of the fleet.
func (g *Gossiper) buildView(now time.Time) view {
	built := view{builtAt: now}
	live := make([]*peer, 0, len(g.peers))
	for _, p := range g.peers {
		isLive := now.Sub(p.lastMessageAt) < livenessTimeout
		if !isLive && (p.name != "" || now.Sub(p.addedAt) >= livenessTimeout) {
			continue
		}
		built.fleet.Peers++
		if p.isLocal {
			built.fleet.LocalPeers++
		}
		if isLive {
			live = append(live, p)
		}
	}
	built.live, built.updated = make([]string, 0, len(live)), make([]string, 0, built.fleet.LocalPeers)
	for _, p := range live {
		if p.tellsHeard {
			built.tellers++
		}
		built.hasAnswering = built.hasAnswering || p.answersAsked
		built.live = append(built.live, p.address)
		if built.fleet.SharesEngines(p.isLocal) {
			built.updated = append(built.updated, p.address)
		}
	}
	built.heard = g.selectHeard(now, built.fleet, live)

	return built
}

// UpdateAddresses returns the addresses of the live peers that get load updates at once.
func (g *Gossiper) UpdateAddresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.viewAt(time.Now()).updated
}

// Addresses returns the addresses of the peers that live, as far as is known.
func (g *Gossiper) Addresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()

	return slices.Clone(g.viewAt(time.Now()).live)
}

// Rank returns the number of live instances that come before this one by name.
func (g *Gossiper) Rank() int {
	return g.dispatcher.Rank()
}

// someOf returns up to count of the addresses, each equally often by chance.
func someOf(addresses []string, count int) []string {
	if len(addresses) <= count {
		return addresses
	}
	first := rand.IntN(len(addresses))
	some := slices.Clone(addresses[first:min(first+count, len(addresses))])

	return append(some, addresses[:count-len(some)]...)
}
