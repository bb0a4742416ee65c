package retrier

import "github.com/oleanderpick/oleanderpick/pkg/answerer"

// known returns what is known about all tries so far.
func (f Failure) known(tries int) StartStatus {
	if tries <= 1 {
		return f.StartStatus
	}

	return f.StartStatus.Combine(f.EarlierStartStatus)
}

func stop(reason string, err *answerer.Error) Decision {
	return Decision{Action: Stop, Reason: reason, Error: err}
}

// proof is held by a request of which no try started. Only Started.proof
// returns one.
type proof struct{ held bool }

func (s StartStatus) proof() (proof, bool) {
	return proof{held: s.IsNotStarted()}, s.IsNotStarted()
}

// notRun is the only way to an answer of this package whose outcome is not
// run.
func notRun(p proof, kind answerer.Kind) *answerer.Error {
	if !p.held {
		return mayHaveRun(kind)
	}

	return answerer.New(kind, "The request was not run.")
}

// mayHaveRun returns an answer that never claims that the request did not
// run.
func mayHaveRun(kind answerer.Kind) *answerer.Error {
	if answerer.Lookup(kind).Outcome == answerer.NotRun {
		kind = answerer.KindUncertain
	}

	return answerer.New(kind, "The request may have run.")
}

// outcome returns the first kind if no try started, else the second.
func outcome(known StartStatus, ifNever, otherwise answerer.Kind) *answerer.Error {
	if p, ok := known.proof(); ok {
		return notRun(p, ifNever)
	}

	return mayHaveRun(otherwise)
}

// final returns the answer for a failure that a retry does not help.
func final(known StartStatus, kind answerer.Kind) *answerer.Error {
	return outcome(known, kind, kind)
}

// broken returns the answer for a stream that cannot go on.
func broken(failure Failure) *answerer.Error {
	if failure.PartlyDelivered {
		return answerer.New(answerer.KindTruncated, "The answer is not whole.")
	}

	return mayHaveRun(answerer.KindEndpointLost)
}

// brokenLate returns the answer for a stream whose time is up.
func brokenLate(failure Failure) *answerer.Error {
	if failure.PartlyDelivered {
		return broken(failure)
	}

	return mayHaveRun(answerer.KindTimeout)
}
