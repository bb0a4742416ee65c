package budgeter_test

import (
	"fmt"

	"github.com/oleanderpick/oleanderpick/pkg/budgeter"
)

func ExampleBudgeter() {
	b := budgeter.New(budgeter.Settings{Capacity: 100, Reserve: 25, SmallBytes: 10})
	fmt.Println(b.Claim(1, 60), b.Claim(2, 60), b.TryClaim(3, 5))
	fmt.Println(b.Release(1))
	// Output:
	// true false true
	// [2]
}
