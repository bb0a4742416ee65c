// Package drainer decides how a planned stop of an instance goes on.
//
// A balancer notices only after a while that an instance stops, and where too
// few others are left it goes on sending callers all the same. So the instance
// takes new connections until it ends. Once the balancer has had time to notice,
// idle connections are closed and requests that may outlast the stop are sent
// elsewhere. The instance ends when nothing is in flight and no connection was
// opened lately: one whose first packets were lost may still be on its way.
//
// A Settings value is the whole machine: the same progress gives the same step.
package drainer

import "time"

// Settings are a stop's times. All count from its beginning.
type Settings struct {
	// BalancerNoticeDelay is when the balancer sends callers elsewhere, if it can.
	BalancerNoticeDelay time.Duration
	// QuietWindow is how long no connection must have been opened before the end.
	QuietWindow time.Duration
	// StopTimeout is when the stop ends, whatever is in flight.
	StopTimeout time.Duration
}

// Progress is how far a stop is.
type Progress struct {
	// Elapsed is the time since the stop began.
	Elapsed time.Duration
	// InFlight is the requests without a final answer.
	InFlight int64
	// SinceLastConnection is the time since the last connection was opened.
	SinceLastConnection time.Duration
}

// Step is what a stopping instance does.
type Step int

// The steps, in order.
const (
	// Serve goes on as before and asks callers to connect elsewhere.
	Serve Step = iota
	// FinishRequests closes idle connections and takes only requests that end in time.
	FinishRequests
	// Exit closes everything.
	Exit
)

// String returns the step as logs show it.
func (s Step) String() string {
	return [...]string{"serve", "finish", "end"}[s]
}

// NextAction returns what to do now.
func (s Settings) NextAction(p Progress) Step {
	switch {
	case p.Elapsed >= s.StopTimeout:
		return Exit
	case p.Elapsed < s.BalancerNoticeDelay:
		return Serve
	case p.InFlight > 0 || p.SinceLastConnection < s.QuietWindow:
		return FinishRequests
	}

	return Exit
}
