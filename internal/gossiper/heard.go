package gossiper

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/spreader"
)

const (
	// heardDivisor sets the number of instances that a message says to live: one in so many of
	// those that are known, within the limits. An instance gets about so many messages in a round.
	heardDivisor       = 4
	minHeard, maxHeard = 8, 32
	// heardUnit is the unit of the time since an instance's last message.
	heardUnit = 16 * time.Millisecond
	// leavingBit and ageMask are the parts of an entry below the hash of the address.
	leavingBit = 1 << 8
	ageMask    = leavingBit - 1
)

// hashAddress returns the hash of an address in messages: 23 bits, at the upper end.
func hashAddress(address string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(address))

	return hash.Sum32() &^ (leavingBit | ageMask)
}

// addHash makes a peer known by the hash of its address. Peers with the same hash are not known by
// it: nothing that others say of one may count for another.
func (g *Gossiper) addHash(p *peer) {
	hash := hashAddress(p.address)
	if _, ok := g.byHash[hash]; ok {
		p = nil
	}
	g.byHash[hash] = p
}

// selectHeard returns what messages say of other instances: some by chance, rather those of which
// newer is known. Were it the newest, those that an instance hears in every round would leave no
// room for others. In a small fleet all instances hear each other often, and it is empty. The
// caller holds the lock.
func (g *Gossiper) selectHeard(now time.Time, fleet spreader.Fleet, live []*peer) []uint32 {
	if !fleet.IsDivided() || len(live) == 0 {
		return nil
	}
	heard := make([]uint32, 0, maxHeard)
	for range min(maxHeard, max(minHeard, len(live)/heardDivisor)) {
		p, other := live[rand.IntN(len(live))], live[rand.IntN(len(live))]
		if other.lastMessageAt.After(p.lastMessageAt) {
			p = other
		}
		if p.name != "" {
			heard = append(heard, encodeHeard(p, now.Sub(p.lastMessageAt)+g.settings.RoundInterval))
		}
	}
	slices.Sort(heard)

	return slices.Compact(heard)
}

// encodeHeard returns the entry of a peer whose last message is of the given age.
func encodeHeard(p *peer, age time.Duration) uint32 {
	entry := hashAddress(p.address) | uint32(min((age+heardUnit-1)/heardUnit, ageMask))
	if p.leaving {
		entry |= leavingBit
	}

	return entry
}

// recordHeard records what a peer says of other instances. An age is that at the end of the
// sender's view, so that an instance never seems to live longer than it does.
func (g *Gossiper) recordHeard(now time.Time, heard []uint32) {
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
