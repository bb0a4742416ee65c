package retrier

import "github.com/oleanderpick/oleanderpick/pkg/answerer"

// combinedStartStatus returns the start status of all attempts so far together.
// attempts is their number.
func (f Failure) combinedStartStatus(attempts int) StartStatus {
	if attempts <= 1 {
		return f.StartStatus
	}

	return f.StartStatus.Combine(f.EarlierStartStatus)
}

// stopDecision returns the decision to stop and answer the caller with err.
func stopDecision(reason string, err *answerer.Error) Decision {
	return Decision{Action: Stop, Reason: reason, Error: err}
}

// notStartedProof proves, if valid, that no attempt of a request started. Only
// proveNotStarted returns a valid one.
type notStartedProof struct{ valid bool }

// proveNotStarted returns the proof that no attempt started, and whether it is
// valid.
func (s StartStatus) proveNotStarted() (notStartedProof, bool) {
	return notStartedProof{valid: s.IsNotStarted()}, s.IsNotStarted()
}

// notRunError returns an error of the given kind, which may have the outcome
// "not run". No other function of this package returns an error with that
// outcome, so that none is returned without a proof.
func notRunError(proof notStartedProof, kind answerer.Kind) *answerer.Error {
	if !proof.valid {
		return mayHaveRunError(kind)
	}

	return answerer.New(kind, "The request was not run.")
}

// mayHaveRunError returns an error of the given kind. A kind whose outcome is
// "not run" is replaced, because nothing proves that outcome.
func mayHaveRunError(kind answerer.Kind) *answerer.Error {
	if answerer.Lookup(kind).Outcome == answerer.NotRun {
		kind = answerer.KindUncertain
	}

	return answerer.New(kind, "The request may have run.")
}

// errorForStartStatus returns an error of kind ifNotStarted if it is proved that
// no attempt started, else one of kind otherwise.
func errorForStartStatus(status StartStatus, ifNotStarted, otherwise answerer.Kind) *answerer.Error {
	if proof, ok := status.proveNotStarted(); ok {
		return notRunError(proof, ifNotStarted)
	}

	return mayHaveRunError(otherwise)
}

// notRetryableError returns the error for a kind of failure that is not retried.
func notRetryableError(status StartStatus, kind answerer.Kind) *answerer.Error {
	return errorForStartStatus(status, kind, kind)
}

// brokenStreamError returns the error for a broken stream that is not resumed.
func brokenStreamError(failure Failure) *answerer.Error {
	if failure.PartlyDelivered {
		return answerer.New(answerer.KindTruncated, "The answer is not whole.")
	}

	return mayHaveRunError(answerer.KindEndpointLost)
}

// lateStreamError returns the error for a broken stream whose deadline comes
// before it could be resumed.
func lateStreamError(failure Failure) *answerer.Error {
	if failure.PartlyDelivered {
		return brokenStreamError(failure)
	}

	return mayHaveRunError(answerer.KindTimeout)
}
