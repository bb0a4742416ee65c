package retrier

import "time"

// AttemptHistory is what is known of a relayed request after a try that gave no
// answer to pass on.
type AttemptHistory struct {
	// MayHaveRun tells that a try may have run.
	MayHaveRun bool
	// Repeatable requests may run more than once.
	Repeatable bool
	// PossibleRuns is the tries that may have run, of at most MostRuns.
	PossibleRuns, MaxRuns int
	// Refusals is the tries that endpoints refused to run.
	Refusals int
	// UnsentAttempts is the tries of which nothing was sent, as when an endpoint
	// takes no connection. They spend nothing of the shared bound.
	UnsentAttempts int
	// RemainingTime is the time left.
	RemainingTime time.Duration
}

const (
	// mostRefusals bounds how often one request is offered to endpoints that
	// refuse it.
	mostRefusals = 3
	// mostUnsent bounds how often one request finds an endpoint that takes no
	// connection.
	mostUnsent = 6
	// leastRemaining is the time below which another try is of no use.
	leastRemaining = 20 * time.Millisecond
)

// Reasons for not repeating a relayed request.
const (
	ReasonNone     = ""
	ReasonRefusals = "refusals"
)

// CheckRepeat returns why the attempt may not be repeated; ReasonNone: it may, if
// the Window has a repeat left.
func (a AttemptHistory) CheckRepeat() string {
	switch {
	case a.RemainingTime < leastRemaining:
		return ReasonDeadline
	case a.Refusals >= mostRefusals || a.UnsentAttempts >= mostUnsent:
		return ReasonRefusals
	case a.PossibleRuns == 0 && !a.MayHaveRun:
		return ReasonNone
	case !a.Repeatable:
		return ReasonMayHaveRun
	case a.PossibleRuns >= a.MaxRuns:
		return ReasonTries
	}

	return ReasonNone
}
