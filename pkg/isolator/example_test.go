package isolator_test

import (
	"fmt"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/isolator"
)

func Example() {
	const system, customer, poison = 1, 2, 3
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	i := isolator.New(isolator.DefaultSettings(), "instance-1")
	i.RecordCompletion(now, []uint64{system, customer})
	for _, endpoint := range []string{"engine-1", "engine-2"} {
		now = now.Add(time.Second)
		i.RecordCrash(now, now, endpoint, []isolator.Prompt{{Blocks: []uint64{system, customer, poison}}})
	}
	fmt.Println(i.Decide(now, []uint64{system, poison}) == isolator.Quarantined)
	fmt.Println(i.Decide(now, []uint64{system, customer}) == isolator.Allowed)
	// Output:
	// true
	// true
}
