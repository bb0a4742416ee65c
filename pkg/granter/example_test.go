package granter_test

import (
	"fmt"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/granter"
)

func Example() {
	now := time.Now()
	endpoints := []granter.Endpoint{{Name: "engine", Slots: 8, Tokens: 8000}}
	members := []string{"one", "two"}
	home := granter.NewHome(granter.Settings{})
	home.Configure(now, endpoints, members, granter.HomeOf("engine", members))
	one := granter.NewBorrower(granter.Settings{}, "one")
	two := granter.NewBorrower(granter.Settings{}, "two")
	one.Configure(now, endpoints, members)
	two.Configure(now, endpoints, members)

	exchange := func(name string, b *granter.Borrower) {
		homeName := b.Homes()[0]
		b.ReceiveGrants(now, homeName, home.AnswerCreditRequests(now, name, b.CreateCreditRequests(now, homeName)))
	}
	for range 2 { // The new home finds out which earlier grants are outstanding.
		exchange("one", one)
		exchange("two", two)
	}
	exchange("one", one)
	fmt.Println("one:", one.HasCapacity(now, "engine", 4, 4000), one.HasCapacity(now, "engine", 5, 4000))

	two.SetDemand("engine", [granter.TierCount]granter.Credit{{Slots: 6, Tokens: 6000}})
	exchange("two", two)
	exchange("one", one)
	exchange("one", one) // Acknowledges the grant that reduced its credit.
	exchange("two", two)
	fmt.Println("two:", two.HasCapacity(now, "engine", 6, 6000))
	// Output:
	// one: true false
	// two: true
}
