package granter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestScarceTokensAreGrantedInTurnForWholeRequests guards against scarce tokens being
// granted in proportion: with seven borrowers whose one waiting request needs more than a
// seventh of the endpoint's tokens, no request could start. Each borrower must have
// enough for its request at some time, and never more of them than fit.
func TestScarceTokensAreGrantedInTurnForWholeRequests(t *testing.T) {
	const requestTokens = 700
	endpoints := []Endpoint{{Name: "e", Slots: 8, Tokens: 4000}}
	members := []string{"a", "b", "c", "d", "e", "f", "g"}
	homeName := HomeOf("e", members)
	home := NewHome(Settings{})
	home.Configure(start, endpoints, members, homeName)
	borrowers := make([]*Borrower, len(members))
	for i, name := range members {
		borrowers[i] = NewBorrower(Settings{}, name)
		borrowers[i].Configure(start, endpoints, members)
		borrowers[i].SetDemand("e", [TierCount]Credit{2: {Slots: 1, Tokens: requestTokens}})
	}
	everHadCapacity := map[string]bool{}
	now := start
	for range 120 {
		now = now.Add(500 * time.Millisecond)
		for _, b := range borrowers {
			b.ReceiveGrants(now, homeName, home.AnswerCreditRequests(now, b.self, b.CreateCreditRequests(now, homeName)))
		}
		withCapacity := 0
		for _, b := range borrowers {
			if b.HasCapacity(now, "e", 1, requestTokens) {
				everHadCapacity[b.self] = true
				withCapacity++
			}
		}
		assert.Assert(t, withCapacity*requestTokens <= 4000)
	}
	assert.Equal(t, len(everHadCapacity), len(members), "borrowers that ever had capacity: %v", everHadCapacity)
}

// TestIdleCreditGoesToBorrowersWithoutNearerEndpoint checks that without demand, an
// endpoint's credit beyond the reserved shares goes to borrowers in its own data centre
// and to those whose data centre has no endpoint of the group. Demand of the other
// borrowers must still be met.
func TestIdleCreditGoesToBorrowersWithoutNearerEndpoint(t *testing.T) {
	endpoints := []Endpoint{
		{Name: "e", Group: "g", DataCentre: "north", Slots: 12, Tokens: 1200},
		{Name: "f", Group: "g", DataCentre: "south", Slots: 12, Tokens: 1200},
	}
	members := []string{"n", "s", "w"}
	dataCentres := map[string]string{"n": "north", "s": "south", "w": "west"}
	home := NewHome(Settings{})
	home.SetDataCentres(dataCentres)
	home.Configure(start, endpoints, members, HomeOf("e", members))
	reservedSlots := Settings{}.withDefaults().reservedShare(endpoints[0], len(members)).Slots
	epochs := map[string]uint64{}
	now := start
	runExchanges := func(waiting int) map[string]int {
		grantedSlots := map[string]int{}
		for range 3 {
			now = now.Add(time.Second)
			for _, name := range members {
				request := CreditRequest{Endpoint: "e", GrantEpoch: epochs[name], RequestedAt: now}
				if name == "s" {
					request.Waiting[0] = Credit{Slots: waiting, Tokens: 100 * waiting}
				}
				grant := home.AnswerCreditRequests(now, name, []CreditRequest{request})[0]
				epochs[name], grantedSlots[name] = grant.Epoch, grant.Credit.Slots
			}
		}
		return grantedSlots
	}
	idle := runExchanges(0)
	assert.Equal(t, idle["s"], reservedSlots)
	assert.Assert(t, idle["n"] > reservedSlots && idle["w"] > reservedSlots, "%v", idle)
	assert.Equal(t, idle["n"]+idle["s"]+idle["w"], 12)
	assert.Assert(t, runExchanges(5)["s"] >= 5)
}
