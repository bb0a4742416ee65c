package gossiper

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// heardDivisor sets the number of instances that a message says to live: one in so many of
	// those that are known, and maxHeard at the most. An instance gets about so many messages in
	// a round.
	heardDivisor = 6
	maxHeard     = 32
	// heardUnit is the unit of the time since an instance's last message.
	heardUnit = 20 * time.Millisecond
	// leavingBit and ageMask are the parts of an entry below the hash of the address.
	leavingBit = 1 << 15
	ageMask    = leavingBit - 1
)

// hashAddress returns the hash of an address in messages: 48 bits, shifted to the upper end.
func hashAddress(address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(address))

	return hash.Sum64() &^ (leavingBit | ageMask)
}

// updateHeard builds what the messages of the next round say of other instances: those of which
// the newest is known. In a small fleet all instances hear each other often, and it is empty.
func (g *Gossiper) updateHeard(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard = nil
	if !g.fleet(now).IsDivided() {
		return
	}
	live := make([]*peer, 0, len(g.peers))
	for _, p := range g.peers {
		if p.name != "" && now.Sub(p.lastMessageAt) < livenessTimeout {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(a, b *peer) int { return b.lastMessageAt.Compare(a.lastMessageAt) })
	for _, p := range live[:min(maxHeard, len(live)/heardDivisor)] {
		g.heard = append(g.heard, encodeHeard(p, now.Sub(p.lastMessageAt)+g.settings.DividedRoundInterval))
	}
}

// encodeHeard returns the entry of a peer whose last message is of the given age.
func encodeHeard(p *peer, age time.Duration) uint64 {
	entry := hashAddress(p.address) | uint64(min(age/heardUnit, ageMask))
	if p.leaving {
		entry |= leavingBit
	}

	return entry
}

// recordHeard records what a peer says of other instances. An age is that at the end of the
// sender's round, so that an instance never seems to live longer than it does.
func (g *Gossiper) recordHeard(now time.Time, heard []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, entry := range heard {
		p := g.byHash[entry&^(leavingBit|ageMask)]
		heardAt := now.Add(-time.Duration(entry&ageMask) * heardUnit)
		if p == nil || p.name == "" || !heardAt.After(p.lastMessageAt) {
			continue
		}
		p.lastMessageAt, p.leaving = heardAt, entry&leavingBit != 0
	}
}
