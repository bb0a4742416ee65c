package gossiper

import (
	"slices"
	"strings"
	"time"
)

// choose returns the members to tell in this round, those first that were not
// told for the longest time.
func (g *Gossiper) choose(now time.Time) []*member {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds++
	var due []*member
	for address, m := range g.members {
		silent := now.Sub(m.heard)
		if silent > forgetAfter && now.Sub(m.added) > forgetAfter && !slices.Contains(g.settings.Seeds, address) {
			delete(g.members, address)

			continue
		}
		if m.busy || (silent > liveFor && now.Sub(m.tried) < retrySilent) {
			continue
		}
		due = append(due, m)
	}
	slices.SortFunc(due, func(a, b *member) int {
		if order := a.tried.Compare(b.tried); order != 0 {
			return order
		}

		return strings.Compare(a.address, b.address)
	})
	if g.rounds > greetRounds {
		fanout := min(g.settings.FanoutMost, max(g.settings.Fanout, len(g.members)/fanoutShare))
		due = due[:min(len(due), fanout)]
	}
	for _, m := range due {
		m.busy, m.tried = true, now
		m.full = m.told%max(1, len(g.members)/fullMembers) == 0
		m.told++
	}

	return due
}

// Addresses returns those of the instances that were heard lately.
func (g *Gossiper) Addresses() []string {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var known []string
	for address, m := range g.members {
		if now.Sub(m.heard) < liveFor {
			known = append(known, address)
		}
	}

	return known
}
