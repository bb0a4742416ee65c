package granter

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.steps", "150")
	_ = flag.Set("rapid.checks", "300")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// message is an ask or a grant under way.
type message struct {
	from, to string
	wants    []CreditRequest
	grants   []Grant
}

// cluster is a set of instances over a network that loses, delays, repeats and
// reorders messages.
type cluster struct {
	now       time.Time
	endpoints []Endpoint
	members   []string
	homes     map[string]*Home
	borrowers map[string]*Borrower
	lists     map[string][]string
	network   []message
	next      uint64
	requests  map[uint64]string
	changed   time.Time                      // last change of any list, or restart
	opened    map[string]map[*Home]time.Time // by endpoint, when a member last was its home
	lifetime  time.Duration
	stable    bool // no list ever changed
	silent    bool // some borrower was not heard for longer than the grace
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		now: start, changed: start, homes: map[string]*Home{}, borrowers: map[string]*Borrower{},
		lists: map[string][]string{}, requests: map[uint64]string{}, opened: map[string]map[*Home]time.Time{},
		lifetime: defaultLifetime,
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "members") {
		c.members = append(c.members, fmt.Sprintf("m%d", i))
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "endpoints") {
		e := Endpoint{Name: fmt.Sprintf("e%d", i), Slots: rapid.IntRange(1, 20).Draw(t, "slots")}
		e.Tokens = e.Slots * 100
		c.endpoints = append(c.endpoints, e)
		c.opened[e.Name] = map[*Home]time.Time{}
	}
	for _, member := range c.members {
		c.homes[member] = NewHome(Settings{})
		c.borrowers[member] = NewBorrower(Settings{}, member)
		c.configure(member, c.members)
	}
	c.stable = true
	return c
}

func (c *cluster) configure(member string, list []string) {
	c.lists[member] = list
	c.changed, c.stable = c.now, false
	c.homes[member].Configure(c.now, c.endpoints, list, member)
	c.borrowers[member].Configure(c.now, c.endpoints, list)
}

func (c *cluster) member(t *rapid.T) string {
	return rapid.SampledFrom(c.members).Draw(t, "member")
}

func (c *cluster) ask(t *rapid.T) {
	member := c.member(t)
	for _, home := range c.borrowers[member].Homes() {
		c.network = append(c.network, message{from: member, to: home, wants: c.borrowers[member].CreateCreditRequests(c.now, home)})
	}
}

// exchange asks and answers without delay.
func (c *cluster) exchange(t *rapid.T) {
	late := c.network
	c.network = nil
	c.ask(t)
	c.settle(t)
	c.network = late
}

// deliver hands over any message under way, and sometimes keeps it for later.
func (c *cluster) deliver(t *rapid.T) {
	if len(c.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.network)-1).Draw(t, "message")
	m := c.network[i]
	fate := rapid.IntRange(0, 9).Draw(t, "fate")
	if fate > 0 {
		c.network = slices.Delete(c.network, i, i+1)
	}
	if fate == 1 {
		return
	}
	if m.wants == nil {
		c.borrowers[m.to].ReceiveGrants(c.now, m.from, m.grants)
		return
	}
	grants := c.homes[m.to].AnswerCreditRequests(c.now, m.from, m.wants)
	c.network = append(c.network, message{from: m.to, to: m.from, grants: grants})
}

func (c *cluster) settle(*rapid.T) {
	for len(c.network) > 0 {
		m := c.network[0]
		c.network = c.network[1:]
		if m.wants == nil {
			c.borrowers[m.to].ReceiveGrants(c.now, m.from, m.grants)
			continue
		}
		grants := c.homes[m.to].AnswerCreditRequests(c.now, m.from, m.wants)
		c.network = append(c.network, message{from: m.to, to: m.from, grants: grants})
	}
}

func (c *cluster) take(t *rapid.T) {
	member := c.member(t)
	e := rapid.SampledFrom(c.endpoints).Draw(t, "endpoint").Name
	tokens := rapid.IntRange(1, 150).Draw(t, "tokens")
	c.next++
	room := c.borrowers[member].HasCapacity(c.now, e, 1, tokens)
	assert.Equal(t, c.borrowers[member].Acquire(c.now, c.next, e, tokens), room)
	if room {
		c.requests[c.next] = member
	}
}

func (c *cluster) release(t *rapid.T) {
	if c.next == 0 {
		return
	}
	id := rapid.Uint64Range(1, c.next).Draw(t, "request")
	if member, found := c.requests[id]; found {
		c.borrowers[member].Release(c.now, id)
		delete(c.requests, id)
	}
}

func (c *cluster) demand(t *rapid.T) {
	var waiting [Tiers]Credit
	slots := rapid.IntRange(0, 9).Draw(t, "waiting")
	waiting[rapid.IntRange(0, Tiers-1).Draw(t, "tier")] = Credit{Slots: slots, Tokens: slots * 100}
	c.borrowers[c.member(t)].SetDemand(rapid.SampledFrom(c.endpoints).Draw(t, "endpoint").Name, waiting)
}

func (c *cluster) wait(t *rapid.T) {
	longest := rapid.SampledFrom([]int{100, 900, 2500}).Draw(t, "longest")
	c.now = c.now.Add(time.Duration(rapid.IntRange(1, longest).Draw(t, "wait")) * time.Millisecond)
}

func (c *cluster) check(t *rapid.T) {
	for _, member := range c.members {
		if len(c.lists[member]) < len(c.members) {
			c.changed = c.now
		}
	}
	for _, e := range c.endpoints {
		var lent, held Credit
		for _, member := range c.members {
			b := c.borrowers[member]
			if l := b.lines[e.Name]; l != nil {
				lent, held = lent.plus(l.limit(c.now)), held.plus(l.held)
			}
			if _, home := c.homes[member].ledgers[e.Name]; home {
				c.opened[e.Name][c.homes[member]] = c.now
			}
		}
		bound := c.bound(e)
		assert.Assert(t, lent.Slots <= bound.Slots && lent.Tokens <= bound.Tokens,
			"%s: lent %v of %v at %v", e.Name, lent, bound, c.now.Sub(start))
		if c.stable && !c.silent {
			assert.Assert(t, held.Slots <= e.Slots, "%s: %d in use of %d", e.Name, held.Slots, e.Slots)
		}
	}
}

// bound is what the credits may add up to: the capacity, when the lists have
// been the same for a lifetime; else the capacity for each home of the last
// lifetime, a restarted one counted twice, and the floors.
func (c *cluster) bound(e Endpoint) Credit {
	if c.now.Sub(c.changed) >= c.lifetime || c.stable {
		return Credit{Slots: e.Slots, Tokens: e.Tokens}
	}
	homes := 0
	for _, last := range c.opened[e.Name] {
		if c.now.Sub(last) < c.lifetime {
			homes++
		}
	}
	floors := len(c.members) * max(1, e.Slots/8)
	return Credit{Slots: homes*e.Slots + floors, Tokens: homes*e.Tokens + floors*100}
}

// quiet notes borrowers that a home forgot though they have work in flight.
func (c *cluster) quiet(*rapid.T) {
	for _, h := range c.homes {
		for _, l := range h.ledgers {
			for _, a := range l.accounts {
				c.silent = c.silent || !a.live(c.now)
			}
		}
	}
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"ask": c.ask, "asks": c.ask, "deliver": c.deliver, "delivers": c.deliver, "exchange": c.exchange, "exchanges": c.exchange,
		"take": c.take, "takes": c.take, "waits": c.wait, "release": c.release, "demand": c.demand, "wait": c.wait,
		"": func(t *rapid.T) { c.quiet(t); c.check(t) },
	}
}

func TestCreditsNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newCluster(t).actions())
	})
}

func TestCrashesAndJoinsNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		actions := c.actions()
		actions["crash"] = func(t *rapid.T) {
			if len(c.members) < 2 {
				return
			}
			gone := c.member(t)
			c.members = slices.DeleteFunc(slices.Clone(c.members), func(member string) bool { return member == gone })
			c.reconfigure(func(id uint64) bool { return c.requests[id] == gone })
		}
		actions["join"] = func(t *rapid.T) {
			if len(c.members) > 5 || rapid.Bool().Draw(t, "wait") {
				return
			}
			c.next++
			name := fmt.Sprintf("n%d", c.next)
			c.members = append(slices.Clone(c.members), name)
			c.homes[name], c.borrowers[name] = NewHome(Settings{}), NewBorrower(Settings{}, name)
			c.reconfigure(func(uint64) bool { return false })
		}
		t.Repeat(actions)
	})
}

// reconfigure gives all members the same list at once.
func (c *cluster) reconfigure(lost func(uint64) bool) {
	c.now = c.now.Add(time.Millisecond)
	maps.DeleteFunc(c.requests, func(id uint64, _ string) bool { return lost(id) })
	c.network = slices.DeleteFunc(c.network, func(m message) bool { return !slices.Contains(c.members, m.to) })
	c.network = slices.DeleteFunc(c.network, func(m message) bool { return !slices.Contains(c.members, m.from) })
	for _, member := range c.members {
		c.configure(member, c.members)
	}
	c.stable, c.silent = true, true
}

func TestTwoHomesStayWithinTheStatedBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		actions := c.actions()
		actions["differ"] = func(t *rapid.T) {
			member := c.member(t)
			c.configure(member, slices.DeleteFunc(slices.Clone(c.members), func(other string) bool {
				return other != member && rapid.Bool().Draw(t, "unseen")
			}))
		}
		actions["agree"] = func(*rapid.T) {
			for _, member := range c.members {
				if len(c.lists[member]) != len(c.members) {
					c.configure(member, c.members)
				}
			}
		}
		actions["restart"] = func(t *rapid.T) {
			member := c.member(t)
			c.homes[member] = NewHome(Settings{})
			c.configure(member, c.lists[member])
		}
		t.Repeat(actions)
	})
}
