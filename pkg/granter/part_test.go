package granter

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// naiveDivide hands out one unit at a time by the rules of divide.
func naiveDivide(capacity int, claims []claim) []int {
	shares := make([]int, len(claims))
	give := func(most func(claim) int) {
		for i, c := range claims {
			for shares[i] < most(c) && capacity > 0 {
				shares[i]++
				capacity--
			}
		}
	}
	give(func(c claim) int { return c.floor.Slots })
	for level := range Tiers + 1 {
		give(func(c claim) int { return c.levels[level].Slots })
	}
	for i := 0; capacity > 0 && slices.ContainsFunc(claims, func(c claim) bool { return c.expected }); i++ {
		if claims[i%len(claims)].expected {
			shares[i%len(claims)]++
			capacity--
		}
	}
	return shares
}

func sum(shares []int) int {
	total := 0
	for _, share := range shares {
		total += share
	}
	return total
}

func TestDivideEqualsNaiveDivision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := make([]claim, rapid.IntRange(1, 7).Draw(t, "claims"))
		capacity := rapid.IntRange(len(claims), 60).Draw(t, "capacity") // the floors always fit
		for i := range claims {
			a := &account{expected: rapid.IntRange(0, 5).Draw(t, "expected") > 0}
			a.held.Slots = rapid.IntRange(0, 5).Draw(t, "held")
			for tier := range a.waiting {
				a.waiting[tier].Slots = rapid.SampledFrom([]int{0, 0, 0, 1, 5}).Draw(t, "waiting")
			}
			claims[i] = newClaim(a, Credit{Slots: 1})
		}
		shares, contended := divide(capacity, claims, func(c Credit) int { return c.Slots }, proportions)
		naive := naiveDivide(capacity, claims)
		assert.Equal(t, sum(shares), sum(naive), "not all handed out")
		needed, reached := 0, 0
		for level := range Tiers + 1 {
			met, naiveMet := 0, 0
			needed = 0
			for i, c := range claims {
				level := max(c.floor.Slots, c.levels[level].Slots)
				needed += level
				met += min(shares[i], level)
				naiveMet += min(naive[i], level)
			}
			assert.Equal(t, met, naiveMet, "level %d: demand of a lower tier was met first", level)
			reached = met
		}
		assert.Equal(t, contended, reached < needed)
		for i, c := range claims {
			if !contended {
				assert.Assert(t, shares[i]-naive[i] <= 1 && naive[i]-shares[i] <= 1, "%v %v", shares, naive)
			}
			assert.Assert(t, shares[i] >= c.floor.Slots || sum(shares) == capacity)
		}
	})
}

func TestPlacementIsEven(t *testing.T) {
	for _, size := range []struct{ members, endpoints int }{{7, 12}, {7, 9}, {40, 64}, {380, 600}, {95, 600}, {7, 600}} {
		endpoints, members, places := plan(size.members, size.endpoints)
		p := newPlacement(defaultSubset, endpoints, members, places)
		want := min(size.endpoints, max(defaultSubset, (4*size.endpoints+size.members-1)/size.members))
		for _, member := range members {
			assert.Equal(t, len(p.of(member)), want)
		}
		least, most := size.members, 0
		borrowers := p.borrowers()
		for _, e := range endpoints {
			least, most = min(least, len(borrowers[e.Name])), max(most, len(borrowers[e.Name]))
		}
		even := want * size.members / size.endpoints
		t.Logf("%d members, %d endpoints: %d to %d borrowers", size.members, size.endpoints, least, most)
		assert.Assert(t, least >= even-2 && most <= even+3, "%d to %d borrowers, even would be %d", least, most, even)
		homes := map[string]int{}
		for _, e := range endpoints {
			homes[HomeOf(e.Name, members)]++
		}
		for home, count := range homes {
			assert.Assert(t, count <= 5+4*size.endpoints/size.members, "%s is home of %d", home, count)
		}
	}
}

// plan returns a fleet over three data centres.
func plan(members, endpoints int) ([]Endpoint, []string, map[string]string) {
	places := map[string]string{}
	fleet, names := make([]Endpoint, endpoints), make([]string, members)
	for i := range fleet {
		fleet[i] = Endpoint{
			Name: fmt.Sprintf("llm-pool-%d", i), Group: "llm-pool", DataCentre: fmt.Sprint(i % 3), Slots: 16, Tokens: 16_000,
		}
	}
	for i := range names {
		names[i] = fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250)
		places[names[i]] = fmt.Sprint(i % 3)
	}
	return fleet, names, places
}

func TestHomeMovesLittle(t *testing.T) {
	_, members, _ := plan(380, 0)
	moved := 0
	for i := range 600 {
		name := fmt.Sprintf("llm-pool-%d", i)
		before, after := HomeOf(name, members), HomeOf(name, members[1:])
		if before != after {
			moved++
			assert.Equal(t, before, members[0])
		}
	}
	assert.Assert(t, moved < 10)
}

// pair is two borrowers and the home of one endpoint.
type pair struct {
	home     *Home
	host     string
	now      time.Time
	one, two *Borrower
}

func newPair(settings Settings) *pair {
	endpoints := []Endpoint{{Name: "e", Slots: 8, Tokens: 800}}
	members := []string{"one", "two"}
	p := &pair{now: start, host: HomeOf("e", members), home: NewHome(settings)}
	p.home.Configure(p.now, endpoints, members, p.host)
	p.one, p.two = NewBorrower(settings, "one"), NewBorrower(settings, "two")
	p.one.Configure(p.now, endpoints, members)
	p.two.Configure(p.now, endpoints, members)
	return p
}

func (p *pair) ask(b *Borrower, after time.Duration) {
	p.now = p.now.Add(after)
	b.ReceiveGrants(p.now, p.host, p.home.AnswerCreditRequests(p.now, b.self, b.CreateCreditRequests(p.now, p.host)))
}

func TestWorkInFlightIsNotLentAgain(t *testing.T) {
	p := newPair(Settings{})
	for range 3 {
		p.ask(p.one, time.Second)
		p.ask(p.two, 0)
	}
	for id := range uint64(4) {
		assert.Assert(t, p.one.Acquire(p.now, id, "e", 100))
	}
	assert.Assert(t, !p.one.Acquire(p.now, 9, "e", 1), "took more than its half")
	p.ask(p.one, 0)

	// One is cut off; its credit expires, its work goes on.
	p.two.SetDemand("e", [Tiers]Credit{{Slots: 8, Tokens: 800}})
	p.ask(p.two, defaultLifetime+time.Second)
	assert.Assert(t, p.two.HasCapacity(p.now, "e", 4, 400))
	assert.Assert(t, !p.two.HasCapacity(p.now, "e", 5, 400), "lent what is in use")
	p.ask(p.two, defaultGrace)
	assert.Assert(t, p.two.HasCapacity(p.now, "e", 7, 700))
	assert.Assert(t, !p.two.HasCapacity(p.now, "e", 8, 700), "lent the floor of one")

	// An answer that outgrows its estimate takes room, nothing is cut.
	p.one.IncreaseTokens(p.now, 0, 150)
	p.one.IncreaseTokens(p.now, 0, 120)
	p.one.Release(p.now, 3)
	p.one.Release(p.now, 3)
	assert.Equal(t, p.one.EndpointStatuses(p.now)[0].Held, Credit{Slots: 3, Tokens: 350})
	assert.Assert(t, p.one.EndpointStatuses(p.now)[0].Fallback)

	// One stops cleanly: all of it can be lent.
	p.home.ForgetBorrower(p.now, "one")
	p.ask(p.two, 0)
	assert.Assert(t, p.two.HasCapacity(p.now, "e", 8, 800))
}

func TestBorrowerWithoutHomeFallsBackToItsFloor(t *testing.T) {
	p := newPair(Settings{})
	assert.Assert(t, !p.one.HasCapacity(p.now, "e", 1, 1), "credits lent before may be out")
	p.one.RecordUnreachable(p.now, p.host)
	p.now = p.now.Add(defaultLifetime)
	assert.Assert(t, p.one.HasCapacity(p.now, "e", 1, 100))
	assert.Assert(t, !p.one.HasCapacity(p.now, "e", 2, 100))
}

func TestFreshHomeKeepsWhatIsOut(t *testing.T) {
	p := newPair(Settings{})
	p.now = p.now.Add(time.Millisecond)
	ask := func(borrower string, want CreditRequest) Credit {
		want.Endpoint, want.RequestedAt = "e", p.now
		return p.home.AnswerCreditRequests(p.now, borrower, []CreditRequest{want})[0].Credit
	}
	assert.Equal(t, ask("one", CreditRequest{InUse: Credit{4, 300}, UnexpiredCredit: Credit{2, 500}}), Credit{4, 500})
	assert.Equal(t, ask("stranger", CreditRequest{}), Credit{0, 0}, "lent before all had told")
	assert.Equal(t, ask("two", CreditRequest{InUse: Credit{3, 100}, UnexpiredCredit: Credit{4, 400}}), Credit{4, 300})
	p.now = p.now.Add(defaultLifetime - time.Millisecond)
	assert.Equal(t, ask("two", CreditRequest{InUse: Credit{3, 100}}).Slots, 4)
}

func TestLateMessagesChangeNothing(t *testing.T) {
	p := newPair(Settings{})
	wants := p.one.CreateCreditRequests(p.now, p.host)
	for range 2 {
		p.ask(p.one, time.Second)
		p.ask(p.two, 0)
	}
	assert.Equal(t, len(p.home.AnswerCreditRequests(p.now, "one", wants)), 0, "answered an ask older than the last")
	late := p.home.AnswerCreditRequests(p.now, "one", p.one.CreateCreditRequests(p.now, p.host))

	// The home moves away and back: a grant from before says nothing now.
	p.now = p.now.Add(time.Second)
	endpoints := []Endpoint{{Name: "e", Slots: 8, Tokens: 800}}
	p.one.Configure(p.now, endpoints, []string{"one", "two", "other", "another", "third", "fourth"})
	assert.Assert(t, p.one.lines["e"].home != p.host)
	p.one.Configure(p.now, endpoints, []string{"one", "two"})
	p.one.ReceiveGrants(p.now, p.host, late)
	assert.Assert(t, !p.one.HasCapacity(p.now, "e", 1, 1))
	p.ask(p.one, 0)
	assert.Assert(t, p.one.HasCapacity(p.now, "e", 4, 400))
}

func TestDemandMovesCreditAndHigherTiersGoFirst(t *testing.T) {
	p := newPair(Settings{})
	for range 2 {
		p.ask(p.one, time.Second)
		p.ask(p.two, 0)
	}
	p.one.SetDemand("e", [Tiers]Credit{4: {Slots: 8, Tokens: 800}})
	p.two.SetDemand("e", [Tiers]Credit{0: {Slots: 8, Tokens: 800}})
	for range 3 {
		p.ask(p.one, time.Second)
		p.ask(p.two, 0)
	}
	assert.Assert(t, p.two.HasCapacity(p.now, "e", 7, 700), "%+v", p.home.Lent(p.now))
	assert.Assert(t, p.one.HasCapacity(p.now, "e", 1, 100), "the floor is kept")
	assert.Assert(t, !p.one.HasCapacity(p.now, "e", 2, 100))
}

func TestWaitingAsksSoonerButNotForEver(t *testing.T) {
	p := newPair(Settings{RequestInterval: time.Second, Urgent: 250 * time.Millisecond})
	p.ask(p.one, time.Millisecond)
	p.ask(p.two, 0)
	assert.Equal(t, len(p.one.DueHomes(p.now.Add(500*time.Millisecond))), 1, "no credit yet")
	p.ask(p.one, 250*time.Millisecond)
	assert.Equal(t, len(p.one.DueHomes(p.now.Add(750*time.Millisecond))), 0)
	asks := func(span time.Duration) int {
		count := 0
		for end := p.now.Add(span); p.now.Before(end); p.now = p.now.Add(10 * time.Millisecond) {
			if len(p.one.DueHomes(p.now)) > 0 {
				p.ask(p.one, 0)
				p.ask(p.two, 0)
				count++
			}
		}
		return count
	}
	quiet := asks(10 * time.Second)
	for id := range uint64(4) {
		assert.Assert(t, p.one.Acquire(p.now, id, "e", 100))
	}
	for id := uint64(10); p.two.Acquire(p.now, id, "e", 1); id++ {
	}
	p.one.SetDemand("e", [Tiers]Credit{{Slots: 8, Tokens: 800}})
	p.now = p.now.Add(10 * time.Millisecond)
	burst := asks(2 * time.Second)
	starved := asks(10 * time.Second)
	t.Logf("asks: quiet %d, burst %d, starved %d", quiet, burst, starved)
	assert.Assert(t, quiet <= 10 && burst >= 3 && starved <= 10)
}

// TestFreshHomeTrustsNoClock: a borrower whose clock is off by an hour either
// way counts as heard only when it answers a grant of the new home, and then
// at once.
func TestFreshHomeTrustsNoClock(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, 0, time.Hour} {
		p := newPair(Settings{})
		p.now = p.now.Add(time.Millisecond)
		ask := func(borrower string, epoch uint64) Grant {
			want := CreditRequest{Endpoint: "e", GrantEpoch: epoch, RequestedAt: p.now.Add(off)}
			return p.home.AnswerCreditRequests(p.now, borrower, []CreditRequest{want})[0]
		}
		one, two := ask("one", 0), ask("two", 0)
		assert.Equal(t, ask("one", 0).Credit, Credit{}, "lent though it may hold another home's credit")
		ask("two", two.Epoch)
		assert.Assert(t, ask("one", one.Epoch).Credit.Slots >= 4, "off by %s", off)
	}
}

// BenchmarkNode measures a node's work at plan size: a change of the members,
// and a second of asking, answering and taking in.
func BenchmarkNode(b *testing.B) {
	endpoints, members, places := plan(380, 600)
	self := members[7]
	h, borrower := NewHome(Settings{}), NewBorrower(Settings{}, self)
	h.SetDataCentres(places)
	borrower.SetDataCentres(places)
	b.Run("configure", func(b *testing.B) {
		for b.Loop() {
			h.Configure(start, endpoints, members, self)
			borrower.Configure(start, endpoints, members)
		}
	})
	b.Run("exchange", func(b *testing.B) {
		now := start
		home := borrower.Homes()[0]
		own := slices.Collect(maps.Keys(h.ledgers))
		for b.Loop() {
			now = now.Add(defaultInterval)
			wants := borrower.CreateCreditRequests(now, home)
			wants[0].Endpoint = own[0]
			borrower.ReceiveGrants(now, home, h.AnswerCreditRequests(now, self, wants))
		}
	})
}
