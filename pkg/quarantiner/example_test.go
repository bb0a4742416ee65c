package quarantiner_test

import (
	"fmt"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
)

func Example() {
	q := quarantiner.New(quarantiner.DefaultSettings())
	q.Crashed(start, []uint64{1, 2})
	fmt.Println(q.Verdict(start, 1) == quarantiner.Suspect)
	q.Crashed(start.Add(time.Second), []uint64{1})
	fmt.Println(q.Verdict(start.Add(time.Second), 1) == quarantiner.Quarantined)
	q.Finished(start.Add(time.Second), 2)
	fmt.Println(q.Verdict(start.Add(time.Second), 2) == quarantiner.Allowed)
	// Output:
	// true
	// true
	// true
}
