package relayer

import (
	"context"
	"hash/fnv"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// attempt is one sending of a request to an endpoint, or to a peer.
type attempt struct {
	// isPeer is true if the request goes to a peer. The placement is then the peer's address.
	isPeer     bool
	placement  dispatcher.Placement
	connection *connector.Connection
	sentAt     time.Time
	response   *http.Response
	// answeredID is the ID of the request that the response names, and requestNumber the number of
	// requests that were sent on the connection by then.
	answeredID    string
	requestNumber int
	// endpointLoad is the load that the endpoint stated in its response; nil if none.
	endpointLoad *EndpointLoad
	// rateLimit is the limit that the endpoint stated in its response; nil if none.
	rateLimit *RateLimit
	// version is that of the endpoint's software; empty if it is unknown or not needed.
	version string
	// hasBegun is true once a whole event of the answer came from the endpoint.
	hasBegun bool
	// answered is true once the caller has the final answer.
	answered bool
	// mayHaveRun is true if the endpoint may have run the request.
	mayHaveRun    bool
	result        placer.Result
	stallDetector *stallDetector
	// completedBlocks are the shared blocks of the prompt if the whole answer came.
	completedBlocks []uint64
	// crashCheck is a check whether the endpoint crashed; nil if there was no reason for one.
	crashCheck *crashCheck
	// failureCause is why there is no answer to forward; nil if there is one.
	failureCause error
}

// endpointFailure is an endpoint's answer with a 5xx status. It is forwarded if no
// other attempt gets a better answer.
type endpointFailure struct {
	status int
	header http.Header
	body   []byte
}

// silenceTimeout is the silence after which an endpoint may count as failed. Nearly all
// answers of a healthy endpoint begin within this time.
const silenceTimeout = time.Second

// relay sends the request to one endpoint after another until it has its final answer.
func (r *relayedRequest) relay(ctx context.Context) {
	for first := true; ; first = false {
		if r.isQuarantined() {
			r.finishQuarantined(ctx)

			return
		}
		if r.refuseIfStopping() {
			return
		}
		if r.shouldPassOn() {
			switch r.passOn(ctx) {
			case answered:
				return
			case mayRepeat:
				continue
			case notTaken:
			}
		}
		placement, ok := r.relayer.dispatcher.Place(ctx, r.placementRequest, first)
		if !ok && placement.IsRegistryOld {
			r.finishOnOldRegistry(ctx, placement.RegistryAge)

			return
		}
		if !ok {
			r.finishUnplaced(ctx, placement.RetryAfter)

			return
		}
		if placement.RetryAfter > 0 {
			r.logSharing(placement)
			r.logPostponed(placement)
			r.refuse(answerer.New(answerer.KindHopeless, "The prompt backlog of the engines is too long.").WithRetryAfter(placement.RetryAfter))

			return
		}
		r.logSharing(placement)
		r.logPlaced(placement)
		if a := r.makeAttempt(ctx, placement); a.answered || !r.retryOrFinish(ctx, a) {
			return
		}
	}
}

// finishQuarantined ends a request whose prompt has a block that crashes endpoints.
func (r *relayedRequest) finishQuarantined(ctx context.Context) {
	kind := answerer.KindHeldBack
	if r.mayHaveRun {
		kind = answerer.KindUncertain
	}
	r.finishUnanswered(ctx, kind, quarantineRetryAfter)
}

// finishUnplaced ends a request for which there is no endpoint. If that is because the
// endpoints have reached their limits, retryAfter is the time until one may get a request
// again.
func (r *relayedRequest) finishUnplaced(ctx context.Context, retryAfter time.Duration) {
	r.relayer.logger.Info("No endpoint may take the request.", "request", r.metadata.ID, "service", r.placementRequest.Service, "may have run", r.mayHaveRun,
		"tier", r.placementRequest.Tier, "limited for ms", retryAfter.Milliseconds())
	kind := answerer.KindNoEndpoint
	switch {
	case r.mayHaveRun:
		kind = answerer.KindUncertain
	case retryAfter > 0:
		kind = answerer.KindEndpointsLimited
	}
	r.finishUnanswered(ctx, kind, max(capacityRetryAfter, retryAfter))
}

// finishOnOldRegistry ends a request that may go to no endpoint because the registry is too old.
// Another instance may know a newer one.
func (r *relayedRequest) finishOnOldRegistry(ctx context.Context, age time.Duration) {
	r.relayer.logger.Info("The registry is too old to choose an endpoint.", "request", r.metadata.ID, "service", r.placementRequest.Service,
		"registry ms", age.Milliseconds(), "may have run", r.mayHaveRun)
	kind := answerer.KindStoreDown
	if r.mayHaveRun {
		kind = answerer.KindUncertain
	}
	if !r.answerStarted {
		r.w.Header().Set("Connection", "close")
	}
	r.finishUnanswered(ctx, kind, reconnectRetryAfter)
}

// logPostponed logs the placer's estimates by which the request was postponed.
func (r *relayedRequest) logPostponed(placement dispatcher.Placement) {
	r.relayer.logger.Info("Postponed.", "request", r.metadata.ID, "route", r.route.Name, "service", r.placementRequest.Service,
		"best endpoint", placement.EndpointID, "expected ms", placement.ExpectedTimeToFirstToken.Milliseconds(), "target ms", r.placementRequest.TargetTimeToFirstToken.Milliseconds(),
		"prompt", r.placementRequest.PromptTokens, "fresh", placement.UncachedTokens, "tier", r.forwarding.Tier, "known running", placement.KnownLoad.RunningRequests,
		"known pending", placement.KnownLoad.PendingTokens, "border", placement.Split, "engines", placement.EngineCount)
}

// makeAttempt makes one attempt and reports its result to the dispatcher, also if the
// attempt panics to close the caller's connection.
func (r *relayedRequest) makeAttempt(ctx context.Context, placement dispatcher.Placement) *attempt {
	a := &attempt{placement: placement}
	defer func() { r.relayer.dispatcher.RecordResult(placement, a.result, a.completedBlocks) }()
	r.sendAndReceive(ctx, a)

	return a
}

// logPlaced logs the chosen endpoint and the estimates by which it was chosen.
func (r *relayedRequest) logPlaced(placement dispatcher.Placement) {
	fields := append(paceFields(placement),
		"request", r.metadata.ID, "route", r.route.Name, "workspace", r.forwarding.Workspace,
		"tier", r.forwarding.Tier, "route tier", r.route.Tier, "service", r.placementRequest.Service, "endpoint", placement.EndpointID, "version", placement.Version, "resumes", r.metadata.ResumedRequestID, "after event", r.continuedAfter(), "remote", placement.InOtherDataCentre, "prompt", r.placementRequest.PromptTokens,
		"fresh", placement.UncachedTokens, "copied from", placement.CacheSourceAddress, "long", placement.IsLongPrompt, "border", placement.Split, "engines", placement.EngineCount,
		"expected ms", placement.ExpectedTimeToFirstToken.Milliseconds(), "known running", placement.KnownLoad.RunningRequests,
		"known pending", placement.KnownLoad.PendingTokens, "tries before", r.possibleRuns+r.refusals+r.unsentAttempts,
		"configuration", r.matcher.Number(), "registry ms", placement.RegistryAge.Milliseconds(), "left ms", time.Until(r.deadline).Milliseconds())
	r.relayer.logger.Info("Placed.", fields...)
	r.countCrossing(placement)
	r.relayer.meter.RecordDuration("registry-age", placement.RegistryAge)
}

// retryOrFinish counts a failed attempt and reports whether another one may follow. If
// not, it gives the caller the final answer.
func (r *relayedRequest) retryOrFinish(ctx context.Context, a *attempt) bool {
	wasSent := !a.sentAt.IsZero()
	switch {
	case a.mayHaveRun:
		r.possibleRuns++
		r.mayHaveRun = true
	case wasSent:
		r.refusals++
	default:
		r.unsentAttempts++
	}
	r.placementRequest.AvoidEndpoints = append(r.placementRequest.AvoidEndpoints, a.placement.EndpointID)
	history := retrier.AttemptHistory{
		MayHaveRun:     r.mayHaveRun,
		Repeatable:     r.route.CanRepeat(),
		PossibleRuns:   r.possibleRuns,
		MaxRuns:        r.route.MaxRuns,
		Refusals:       r.refusals,
		UnsentAttempts: r.unsentAttempts,
		RemainingTime:  time.Until(r.deadline),
	}
	reason := retrier.ReasonDeadline
	switch {
	case r.hasCallerLeft():
		reason = retrier.ReasonCallerLeft
	case isKeyInvalid(a.failureCause) && !r.mayHaveRun:
		reason = retrier.ReasonNotRetryable
	case !r.canGoOn():
		reason = retrier.ReasonNotResumable
	case r.isBlockedRepeat(ctx, a):
		reason = retrier.ReasonQuarantined
	case errors.Is(a.failureCause, errStalled):
		reason = retrier.ReasonNone // The stall detector has taken the repeat from the limit.
	case ctx.Err() == nil:
		reason = r.relayer.dispatcher.TakeRepeat(r.placementRequest.Service, history, wasSent)
	}
	r.relayer.logger.Info("Attempt failed.", "request", r.metadata.ID, "route", r.route.Name, "endpoint", a.placement.EndpointID,
		"result", a.result.String(), "endpoint load", a.endpointLoad.String(), "endpoint limit", a.rateLimit.String(), "known running", a.placement.KnownLoad.RunningRequests, "may have run", a.mayHaveRun, "begun", r.answerStarted, "begun there", a.hasBegun, "blocks", isolator.FormatBlocks(r.metadata.SharedBlocks()), "runs", r.possibleRuns, "refusals", r.refusals, "unsent", r.unsentAttempts,
		"cause", causeText(a.failureCause), "decision", decisionName(reason))
	r.logAnswer(a)
	r.relayer.meter.CountRetryDecision(decisionName(reason))
	if reason == retrier.ReasonNone {
		return true
	}
	r.finishUnanswered(ctx, r.finalErrorKind(a), capacityRetryAfter)

	return false
}

// logAnswer logs what a failed attempt's answer states, and how far that can be trusted.
func (r *relayedRequest) logAnswer(a *attempt) {
	if a.response == nil {
		return
	}
	r.relayer.logger.Info("Answer was not used.", "request", r.metadata.ID, "endpoint", a.placement.EndpointID, "status", a.response.StatusCode,
		"answer to", a.answeredID, "length", a.response.ContentLength, "address", a.placement.Address, "connection", a.connection.Number(), "requests on connection", a.requestNumber, "may have run", a.mayHaveRun, "ms", time.Since(a.sentAt).Milliseconds(), "cause", causeText(a.failureCause))
	r.relayer.meter.Add("answers.unused", 1)
}

// decisionName returns the name for logs and counters of a reason not to repeat, or of
// the repeat if there is none.
func decisionName(reason string) string {
	if reason == retrier.ReasonNone {
		return retrier.ReasonRetry
	}

	return reason
}

// causeText returns the text of an error for logs; nil stands for an answer.
func causeText(err error) string {
	if err == nil {
		return "answer"
	}

	return err.Error()
}

// finalErrorKind returns the kind of error for the caller when no attempt may follow.
func (r *relayedRequest) finalErrorKind(a *attempt) answerer.Kind {
	deadlinePassed := !time.Now().Before(r.deadline)
	switch {
	case errors.Is(a.failureCause, errStaleConfiguration) && !r.mayHaveRun:
		return answerer.KindStoreDown
	case errors.Is(a.failureCause, errRevokedKey) && !r.mayHaveRun:
		return answerer.KindUnauthorized
	case r.mayHaveRun && deadlinePassed:
		return answerer.KindTimeout
	case r.mayHaveRun:
		return answerer.KindUncertain
	case deadlinePassed:
		return answerer.KindExpired
	default:
		return answerer.KindRefusedByEndpoint
	}
}

// isKeyInvalid reports whether an attempt was not sent since the caller's API key may not pass.
func isKeyInvalid(cause error) bool {
	return errors.Is(cause, errStaleConfiguration) || errors.Is(cause, errRevokedKey)
}

// failAttempt records an attempt without an answer to forward and closes its connection.
func (r *relayedRequest) failAttempt(ctx context.Context, a *attempt, cause error) {
	a.failureCause = cause
	a.result = placer.Failed
	stalled := errors.Is(context.Cause(ctx), errStalled)
	switch {
	case stalled:
		a.failureCause = errStalled
	case isKeyInvalid(cause):
		a.result = placer.Canceled
	case ctx.Err() != nil && !r.isEndpointSilent(a):
		a.result = placer.Canceled
	}
	if a.result == placer.Failed && !a.isPeer {
		r.reportIfSilent(a, cause)
	}
	if a.connection != nil {
		a.connection.Close()
	}
	if a.mayHaveRun && !a.isPeer && a.result == placer.Failed && (!stalled || r.route.Kind == matcher.Streaming) {
		r.reportBrokenAnswer(a, stalled || r.isEndpointSilent(a))
	}
}

// reportIfSilent reports that the endpoint may be out of reach if it does not acknowledge what was
// sent or is silent. Idle connections to it may be dead too then, so they are closed.
func (r *relayedRequest) reportIfSilent(a *attempt, cause error) {
	if errors.Is(cause, syscall.ETIMEDOUT) || r.isEndpointSilent(a) {
		r.relayer.reach.reportUnreachable(r.placementRequest.Service, a.placement.EndpointID)
		r.relayer.connections.CloseIdle(a.placement.Address)
	}
}

// isEndpointSilent reports whether the endpoint has sent nothing on any request for so
// long that it counts as failed, although the caller has disconnected or the deadline
// has passed.
func (r *relayedRequest) isEndpointSilent(a *attempt) bool {
	lastActivity := a.sentAt
	if r.lastEventAt.After(lastActivity) {
		lastActivity = r.lastEventAt
	}
	silence := time.Since(lastActivity)

	return a.mayHaveRun && !a.isPeer && silence >= silenceTimeout && r.relayer.dispatcher.SinceLastActivity(a.placement) >= silence
}

// fingerprint returns a hash of the request and its workspace. Identical requests of a
// workspace have the same fingerprint.
func (r *relayedRequest) fingerprint() uint64 {
	hash := fnv.New64a()
	for _, field := range []string{r.incoming.Method, r.incoming.Host, r.incoming.RequestURI, r.forwarding.Workspace} {
		_, _ = hash.Write([]byte(field))
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(r.body)

	return hash.Sum64()
}
