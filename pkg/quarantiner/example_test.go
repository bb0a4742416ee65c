package quarantiner_test

import (
	"fmt"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
)

func Example() {
	q := quarantiner.New(quarantiner.DefaultSettings())
	q.RecordLocalCrash(start, []uint64{1, 2})
	fmt.Println(q.Decide(start, 1) == quarantiner.Suspect)
	q.RecordLocalCrash(start.Add(time.Second), []uint64{1})
	fmt.Println(q.Decide(start.Add(time.Second), 1) == quarantiner.Quarantined)
	q.RecordCompletion(start.Add(time.Second), 2)
	fmt.Println(q.Decide(start.Add(time.Second), 2) == quarantiner.Allowed)
	// Output:
	// true
	// true
	// true
}
