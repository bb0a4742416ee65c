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
	// Noticed is when the balancer sends callers elsewhere, if it can.
	Noticed time.Duration
	// Quiet is how long no connection must have been opened before the end.
	Quiet time.Duration
	// Limit is when the stop ends, whatever is in flight.
	Limit time.Duration
}

// Progress is how far a stop is.
type Progress struct {
	// Since is the time since the stop began.
	Since time.Duration
	// InFlight is the requests without a final answer.
	InFlight int64
	// SinceOpened is the time since the last connection was opened.
	SinceOpened time.Duration
}

// Step is what a stopping instance does.
type Step int

// The steps, in order.
const (
	// Serve goes on as before and asks callers to connect elsewhere.
	Serve Step = iota
	// Finish closes idle connections and takes only requests that end in time.
	Finish
	// End closes everything.
	End
)

// String returns the step as logs show it.
func (s Step) String() string {
	return [...]string{"serve", "finish", "end"}[s]
}

// Next returns what to do now.
func (s Settings) Next(p Progress) Step {
	switch {
	case p.Since >= s.Limit:
		return End
	case p.Since < s.Noticed:
		return Serve
	case p.InFlight > 0 || p.SinceOpened < s.Quiet:
		return Finish
	}

	return End
}
