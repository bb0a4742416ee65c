package retrier

import "github.com/oleanderpick/oleanderpick/pkg/answerer"

// StartStatus is what is known about whether a try started at its endpoint. The
// zero value says that it may have.
type StartStatus struct {
	state startState
}

type startState int8

const (
	startMaybe startState = iota
	startYes
	startNever
)

// StartUnknown returns that a byte may have left.
func StartUnknown() StartStatus { return StartStatus{} }

// StartConfirmed returns that the try started.
func StartConfirmed() StartStatus { return StartStatus{state: startYes} }

// NeverSent returns the proof that no byte of the try left this
// instance.
func NeverSent() StartStatus { return StartStatus{state: startNever} }

// ConfirmedNeverStarted returns the proof that the endpoint answered that the
// try never started and never will.
func ConfirmedNeverStarted() StartStatus { return StartStatus{state: startNever} }

// IsNotStarted says whether the try is proved not to have started.
func (s StartStatus) IsNotStarted() bool { return s.state == startNever }

// Combine returns what is known about two tries of a request together.
func (s StartStatus) Combine(other StartStatus) StartStatus {
	if s.state == startYes || other.state == startYes {
		return StartConfirmed()
	}
	if s.IsNotStarted() && other.IsNotStarted() {
		return s
	}

	return StartUnknown()
}

// Failure is a try that got no complete answer.
type Failure struct {
	// Kind is why, for the answer when nothing more is known.
	Kind answerer.Kind
	// StartStatus is what is known about this try.
	StartStatus StartStatus
	// EarlierStartStatus is what is known about the tries before it, joined; it counts
	// from the second try on.
	EarlierStartStatus StartStatus
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
	// PartlyDelivered says that a part of the answer went to the caller.
	PartlyDelivered bool
	// Resumable says that the endpoint may still have the stream.
	Resumable bool
	// Endpoint is the endpoint that failed.
	Endpoint string
}
