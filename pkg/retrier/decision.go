package retrier

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// Action is what to do after a failure.
type Action int

// The decisions.
const (
	// Stop gives the caller the decision's error.
	Stop Action = iota
	// Retry sends the request again, to another endpoint if there is one.
	Retry
	// Resume goes on with the stream on a new connection.
	Resume
)

// The reasons, which are names of counters.
const (
	// ReasonRetry is a retry.
	ReasonRetry = "retries.retry"
	// ReasonResume is a resumption.
	ReasonResume = "retries.resume"
	// ReasonNotRetryable is a kind of failure that a retry does not help.
	ReasonNotRetryable = "retries.final"
	// ReasonMayHaveRun is a non-idempotent request that may have run.
	ReasonMayHaveRun = "retries.may-have-run"
	// ReasonPartial is a stream that broke and cannot be resumed.
	ReasonPartial = "retries.partial"
	// ReasonTries is a request out of tries.
	ReasonTries = "retries.tries"
	// ReasonDeadline is a request whose deadline comes before the next try.
	ReasonDeadline = "retries.deadline"
	// ReasonClassBudget is an empty budget of the class.
	ReasonClassBudget = "retries.class-budget"
	// ReasonEndpointBudget is an empty budget of the endpoint that failed.
	ReasonEndpointBudget = "retries.endpoint-budget"
)

// Reasons returns every reason.
func Reasons() []string {
	return []string{
		ReasonRetry, ReasonResume, ReasonNotRetryable, ReasonMayHaveRun, ReasonPartial,
		ReasonTries, ReasonDeadline, ReasonClassBudget, ReasonEndpointBudget,
	}
}

// Decision is what to do after a failure.
type Decision struct {
	// Action is what to do.
	Action Action
	// Delay is the time before it.
	Delay time.Duration
	// Reason is the name of the counter that counts it.
	Reason string
	// Error is the answer for the caller of a stopped request.
	Error *answerer.Error
}
