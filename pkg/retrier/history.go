package retrier

import "time"

// AttemptHistory holds what is known about the attempts of a relayed request when the
// last one gave no answer that can be passed on.
type AttemptHistory struct {
	// MayHaveRun reports whether an attempt may have run at an endpoint.
	MayHaveRun bool
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// PossibleRuns is the number of attempts that may have run; a request is not
	// repeated once there are MaxRuns of them.
	PossibleRuns, MaxRuns int
	// Refusals is the number of attempts that endpoints refused to run.
	Refusals int
	// UnsentAttempts is the number of attempts of which nothing was sent, for instance
	// because the endpoint accepted no connection. They don't count against
	// the RepeatLimiter.
	UnsentAttempts int
	// RemainingTime is the time left until the request's deadline.
	RemainingTime time.Duration
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
	// ReasonQuarantined means that the request may be the one that crashed its
	// endpoint.
	ReasonQuarantined = "quarantined"
)

// CheckRepeat returns the reason why the request may not be repeated. With
// ReasonNone it may be, provided that the RepeatLimiter has a repeat left.
func (a AttemptHistory) CheckRepeat() string {
	switch {
	case a.RemainingTime < minRemainingTime:
		return ReasonDeadline
	case a.Refusals >= maxRefusals || a.UnsentAttempts >= maxUnsentAttempts:
		return ReasonRefusals
	case a.PossibleRuns == 0 && !a.MayHaveRun:
		return ReasonNone
	case !a.Repeatable:
		return ReasonMayHaveRun
	case a.PossibleRuns >= a.MaxRuns:
		return ReasonMaxAttempts
	}

	return ReasonNone
}
