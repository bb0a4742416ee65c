package retrier

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// Action says what to do after a failed attempt.
type Action int

// The actions that a Decision may ask for.
const (
	// Stop answers the caller with the decision's error.
	Stop Action = iota
	// Retry sends the request again, to another endpoint if there is one.
	Retry
	// Resume continues the stream on a new connection.
	Resume
)

// Reasons for a decision. Each is also the name of the counter of such
// decisions.
const (
	// ReasonRetry means that the request is retried.
	ReasonRetry = "retries.retry"
	// ReasonResume means that the stream is resumed.
	ReasonResume = "retries.resume"
	// ReasonNotRetryable means that a failure of this kind is not retried.
	ReasonNotRetryable = "retries.final"
	// ReasonMayHaveRun means that the request may have run and is not
	// idempotent.
	ReasonMayHaveRun = "retries.may-have-run"
	// ReasonNotResumable means that the stream broke and can't be resumed.
	ReasonNotResumable = "retries.partial"
	// ReasonMaxAttempts means that the request has had all its attempts.
	ReasonMaxAttempts = "retries.tries"
	// ReasonDeadline means that the deadline comes before the next attempt.
	ReasonDeadline = "retries.deadline"
	// ReasonCallerLeft means that nobody waits for the answer any more.
	ReasonCallerLeft = "retries.caller-left"
	// ReasonClassBudget means that the retry budget of the class is empty.
	ReasonClassBudget = "retries.class-budget"
	// ReasonEndpointBudget means that the retry budget of the failed endpoint
	// is empty.
	ReasonEndpointBudget = "retries.endpoint-budget"
)

// Reasons returns all reasons that a Decision may have.
func Reasons() []string {
	return []string{
		ReasonRetry, ReasonResume, ReasonNotRetryable, ReasonMayHaveRun, ReasonNotResumable,
		ReasonMaxAttempts, ReasonDeadline, ReasonCallerLeft, ReasonClassBudget, ReasonEndpointBudget,
	}
}

// Decision says what to do after a failed attempt, and why.
type Decision struct {
	// Action is the action to take.
	Action Action
	// Delay is the time to wait before a retry or resumption.
	Delay time.Duration
	// Reason is one of Reasons, the name of the counter to increment.
	Reason string
	// Error is the answer for the caller. It is set if and only if the action
	// is Stop.
	Error *answerer.Error
}
