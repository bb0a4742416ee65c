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

// divideUnitByUnit divides a capacity by the rules of divideCapacity, one unit at a time.
func divideUnitByUnit(capacity int, claims []claim) []int {
	shares := make([]int, len(claims))
	allocateUpTo := func(target func(claim) int) {
		for i, c := range claims {
			for shares[i] < target(c) && capacity > 0 {
				shares[i]++
				capacity--
			}
		}
	}
	allocateUpTo(func(c claim) int { return c.reservedShare.Slots })
	for level := range TierCount + 1 {
		allocateUpTo(func(c claim) int { return c.cumulativeDemand[level].Slots })
	}
	for i := 0; capacity > 0 && slices.ContainsFunc(claims, func(c claim) bool { return c.assigned }); i++ {
		if claims[i%len(claims)].assigned {
			shares[i%len(claims)]++
			capacity--
		}
	}
	return shares
}

func total(shares []int) int {
	sum := 0
	for _, share := range shares {
		sum += share
	}
	return sum
}

func TestDivideCapacityMatchesUnitByUnitDivision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := make([]claim, rapid.IntRange(1, 7).Draw(t, "claims"))
		capacity := rapid.IntRange(len(claims), 60).Draw(t, "capacity") // the reserved shares always fit
		for i := range claims {
			record := &borrowerRecord{assigned: rapid.IntRange(0, 5).Draw(t, "expected") > 0}
			record.inUse.Slots = rapid.IntRange(0, 5).Draw(t, "held")
			for tier := range record.waiting {
				record.waiting[tier].Slots = rapid.SampledFrom([]int{0, 0, 0, 1, 5}).Draw(t, "waiting")
			}
			claims[i] = newClaim(record, Credit{Slots: 1})
		}
		shares, contended := divideCapacity(capacity, claims, func(c Credit) int { return c.Slots }, rationProportionally)
		unitShares := divideUnitByUnit(capacity, claims)
		assert.Equal(t, total(shares), total(unitShares), "not all handed out")
		totalDemand, totalMet := 0, 0
		for level := range TierCount + 1 {
			metDemand, unitMetDemand := 0, 0
			totalDemand = 0
			for i, c := range claims {
				demand := max(c.reservedShare.Slots, c.cumulativeDemand[level].Slots)
				totalDemand += demand
				metDemand += min(shares[i], demand)
				unitMetDemand += min(unitShares[i], demand)
			}
			assert.Equal(t, metDemand, unitMetDemand, "level %d: demand of a lower tier was met first", level)
			totalMet = metDemand
		}
		assert.Equal(t, contended, totalMet < totalDemand)
		for i, c := range claims {
			if !contended {
				assert.Assert(t, shares[i]-unitShares[i] <= 1 && unitShares[i]-shares[i] <= 1, "%v %v", shares, unitShares)
			}
			assert.Assert(t, shares[i] >= c.reservedShare.Slots || total(shares) == capacity)
		}
	})
}

func TestPlacementSpreadsBorrowersEvenly(t *testing.T) {
	for _, size := range []struct{ members, endpoints int }{{7, 12}, {7, 9}, {40, 64}, {380, 600}, {95, 600}, {7, 600}} {
		endpoints, members, dataCentres := newFleet(size.members, size.endpoints)
		p := newPlacement(defaultSubsetSize, endpoints, members, dataCentres)
		subsetSize := min(size.endpoints, max(defaultSubsetSize, (4*size.endpoints+size.members-1)/size.members))
		for _, member := range members {
			assert.Equal(t, len(p.endpointsOf(member)), subsetSize)
		}
		fewest, most := size.members, 0
		borrowers := p.borrowersByEndpoint()
		for _, e := range endpoints {
			fewest, most = min(fewest, len(borrowers[e.Name])), max(most, len(borrowers[e.Name]))
		}
		meanBorrowers := subsetSize * size.members / size.endpoints
		t.Logf("%d members, %d endpoints: %d to %d borrowers", size.members, size.endpoints, fewest, most)
		assert.Assert(t, fewest >= meanBorrowers-2 && most <= meanBorrowers+3, "%d to %d borrowers, even would be %d", fewest, most, meanBorrowers)
		homes := map[string]int{}
		for _, e := range endpoints {
			homes[HomeOf(e.Name, members)]++
		}
		for home, count := range homes {
			assert.Assert(t, count <= 5+4*size.endpoints/size.members, "%s is home of %d", home, count)
		}
	}
}

// newFleet returns endpoints and members in three data centres, and the data centre of
// each member.
func newFleet(memberCount, endpointCount int) ([]Endpoint, []string, map[string]string) {
	dataCentres := map[string]string{}
	endpoints, members := make([]Endpoint, endpointCount), make([]string, memberCount)
	for i := range endpoints {
		endpoints[i] = Endpoint{
			Name: fmt.Sprintf("llm-pool-%d", i), Group: "llm-pool", DataCentre: fmt.Sprint(i % 3), Slots: 16, Tokens: 16_000,
		}
	}
	for i := range members {
		members[i] = fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250)
		dataCentres[members[i]] = fmt.Sprint(i % 3)
	}
	return endpoints, members, dataCentres
}

func TestRemovedMemberMovesOnlyItsEndpoints(t *testing.T) {
	_, members, _ := newFleet(380, 0)
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

// lenderWithTwoBorrowers is the home of one endpoint and its two borrowers.
type lenderWithTwoBorrowers struct {
	home     *Home
	homeName string
	now      time.Time
	one, two *Borrower
}

func newLenderWithTwoBorrowers(settings Settings) *lenderWithTwoBorrowers {
	endpoints := []Endpoint{{Name: "e", Slots: 8, Tokens: 800}}
	members := []string{"one", "two"}
	p := &lenderWithTwoBorrowers{now: start, homeName: HomeOf("e", members), home: NewHome(settings)}
	p.home.Configure(p.now, endpoints, members, p.homeName)
	p.one, p.two = NewBorrower(settings, "one"), NewBorrower(settings, "two")
	p.one.Configure(p.now, endpoints, members)
	p.two.Configure(p.now, endpoints, members)
	return p
}

// exchange lets the delay pass, and then exchanges credit requests and grants between a
// borrower and the home.
func (p *lenderWithTwoBorrowers) exchange(b *Borrower, delay time.Duration) {
	p.now = p.now.Add(delay)
	b.ReceiveGrants(p.now, p.homeName, p.home.AnswerCreditRequests(p.now, b.self, b.CreateCreditRequests(p.now, p.homeName)))
}

func TestCapacityInUseIsNotLentToOthers(t *testing.T) {
	p := newLenderWithTwoBorrowers(Settings{})
	for range 3 {
		p.exchange(p.one, time.Second)
		p.exchange(p.two, 0)
	}
	for id := range uint64(4) {
		assert.Assert(t, p.one.Acquire(p.now, id, "e", 100))
	}
	assert.Assert(t, !p.one.Acquire(p.now, 9, "e", 1), "took more than its half")
	p.exchange(p.one, 0)

	// Borrower one can't reach the home: its credit expires while its requests continue.
	p.two.SetDemand("e", [TierCount]Credit{{Slots: 8, Tokens: 800}})
	p.exchange(p.two, defaultCreditTTL+time.Second)
	assert.Assert(t, p.two.HasCapacity(p.now, "e", 4, 400))
	assert.Assert(t, !p.two.HasCapacity(p.now, "e", 5, 400), "lent what is in use")
	p.exchange(p.two, defaultGracePeriod)
	assert.Assert(t, p.two.HasCapacity(p.now, "e", 7, 700))
	assert.Assert(t, !p.two.HasCapacity(p.now, "e", 8, 700), "lent the reserved share of borrower one")

	// An answer longer than estimated uses more capacity; no request is stopped.
	p.one.IncreaseTokens(p.now, 0, 150)
	p.one.IncreaseTokens(p.now, 0, 120)
	p.one.Release(p.now, 3)
	p.one.Release(p.now, 3)
	assert.Equal(t, p.one.EndpointStatuses(p.now)[0].InUse, Credit{Slots: 3, Tokens: 350})
	assert.Assert(t, p.one.EndpointStatuses(p.now)[0].UsesReservedShare)

	// Borrower one leaves cleanly: all capacity can be lent to the other.
	p.home.ForgetBorrower(p.now, "one")
	p.exchange(p.two, 0)
	assert.Assert(t, p.two.HasCapacity(p.now, "e", 8, 800))
}

func TestBorrowerFallsBackToReservedShareWhenHomeIsUnreachable(t *testing.T) {
	p := newLenderWithTwoBorrowers(Settings{})
	assert.Assert(t, !p.one.HasCapacity(p.now, "e", 1, 1), "credits lent earlier may be outstanding")
	p.one.RecordUnreachable(p.now, p.homeName)
	p.now = p.now.Add(defaultCreditTTL)
	assert.Assert(t, p.one.HasCapacity(p.now, "e", 1, 100))
	assert.Assert(t, !p.one.HasCapacity(p.now, "e", 2, 100))
}

func TestNewHomeHonoursCreditsOfEarlierHome(t *testing.T) {
	p := newLenderWithTwoBorrowers(Settings{})
	p.now = p.now.Add(time.Millisecond)
	grantedCredit := func(borrower string, request CreditRequest) Credit {
		request.Endpoint, request.RequestedAt = "e", p.now
		return p.home.AnswerCreditRequests(p.now, borrower, []CreditRequest{request})[0].Credit
	}
	assert.Equal(t, grantedCredit("one", CreditRequest{InUse: Credit{4, 300}, UnexpiredCredit: Credit{2, 500}}), Credit{4, 500})
	assert.Equal(t, grantedCredit("stranger", CreditRequest{}), Credit{0, 0}, "lent before all borrowers had reported")
	assert.Equal(t, grantedCredit("two", CreditRequest{InUse: Credit{3, 100}, UnexpiredCredit: Credit{4, 400}}), Credit{4, 300})
	p.now = p.now.Add(defaultCreditTTL - time.Millisecond)
	assert.Equal(t, grantedCredit("two", CreditRequest{InUse: Credit{3, 100}}).Slots, 4)
}

func TestLateMessagesAreIgnored(t *testing.T) {
	p := newLenderWithTwoBorrowers(Settings{})
	oldRequests := p.one.CreateCreditRequests(p.now, p.homeName)
	for range 2 {
		p.exchange(p.one, time.Second)
		p.exchange(p.two, 0)
	}
	assert.Equal(t, len(p.home.AnswerCreditRequests(p.now, "one", oldRequests)), 0, "answered a request older than the last")
	lateGrants := p.home.AnswerCreditRequests(p.now, "one", p.one.CreateCreditRequests(p.now, p.homeName))

	// The home changes and changes back: grants requested before that are ignored.
	p.now = p.now.Add(time.Second)
	endpoints := []Endpoint{{Name: "e", Slots: 8, Tokens: 800}}
	p.one.Configure(p.now, endpoints, []string{"one", "two", "other", "another", "third", "fourth"})
	assert.Assert(t, p.one.endpoints["e"].home != p.homeName)
	p.one.Configure(p.now, endpoints, []string{"one", "two"})
	p.one.ReceiveGrants(p.now, p.homeName, lateGrants)
	assert.Assert(t, !p.one.HasCapacity(p.now, "e", 1, 1))
	p.exchange(p.one, 0)
	assert.Assert(t, p.one.HasCapacity(p.now, "e", 4, 400))
}

func TestCreditMovesToDemandOfHigherTier(t *testing.T) {
	p := newLenderWithTwoBorrowers(Settings{})
	for range 2 {
		p.exchange(p.one, time.Second)
		p.exchange(p.two, 0)
	}
	p.one.SetDemand("e", [TierCount]Credit{4: {Slots: 8, Tokens: 800}})
	p.two.SetDemand("e", [TierCount]Credit{0: {Slots: 8, Tokens: 800}})
	for range 3 {
		p.exchange(p.one, time.Second)
		p.exchange(p.two, 0)
	}
	assert.Assert(t, p.two.HasCapacity(p.now, "e", 7, 700), "%+v", p.home.LentCapacities(p.now))
	assert.Assert(t, p.one.HasCapacity(p.now, "e", 1, 100), "the reserved share is kept")
	assert.Assert(t, !p.one.HasCapacity(p.now, "e", 2, 100))
}

func TestWaitingRequestsShortenRequestIntervalWithBackoff(t *testing.T) {
	p := newLenderWithTwoBorrowers(Settings{RequestInterval: time.Second, UrgentRequestInterval: 250 * time.Millisecond})
	p.exchange(p.one, time.Millisecond)
	p.exchange(p.two, 0)
	assert.Equal(t, len(p.one.DueHomes(p.now.Add(500*time.Millisecond))), 1, "no credit yet")
	p.exchange(p.one, 250*time.Millisecond)
	assert.Equal(t, len(p.one.DueHomes(p.now.Add(750*time.Millisecond))), 0)
	countExchanges := func(duration time.Duration) int {
		count := 0
		for end := p.now.Add(duration); p.now.Before(end); p.now = p.now.Add(10 * time.Millisecond) {
			if len(p.one.DueHomes(p.now)) > 0 {
				p.exchange(p.one, 0)
				p.exchange(p.two, 0)
				count++
			}
		}
		return count
	}
	idleCount := countExchanges(10 * time.Second)
	for id := range uint64(4) {
		assert.Assert(t, p.one.Acquire(p.now, id, "e", 100))
	}
	for id := uint64(10); p.two.Acquire(p.now, id, "e", 1); id++ {
	}
	p.one.SetDemand("e", [TierCount]Credit{{Slots: 8, Tokens: 800}})
	p.now = p.now.Add(10 * time.Millisecond)
	burstCount := countExchanges(2 * time.Second)
	starvedCount := countExchanges(10 * time.Second)
	t.Logf("exchanges: idle %d, burst %d, starved %d", idleCount, burstCount, starvedCount)
	assert.Assert(t, idleCount <= 10 && burstCount >= 3 && starvedCount <= 10)
}

// TestNewHomeDoesNotRelyOnBorrowerClocks checks that a new home lends no new capacity
// until each borrower has acknowledged one of its grants, and does so at once afterwards,
// even if the borrowers' clocks are an hour ahead or behind.
func TestNewHomeDoesNotRelyOnBorrowerClocks(t *testing.T) {
	for _, clockOffset := range []time.Duration{-time.Hour, 0, time.Hour} {
		p := newLenderWithTwoBorrowers(Settings{})
		p.now = p.now.Add(time.Millisecond)
		requestGrant := func(borrower string, epoch uint64) Grant {
			request := CreditRequest{Endpoint: "e", GrantEpoch: epoch, RequestedAt: p.now.Add(clockOffset)}
			return p.home.AnswerCreditRequests(p.now, borrower, []CreditRequest{request})[0]
		}
		one, two := requestGrant("one", 0), requestGrant("two", 0)
		assert.Equal(t, requestGrant("one", 0).Credit, Credit{}, "lent though it may hold another home's credit")
		requestGrant("two", two.Epoch)
		assert.Assert(t, requestGrant("one", one.Epoch).Credit.Slots >= 4, "clock offset %s", clockOffset)
	}
}

// BenchmarkInstance measures the work of one instance of 380 with 600 endpoints: a change
// of the members, and one exchange of credit requests and grants with a home.
func BenchmarkInstance(b *testing.B) {
	endpoints, members, dataCentres := newFleet(380, 600)
	self := members[7]
	h, borrower := NewHome(Settings{}), NewBorrower(Settings{}, self)
	h.SetDataCentres(dataCentres)
	borrower.SetDataCentres(dataCentres)
	b.Run("configure", func(b *testing.B) {
		for b.Loop() {
			h.Configure(start, endpoints, members, self)
			borrower.Configure(start, endpoints, members)
		}
	})
	b.Run("exchange", func(b *testing.B) {
		now := start
		home := borrower.Homes()[0]
		localEndpoints := slices.Collect(maps.Keys(h.ledgers))
		for b.Loop() {
			now = now.Add(defaultRequestInterval)
			requests := borrower.CreateCreditRequests(now, home)
			requests[0].Endpoint = localEndpoints[0]
			borrower.ReceiveGrants(now, home, h.AnswerCreditRequests(now, self, requests))
		}
	})
}
