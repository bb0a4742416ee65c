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

// message is a set of credit requests or of grants on its way between two instances.
type message struct {
	from, to string
	requests []CreditRequest
	grants   []Grant
}

// cluster is a set of instances that communicate over a network that loses, delays,
// repeats and reorders messages. rapid draws which action happens next.
type cluster struct {
	now               time.Time
	endpoints         []Endpoint
	members           []string
	homes             map[string]*Home
	borrowers         map[string]*Borrower
	memberLists       map[string][]string
	inTransit         []message
	lastID            uint64
	requestOwners     map[uint64]string
	lastChangeAt      time.Time                      // last change of any member list, or restart of a home
	lastHomeAt        map[string]map[*Home]time.Time // by endpoint and home: when it last was the endpoint's home
	creditTTL         time.Duration
	alwaysAgreed      bool // the members never had different lists
	hadSilentBorrower bool // a home stopped counting some borrower as live
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		now: start, lastChangeAt: start, homes: map[string]*Home{}, borrowers: map[string]*Borrower{},
		memberLists: map[string][]string{}, requestOwners: map[uint64]string{}, lastHomeAt: map[string]map[*Home]time.Time{},
		creditTTL: defaultCreditTTL,
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "members") {
		c.members = append(c.members, fmt.Sprintf("m%d", i))
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "endpoints") {
		e := Endpoint{Name: fmt.Sprintf("e%d", i), Slots: rapid.IntRange(1, 20).Draw(t, "slots")}
		e.Tokens = e.Slots * 100
		c.endpoints = append(c.endpoints, e)
		c.lastHomeAt[e.Name] = map[*Home]time.Time{}
	}
	for _, member := range c.members {
		c.homes[member] = NewHome(Settings{})
		c.borrowers[member] = NewBorrower(Settings{}, member)
		c.configure(member, c.members)
	}
	c.alwaysAgreed = true
	return c
}

func (c *cluster) configure(member string, members []string) {
	c.memberLists[member] = members
	c.lastChangeAt, c.alwaysAgreed = c.now, false
	c.homes[member].Configure(c.now, c.endpoints, members, member)
	c.borrowers[member].Configure(c.now, c.endpoints, members)
}

func (c *cluster) randomMember(t *rapid.T) string {
	return rapid.SampledFrom(c.members).Draw(t, "member")
}

// sendRequests sends the credit requests of a random member to all its homes.
func (c *cluster) sendRequests(t *rapid.T) {
	member := c.randomMember(t)
	for _, home := range c.borrowers[member].Homes() {
		c.inTransit = append(c.inTransit, message{from: member, to: home, requests: c.borrowers[member].CreateCreditRequests(c.now, home)})
	}
}

// exchangeNow sends a member's credit requests and delivers the grants without delay.
func (c *cluster) exchangeNow(t *rapid.T) {
	delayed := c.inTransit
	c.inTransit = nil
	c.sendRequests(t)
	c.deliverAll(t)
	c.inTransit = delayed
}

// deliverOne delivers any message in transit. One time in ten it loses the message, and
// one time in ten it leaves a copy in transit, to be delivered again later.
func (c *cluster) deliverOne(t *rapid.T) {
	if len(c.inTransit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.inTransit)-1).Draw(t, "message")
	m := c.inTransit[i]
	outcome := rapid.IntRange(0, 9).Draw(t, "fate")
	if outcome > 0 {
		c.inTransit = slices.Delete(c.inTransit, i, i+1)
	}
	if outcome == 1 {
		return
	}
	if m.requests == nil {
		c.borrowers[m.to].ReceiveGrants(c.now, m.from, m.grants)
		return
	}
	grants := c.homes[m.to].AnswerCreditRequests(c.now, m.from, m.requests)
	c.inTransit = append(c.inTransit, message{from: m.to, to: m.from, grants: grants})
}

// deliverAll delivers all messages in transit, and the answers to them, in order.
func (c *cluster) deliverAll(*rapid.T) {
	for len(c.inTransit) > 0 {
		m := c.inTransit[0]
		c.inTransit = c.inTransit[1:]
		if m.requests == nil {
			c.borrowers[m.to].ReceiveGrants(c.now, m.from, m.grants)
			continue
		}
		grants := c.homes[m.to].AnswerCreditRequests(c.now, m.from, m.requests)
		c.inTransit = append(c.inTransit, message{from: m.to, to: m.from, grants: grants})
	}
}

func (c *cluster) acquire(t *rapid.T) {
	member := c.randomMember(t)
	e := rapid.SampledFrom(c.endpoints).Draw(t, "endpoint").Name
	tokens := rapid.IntRange(1, 150).Draw(t, "tokens")
	c.lastID++
	fits := c.borrowers[member].HasCapacity(c.now, e, 1, tokens)
	assert.Equal(t, c.borrowers[member].Acquire(c.now, c.lastID, e, tokens), fits)
	if fits {
		c.requestOwners[c.lastID] = member
	}
}

func (c *cluster) release(t *rapid.T) {
	if c.lastID == 0 {
		return
	}
	id := rapid.Uint64Range(1, c.lastID).Draw(t, "request")
	if member, found := c.requestOwners[id]; found {
		c.borrowers[member].Release(c.now, id)
		delete(c.requestOwners, id)
	}
}

func (c *cluster) setDemand(t *rapid.T) {
	var waiting [TierCount]Credit
	slots := rapid.IntRange(0, 9).Draw(t, "waiting")
	waiting[rapid.IntRange(0, TierCount-1).Draw(t, "tier")] = Credit{Slots: slots, Tokens: slots * 100}
	c.borrowers[c.randomMember(t)].SetDemand(rapid.SampledFrom(c.endpoints).Draw(t, "endpoint").Name, waiting)
}

func (c *cluster) advanceClock(t *rapid.T) {
	maxWait := rapid.SampledFrom([]int{100, 900, 2500}).Draw(t, "longest")
	c.now = c.now.Add(time.Duration(rapid.IntRange(1, maxWait).Draw(t, "wait")) * time.Millisecond)
}

// checkCapacity checks that the limits of all borrowers of an endpoint add up to no more
// than maxCredit, and that the requests in flight fit into its slots.
func (c *cluster) checkCapacity(t *rapid.T) {
	for _, member := range c.members {
		if len(c.memberLists[member]) < len(c.members) {
			c.lastChangeAt = c.now
		}
	}
	for _, e := range c.endpoints {
		var lent, inUse Credit
		for _, member := range c.members {
			b := c.borrowers[member]
			if borrowed := b.endpoints[e.Name]; borrowed != nil {
				lent, inUse = lent.plus(borrowed.limit(c.now)), inUse.plus(borrowed.inUse)
			}
			if _, isHome := c.homes[member].ledgers[e.Name]; isHome {
				c.lastHomeAt[e.Name][c.homes[member]] = c.now
			}
		}
		limit := c.maxCredit(e)
		assert.Assert(t, lent.Slots <= limit.Slots && lent.Tokens <= limit.Tokens,
			"%s: lent %v of %v at %v", e.Name, lent, limit, c.now.Sub(start))
		if c.alwaysAgreed && !c.hadSilentBorrower {
			assert.Assert(t, inUse.Slots <= e.Slots, "%s: %d in use of %d", e.Name, inUse.Slots, e.Slots)
		}
	}
}

// maxCredit returns what the limits of an endpoint's borrowers may add up to. This is the
// capacity if the member lists have been equal for one credit TTL. Otherwise it is the
// capacity for each home that the endpoint had within one TTL, a restarted home counted
// twice, plus the reserved shares.
func (c *cluster) maxCredit(e Endpoint) Credit {
	if c.now.Sub(c.lastChangeAt) >= c.creditTTL || c.alwaysAgreed {
		return Credit{Slots: e.Slots, Tokens: e.Tokens}
	}
	homeCount := 0
	for _, lastAt := range c.lastHomeAt[e.Name] {
		if c.now.Sub(lastAt) < c.creditTTL {
			homeCount++
		}
	}
	reservedSlots := len(c.members) * max(1, e.Slots/8)
	return Credit{Slots: homeCount*e.Slots + reservedSlots, Tokens: homeCount*e.Tokens + reservedSlots*100}
}

// recordSilentBorrowers records whether a home no longer counts some borrower as live,
// though it may have requests in flight.
func (c *cluster) recordSilentBorrowers(*rapid.T) {
	for _, h := range c.homes {
		for _, ledger := range h.ledgers {
			for _, record := range ledger.records {
				c.hadSilentBorrower = c.hadSilentBorrower || !record.isLive(c.now)
			}
		}
	}
}

// actions returns the actions that rapid draws from. An action with two names is drawn
// twice as often; the one with an empty name runs after every action.
func (c *cluster) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"ask": c.sendRequests, "asks": c.sendRequests, "deliver": c.deliverOne, "delivers": c.deliverOne, "exchange": c.exchangeNow, "exchanges": c.exchangeNow,
		"take": c.acquire, "takes": c.acquire, "waits": c.advanceClock, "release": c.release, "demand": c.setDemand, "wait": c.advanceClock,
		"": func(t *rapid.T) { c.recordSilentBorrowers(t); c.checkCapacity(t) },
	}
}

func TestCreditsNeverExceedCapacityWithUnreliableMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newCluster(t).actions())
	})
}

func TestCreditsNeverExceedCapacityAcrossCrashesAndJoins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		actions := c.actions()
		actions["crash"] = func(t *rapid.T) {
			if len(c.members) < 2 {
				return
			}
			crashed := c.randomMember(t)
			c.members = slices.DeleteFunc(slices.Clone(c.members), func(member string) bool { return member == crashed })
			c.reconfigureAll(func(id uint64) bool { return c.requestOwners[id] == crashed })
		}
		actions["join"] = func(t *rapid.T) {
			if len(c.members) > 5 || rapid.Bool().Draw(t, "wait") {
				return
			}
			c.lastID++
			name := fmt.Sprintf("n%d", c.lastID)
			c.members = append(slices.Clone(c.members), name)
			c.homes[name], c.borrowers[name] = NewHome(Settings{}), NewBorrower(Settings{}, name)
			c.reconfigureAll(func(uint64) bool { return false })
		}
		t.Repeat(actions)
	})
}

// reconfigureAll gives all members the same member list at once, and drops the requests
// for which isLost is true and the messages of members that are gone.
func (c *cluster) reconfigureAll(isLost func(uint64) bool) {
	c.now = c.now.Add(time.Millisecond)
	maps.DeleteFunc(c.requestOwners, func(id uint64, _ string) bool { return isLost(id) })
	c.inTransit = slices.DeleteFunc(c.inTransit, func(m message) bool { return !slices.Contains(c.members, m.to) })
	c.inTransit = slices.DeleteFunc(c.inTransit, func(m message) bool { return !slices.Contains(c.members, m.from) })
	for _, member := range c.members {
		c.configure(member, c.members)
	}
	c.alwaysAgreed, c.hadSilentBorrower = true, true
}

func TestCreditsOfTwoHomesStayWithinStatedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		actions := c.actions()
		actions["differ"] = func(t *rapid.T) {
			member := c.randomMember(t)
			c.configure(member, slices.DeleteFunc(slices.Clone(c.members), func(other string) bool {
				return other != member && rapid.Bool().Draw(t, "unseen")
			}))
		}
		actions["agree"] = func(*rapid.T) {
			for _, member := range c.members {
				if len(c.memberLists[member]) != len(c.members) {
					c.configure(member, c.members)
				}
			}
		}
		actions["restart"] = func(t *rapid.T) {
			member := c.randomMember(t)
			c.homes[member] = NewHome(Settings{})
			c.configure(member, c.memberLists[member])
		}
		t.Repeat(actions)
	})
}
