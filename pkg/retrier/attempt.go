package retrier

import "time"

// Attempt is what is known of a relayed request after a try that gave no
// answer to pass on.
type Attempt struct {
	// Ran tells that a try may have run.
	Ran bool
	// Repeatable requests may run more than once.
	Repeatable bool
	// Runs is the tries that may have run, of at most MostRuns.
	Runs, MostRuns int
	// Refusals is the tries that endpoints refused to run.
	Refusals int
	// Unsent is the tries of which nothing was sent, as when an endpoint
	// takes no connection. They spend nothing of the shared bound.
	Unsent int
	// Remaining is the time left.
	Remaining time.Duration
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

// Allowed returns why the attempt may not be repeated; ReasonNone: it may, if
// the Window has a repeat left.
func (a Attempt) Allowed() string {
	switch {
	case a.Remaining < leastRemaining:
		return ReasonDeadline
	case a.Refusals >= mostRefusals || a.Unsent >= mostUnsent:
		return ReasonRefusals
	case a.Runs == 0 && !a.Ran:
		return ReasonNone
	case !a.Repeatable:
		return ReasonMayHaveRun
	case a.Runs >= a.MostRuns:
		return ReasonTries
	}

	return ReasonNone
}
