package retrier_test

import (
	"fmt"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

func Example() {
	decider := retrier.New(retrier.DefaultSettings(), source())
	failure := retrier.Failure{Kind: answerer.KindEndpointLost, StartStatus: retrier.StartUnknown(), Endpoint: "e"}
	d := decider.Decide(start, "bookings", 1, failure, start.Add(time.Minute))
	fmt.Println(d.Action == retrier.Stop, d.Reason, d.Error)
	// Output: true retries.may-have-run uncertain: The request may have run.
}
