// Package drainer decides what an instance does during a planned stop.
//
// A load balancer notices a stopping instance only after a while, and keeps sending
// it callers if too few other instances are left. So the instance accepts new
// connections until it exits. Once the balancer has had time to notice, the instance
// closes idle connections, so that callers send their requests elsewhere. It exits when no request is in flight and no
// connection was opened recently: a connection whose first packets were lost may
// still be on its way. If callers keep connecting, it stops accepting connections some
// time before its limit, so that the requests that it has read are answered by then.
//
// A request that may last longer than the stop is refused from the beginning of it, since nothing can be done
// for it at the end. Time limits say little of how long requests take, so until the balancer has
// noticed the stop, a request counts by what others of its route took of late.
//
// The decisions depend on their arguments only: equal progress gives the same action.
package drainer

import "time"

// Settings are the times of a planned stop, counted from its beginning.
type Settings struct {
	// BalancerNoticeDelay is the time after which the load balancer has noticed the stop
	// and sends callers to other instances, if there are any.
	BalancerNoticeDelay time.Duration
	// QuietWindow is how long no connection may have been opened before the instance
	// exits.
	QuietWindow time.Duration
	// StopTimeout is the time after which the instance exits even if requests are in
	// flight.
	StopTimeout time.Duration
	// AcceptMargin is how long before StopTimeout the instance stops accepting connections.
	AcceptMargin time.Duration
	// AnswerMargin is how long before StopTimeout the last answers must be complete.
	AnswerMargin time.Duration
}

// Progress is how far a planned stop has come.
type Progress struct {
	// Elapsed is the time since the stop began.
	Elapsed time.Duration
	// InFlight is the number of requests that have not been answered completely.
	InFlight int64
	// SinceLastConnection is the time since the last connection was opened.
	SinceLastConnection time.Duration
}

// Request is what is known of how long a request will take.
type Request struct {
	// TimeLeft is the time until its deadline.
	TimeLeft time.Duration
	// LongestOfRoute is how long the last requests of its route took at most; zero if that is unknown.
	LongestOfRoute time.Duration
	// RunsOnce is true if the request may run once only, so that it cannot be repeated after it was cut off.
	RunsOnce bool
}

// runOnceFactor is by how much a request that must run once may take longer than the last ones of its route.
const runOnceFactor = 4

// MayRun reports whether a request may begin to run: it will end before the stop does, or is expected to.
func (s Settings) MayRun(elapsed time.Duration, request Request) bool {
	left := s.StopTimeout - s.AnswerMargin - elapsed
	if request.TimeLeft <= left {
		return true
	}
	expected := request.LongestOfRoute
	if request.RunsOnce {
		expected *= runOnceFactor
	}

	return expected > 0 && expected <= left && elapsed < s.BalancerNoticeDelay
}

// Action is what a stopping instance does.
type Action int

// The actions, in the order in which they follow each other during a stop.
const (
	// Serve continues as before and asks callers to connect to other instances.
	Serve Action = iota
	// FinishRequests closes idle connections.
	FinishRequests
	// StopAccepting does the same and closes the listener.
	StopAccepting
	// Exit closes all connections and ends the process.
	Exit
)

// String returns the action's name for logs.
func (a Action) String() string {
	return [...]string{"serve", "finish", "stop accepting", "end"}[a]
}

// NextAction returns what the instance should do now.
func (s Settings) NextAction(p Progress) Action {
	switch {
	case p.Elapsed >= s.StopTimeout:
		return Exit
	case p.Elapsed < s.BalancerNoticeDelay:
		return Serve
	case p.InFlight == 0 && p.SinceLastConnection >= s.QuietWindow:
		return Exit
	case p.Elapsed >= s.StopTimeout-s.AcceptMargin:
		return StopAccepting
	}

	return FinishRequests
}
