package retrier

import "time"

// Attempt holds what is known about the attempts of a relayed request when the
// last one gave no answer that can be passed on.
type Attempt struct {
	// Ran reports whether an attempt may have run at an endpoint.
	Ran bool
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Runs is the number of attempts that may have run; a request is not
	// repeated once there are MaxRuns of them.
	Runs, MostRuns int
	// Refusals is the number of attempts that endpoints refused to run.
	Refusals int
	// Unsent is the number of attempts of which nothing was sent, for instance
	// because the endpoint accepted no connection. They don't count against
	// the RepeatLimiter.
	Unsent int
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
}

const (
	// maxRefusals is the number of refusals by endpoints after which a request
	// is not offered to another one.
	maxRefusals = 3
	// maxUnsentAttempts is the number of endpoints that accept no connection
	// after which no other one is tried.
	maxUnsentAttempts = 6
	// minRemainingTime is the least time before the deadline in which another
	// attempt is of use.
	minRemainingTime = 20 * time.Millisecond
)

// Reasons for not repeating a relayed request, beside those of a Decision.
const (
	// ReasonNone means that the request may be repeated.
	ReasonNone = ""
	// ReasonRefusals means that too many endpoints refused the request or
	// accepted no connection.
	ReasonRefusals = "refusals"
)

// Allowed returns the reason why the request may not be repeated. With
// ReasonNone it may be, provided that the RepeatLimiter has a repeat left.
func (a Attempt) Allowed() string {
	switch {
	case a.Remaining < minRemainingTime:
		return ReasonDeadline
	case a.Refusals >= maxRefusals || a.Unsent >= maxUnsentAttempts:
		return ReasonRefusals
	case a.Runs == 0 && !a.Ran:
		return ReasonNone
	case !a.Repeatable:
		return ReasonMayHaveRun
	case a.Runs >= a.MostRuns:
		return ReasonMaxAttempts
	}

	return ReasonNone
}
