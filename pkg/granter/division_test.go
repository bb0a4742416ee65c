package granter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestScarceTokensGoByWholeRequests: each of seven borrowers waits with one
// request of more tokens than a seventh of the endpoint's. Some must have room
// for theirs, and each in its turn.
func TestScarceTokensGoByWholeRequests(t *testing.T) {
	const cost = 700
	endpoints := []Endpoint{{Name: "e", Slots: 8, Tokens: 4000}}
	members := []string{"a", "b", "c", "d", "e", "f", "g"}
	host := HomeOf("e", members)
	home := NewHome(Settings{})
	home.Configure(start, endpoints, members, host)
	borrowers := make([]*Borrower, len(members))
	for i, name := range members {
		borrowers[i] = NewBorrower(Settings{}, name)
		borrowers[i].Configure(start, endpoints, members)
		borrowers[i].SetDemand("e", [Tiers]Credit{2: {Slots: 1, Tokens: cost}})
	}
	had := map[string]bool{}
	now := start
	for range 120 {
		now = now.Add(500 * time.Millisecond)
		for _, b := range borrowers {
			b.ReceiveGrants(now, host, home.AnswerCreditRequests(now, b.self, b.CreateCreditRequests(now, host)))
		}
		roomy := 0
		for _, b := range borrowers {
			if b.HasCapacity(now, "e", 1, cost) {
				had[b.self] = true
				roomy++
			}
		}
		assert.Assert(t, roomy*cost <= 4000)
	}
	assert.Equal(t, len(had), len(members), "had room: %v", had)
}

// TestIdleCreditGoesToTheNear: in quiet times an endpoint's credit is held in
// its own data centre, apart from the floors; demand from elsewhere is met, and
// an instance whose data centre has none counts as near everywhere.
func TestIdleCreditGoesToTheNear(t *testing.T) {
	endpoints := []Endpoint{
		{Name: "e", Group: "g", DataCentre: "north", Slots: 12, Tokens: 1200},
		{Name: "f", Group: "g", DataCentre: "south", Slots: 12, Tokens: 1200},
	}
	members := []string{"n", "s", "w"}
	places := map[string]string{"n": "north", "s": "south", "w": "west"}
	home := NewHome(Settings{})
	home.SetDataCentres(places)
	home.Configure(start, endpoints, members, HomeOf("e", members))
	floor := Settings{}.withDefaults().floor(endpoints[0], len(members)).Slots
	epochs := map[string]uint64{}
	now := start
	round := func(waiting int) map[string]int {
		got := map[string]int{}
		for range 3 {
			now = now.Add(time.Second)
			for _, name := range members {
				want := CreditRequest{Endpoint: "e", GrantEpoch: epochs[name], RequestedAt: now}
				if name == "s" {
					want.Waiting[0] = Credit{Slots: waiting, Tokens: 100 * waiting}
				}
				grant := home.AnswerCreditRequests(now, name, []CreditRequest{want})[0]
				epochs[name], got[name] = grant.Epoch, grant.Credit.Slots
			}
		}
		return got
	}
	quiet := round(0)
	assert.Equal(t, quiet["s"], floor)
	assert.Assert(t, quiet["n"] > floor && quiet["w"] > floor, "%v", quiet)
	assert.Equal(t, quiet["n"]+quiet["s"]+quiet["w"], 12)
	assert.Assert(t, round(5)["s"] >= 5)
}
