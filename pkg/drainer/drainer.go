// Package drainer decides what an instance does during a planned stop.
//
// A load balancer notices a stopping instance only after a while, and keeps sending
// it callers if too few other instances are left. So the instance accepts new
// connections until it exits. Once the balancer has had time to notice, the instance
// closes idle connections and refuses requests that may last longer than the stop, so
// that callers send them elsewhere. It exits when no request is in flight and no
// connection was opened recently: a connection whose first packets were lost may
// still be on its way. If callers keep connecting, it stops accepting connections some
// time before its limit, so that the requests that it has read are answered by then.
//
// The decision depends on Settings and Progress only: equal progress gives the same
// action.
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

// Action is what a stopping instance does.
type Action int

// The actions, in the order in which they follow each other during a stop.
const (
	// Serve continues as before and asks callers to connect to other instances.
	Serve Action = iota
	// FinishRequests closes idle connections and accepts only requests that will end
	// before the stop does.
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
