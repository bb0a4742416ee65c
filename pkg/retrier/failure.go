package retrier

import "github.com/oleanderpick/oleanderpick/pkg/answerer"

// Started says whether an attempt started at its endpoint, as far as that is
// known. The zero value means that it may have started.
type Started struct {
	state startState
}

type startState int8

const (
	stateUnknown startState = iota
	stateStarted
	stateNotStarted
)

// Maybe returns the status of an attempt that may have started: some of its
// bytes may have been sent.
func Maybe() Started { return Started{} }

// Yes returns the status of an attempt that started.
func Yes() Started { return Started{state: stateStarted} }

// NeverHandedOver returns the status of an attempt of which this instance sent no
// byte, which proves that it did not start.
func NeverHandedOver() Started { return Started{state: stateNotStarted} }

// ConfirmedNeverStarted returns the status of an attempt of which the endpoint
// confirmed that it did not start and never will.
func ConfirmedNeverStarted() Started { return Started{state: stateNotStarted} }

// Never reports whether it is proved that the attempt did not start.
func (s Started) Never() bool { return s.state == stateNotStarted }

// Join returns the status of two attempts of a request together: started if one
// of them started, not started if neither did, else unknown.
func (s Started) Join(other Started) Started {
	if s.state == stateStarted || other.state == stateStarted {
		return Yes()
	}
	if s.Never() && other.Never() {
		return s
	}

	return Maybe()
}

// Failure describes an attempt that got no complete answer.
type Failure struct {
	// Kind is the kind of the failure. The error for the caller has this kind
	// unless another describes the request better.
	Kind answerer.Kind
	// Started is the start status of this attempt.
	Started Started
	// Earlier is the combined start status of the attempts before this one. It
	// is ignored for the first attempt.
	Earlier Started
	// Idempotent reports whether the request may safely run twice.
	Idempotent bool
	// BytesToCaller reports whether part of the answer was sent to the caller.
	BytesToCaller bool
	// Resumable reports whether the endpoint may still hold the stream.
	Resumable bool
	// Endpoint is the name of the endpoint that failed.
	Endpoint string
}
