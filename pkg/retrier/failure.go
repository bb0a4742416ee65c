package retrier

import "github.com/oleanderpick/oleanderpick/pkg/answerer"

// StartStatus says whether an attempt started at its endpoint, as far as that is
// known. The zero value means that it may have started.
type StartStatus struct {
	state startState
}

type startState int8

const (
	stateUnknown startState = iota
	stateStarted
	stateNotStarted
)

// StartUnknown returns the status of an attempt that may have started: some of its
// bytes may have been sent.
func StartUnknown() StartStatus { return StartStatus{} }

// StartConfirmed returns the status of an attempt that started.
func StartConfirmed() StartStatus { return StartStatus{state: stateStarted} }

// NeverSent returns the status of an attempt of which this instance sent no
// byte, which proves that it did not start.
func NeverSent() StartStatus { return StartStatus{state: stateNotStarted} }

// ConfirmedNeverStarted returns the status of an attempt of which the endpoint
// confirmed that it did not start and never will.
func ConfirmedNeverStarted() StartStatus { return StartStatus{state: stateNotStarted} }

// IsNotStarted reports whether it is proved that the attempt did not start.
func (s StartStatus) IsNotStarted() bool { return s.state == stateNotStarted }

// Combine returns the status of two attempts of a request together: started if one
// of them started, not started if neither did, else unknown.
func (s StartStatus) Combine(other StartStatus) StartStatus {
	if s.state == stateStarted || other.state == stateStarted {
		return StartConfirmed()
	}
	if s.IsNotStarted() && other.IsNotStarted() {
		return s
	}

	return StartUnknown()
}

// Failure describes an attempt that got no complete answer.
type Failure struct {
	// Kind is the kind of the failure. The error for the caller has this kind
	// unless another describes the request better.
	Kind answerer.Kind
	// StartStatus is the start status of this attempt.
	StartStatus StartStatus
	// EarlierStartStatus is the combined start status of the attempts before this one. It
	// is ignored for the first attempt.
	EarlierStartStatus StartStatus
	// Idempotent reports whether the request may safely run twice.
	Idempotent bool
	// PartlyDelivered reports whether part of the answer was sent to the caller.
	PartlyDelivered bool
	// Resumable reports whether the endpoint may still hold the stream.
	Resumable bool
	// Endpoint is the name of the endpoint that failed.
	Endpoint string
}
