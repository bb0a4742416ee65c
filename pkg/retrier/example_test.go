package retrier_test

import (
	"fmt"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

func Example() {
	r := retrier.New(retrier.DefaultSettings(), newRandom())
	failure := retrier.Failure{Kind: answerer.KindEndpointLost, StartStatus: retrier.StartUnknown(), Endpoint: "e"}
	decision := r.Decide(startTime, "bookings", 1, failure, startTime.Add(time.Minute))
	fmt.Println(decision.Action == retrier.Stop, decision.Reason, decision.Error)
	// Output: true retries.may-have-run uncertain: The request may have run.
}
