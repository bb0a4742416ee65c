package controller

import (
	"slices"
	"strconv"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

// The methods in this file must be called on the control goroutine.

// addRequest puts a new request into the queue, or refuses it.
func (c *Controller) addRequest(now time.Time, state *requestState) {
	c.lastID++
	state.id = c.lastID
	if err := c.checkAdmission(now, state); err != nil {
		state.results <- placementResult{err: err}

		return
	}

	state.totalTokens = state.request.PromptTokens + c.tokensToReserve(now, state.request)
	c.requests[state.id] = state
	c.enqueue(now, state)
}

func (c *Controller) checkAdmission(now time.Time, state *requestState) error {
	if c.stopping {
		return answerer.New(answerer.KindStopping, "This instance is stopping; ask another.")
	}
	if len(c.endpointsByLane[state.request.lane()]) == 0 {
		return answerer.New(answerer.KindNoEndpoint, "No endpoint serves this at present.")
	}
	if ok, wait := c.limiter.Admit(now, state.request.Workspace); !ok {
		return answerer.New(answerer.KindLimited, "The workspace is over its limit of requests.").WithRetryAfter(wait)
	}

	return nil
}

// tokensToReserve returns the number of tokens to reserve for the answer.
func (c *Controller) tokensToReserve(now time.Time, request Request) int {
	policy := c.settings.Policy
	if policy.UseKnownLengths && request.KnownAnswerTokens > 0 {
		return request.KnownAnswerTokens
	}
	if policy.ReserveTokenLimit && request.MaxAnswerTokens > 0 {
		return request.MaxAnswerTokens
	}
	if request.Model == "" {
		return 1
	}

	return c.estimator.Estimate(now, request.estimatorKey(), request.MaxAnswerTokens).TokensToReserve
}

func (c *Controller) enqueue(now time.Time, state *requestState) {
	state.isPlaced = false
	for _, refusal := range c.scheduler.Enqueue(now, c.schedulerRequestByPolicy(state)) {
		c.refuse(refusal)
	}
}

// schedulerRequestByPolicy returns the request as the scheduler gets it. Under
// Policy.FirstComeFirstServed, tier, class and workspace are left out.
func (c *Controller) schedulerRequestByPolicy(state *requestState) scheduler.Request {
	request := state.schedulerRequest()
	if c.settings.Policy.FirstComeFirstServed {
		request.Tier = 0
		request.Class = ""
		request.Workspace = ""
	}

	return request
}

func (c *Controller) refuse(refusal scheduler.Refusal) {
	state, ok := c.requests[refusal.ID]
	if !ok {
		return
	}
	c.removeRequest(state)
	err := answerer.New(refusal.Kind, refusalMessage(refusal.Kind)).WithRetryAfter(refusal.RetryAfter)
	state.results <- placementResult{err: err}
}

func refusalMessage(kind answerer.Kind) string {
	switch kind {
	case answerer.KindExpired:
		return "The deadline passed while the request waited."
	case answerer.KindEvicted:
		return "The request gave its place to a higher tier."
	case answerer.KindHopeless:
		return "The request cannot be served in time."
	default:
		return "Too many requests wait."
	}
}

// removeRequest forgets a request that has ended and frees its place in the workspace's
// limit.
func (c *Controller) removeRequest(state *requestState) {
	if _, ok := c.requests[state.id]; !ok {
		return
	}
	delete(c.requests, state.id)
	c.limiter.Release(state.request.Workspace)
}

// dispatch places waiting requests on endpoints with free capacity.
func (c *Controller) dispatch(now time.Time) {
	tryPlace := func(request scheduler.Request) bool {
		return c.tryPlace(now, request.ID)
	}
	for _, request := range c.scheduler.Dispatch(now, tryPlace) {
		state := c.requests[request.ID]
		if !state.isPlaced {
			c.holdOrRefuse(now, state)
			continue
		}
		state.results <- placementResult{placement: Placement{
			ID:       state.id,
			Endpoint: state.endpoint,
			Address:  c.endpoints[state.endpoint].Address,
			Attempt:  state.attempts,
		}}
	}
}

// tryPlace reports whether the request leaves the scheduler's queue, because it has been
// placed on an endpoint, may not run, or has already ended.
func (c *Controller) tryPlace(now time.Time, id uint64) bool {
	state, ok := c.requests[id]
	if !ok {
		return true
	}
	if !state.hasVerdict {
		state.hasVerdict = true
		state.blockVerdict = c.isolator.Decide(now, state.request.Blocks)
		state.verdict = quarantiner.Quarantined
		if state.blockVerdict != isolator.Quarantined {
			state.verdict = c.quarantiner.Decide(now, state.request.Fingerprint)
		}
	}
	if state.verdict == quarantiner.Quarantined {
		// The request leaves the queue; dispatch then holds or refuses it.
		return true
	}

	return c.assignEndpoint(now, state)
}

// holdOrRefuse handles a request that may not run because of its quarantine. While a copy
// of it is on trial, the request is held until the trial ends; otherwise it is refused.
func (c *Controller) holdOrRefuse(now time.Time, state *requestState) {
	c.scheduler.Finish(now, state.id, 0)
	if state.blockVerdict != isolator.Quarantined && c.quarantiner.IsOnTrial(now, state.request.Fingerprint) {
		c.heldRequests = append(c.heldRequests, state)

		return
	}
	c.removeRequest(state)
	kind := answerer.KindQuarantined
	if state.attempts > 0 {
		kind = answerer.KindEndpointLost
	}
	isBlock := state.blockVerdict == isolator.Quarantined
	c.logger.Info("Refused by the quarantine.", "request", state.id, "workspace", state.request.Workspace, "because of a block", isBlock,
		"blocks", isolator.FormatBlocks(state.request.Blocks), "fingerprint", strconv.FormatUint(state.request.Fingerprint, 16), "attempts", state.attempts)
	message := "This request crashed endpoints and is quarantined."
	if isBlock {
		message = "Requests with one of these messages crashed endpoints and are quarantined."
	}
	state.results <- placementResult{err: answerer.New(kind, message)}
}

// requeueHeldRequests puts held requests back into the queue when the trial of their
// copy is over, and refuses those whose deadline has passed.
func (c *Controller) requeueHeldRequests(now time.Time) {
	held := c.heldRequests
	c.heldRequests = nil
	for _, state := range held {
		_, isPending := c.requests[state.id]
		switch {
		case !isPending:
		case !now.Before(state.request.Deadline):
			c.refuseExpired(state)
		case c.quarantiner.IsOnTrial(now, state.request.Fingerprint):
			c.heldRequests = append(c.heldRequests, state)
		default:
			state.hasVerdict = false
			c.scheduler.Requeue(now, c.schedulerRequestByPolicy(state))
		}
	}
}

// refuseExpired refuses a held request whose deadline has passed.
func (c *Controller) refuseExpired(state *requestState) {
	c.removeRequest(state)
	kind := answerer.KindExpired
	if state.attempts > 0 {
		kind = answerer.KindTimeout
	}
	state.results <- placementResult{err: answerer.New(kind, refusalMessage(answerer.KindExpired))}
}

// assignEndpoint places the request on an endpoint with free capacity. It returns false
// if there is none.
func (c *Controller) assignEndpoint(now time.Time, state *requestState) bool {
	request := state.balancerRequest()
	choice, ok := c.picker.Pick(now, request, func(endpoint string, slots, tokens int) bool {
		return c.borrower.HasCapacity(now, endpoint, slots, tokens)
	})
	if !ok || !c.borrower.Acquire(now, state.id, choice.Endpoint, state.totalTokens) {
		c.lacksCapacity = true

		return false
	}

	c.picker.RecordStart(now, state.id, choice.Endpoint, request)
	state.isPlaced, state.hasBegun = true, false
	state.endpoint = choice.Endpoint
	state.attempts++
	if state.attempts == 1 {
		c.retrier.RecordFirstAttempt(now, state.request.Class, choice.Endpoint)
	}
	if choice.CrossDataCentre {
		c.meter.Add("placements.remote", 1)
	}
	c.meter.Add("placements.all", 1)

	return true
}

// recordProgress records the answer tokens received so far. Once the answer exceeds the
// reserved tokens, it reserves more.
func (c *Controller) recordProgress(now time.Time, state *requestState, receivedTokens int) {
	if !state.isPlaced {
		return
	}
	state.hasBegun = true
	c.picker.RecordProgress(now, state.id, receivedTokens)
	delete(c.downEndpoints, state.endpoint)
	if state.request.PromptTokens+receivedTokens <= state.totalTokens {
		return
	}
	remaining := c.estimator.Remaining(now, state.request.estimatorKey(), state.request.MaxAnswerTokens, receivedTokens)
	state.totalTokens = state.request.PromptTokens + receivedTokens + max(1, remaining.TokensToReserve)
	c.borrower.IncreaseTokens(now, state.id, state.totalTokens)
}

// releaseEndpoint ends the request's attempt at its endpoint and frees the capacity.
func (c *Controller) releaseEndpoint(now time.Time, state *requestState, result balancer.Result) {
	if !state.isPlaced {
		return
	}
	state.isPlaced = false
	c.picker.RecordEnd(now, state.id, result)
	c.borrower.Release(now, state.id)
}

// finishRequest ends a request with the result of its last attempt and the length of its
// answer.
func (c *Controller) finishRequest(now time.Time, state *requestState, result balancer.Result, answerTokens int) {
	if _, ok := c.requests[state.id]; !ok {
		return
	}
	if result == balancer.Finished && state.request.Model != "" {
		c.estimator.Observe(now, state.request.estimatorKey(), answerTokens)
		c.quarantiner.RecordCompletion(now, state.request.Fingerprint)
		c.isolator.RecordCompletion(now, state.request.Blocks)
	}
	c.releaseEndpoint(now, state, result)
	c.scheduler.Finish(now, state.id, state.request.PromptTokens+answerTokens)
	c.removeRequest(state)
}

// cancelRequest removes a request whose caller disconnected before it received the
// placement.
func (c *Controller) cancelRequest(now time.Time, state *requestState) {
	if state.isPlaced {
		c.finishRequest(now, state, balancer.Canceled, 0)

		return
	}
	c.scheduler.Cancel(now, state.id)
	c.removeRequest(state)
}

// handleFailure decides what to do after a failed attempt. Unless the attempt is resumed,
// it ends the attempt, and the request too if it is not retried.
func (c *Controller) handleFailure(now time.Time, state *requestState, failure retrier.Failure, answerTokens int) retrier.Decision {
	failure.Endpoint = state.endpoint
	decision := c.retrier.Decide(now, state.request.Class, state.attempts, failure, state.request.Deadline)
	c.meter.Add(decision.Reason, 1)
	if decision.Action == retrier.Resume {
		return decision
	}

	result := balancer.Failed
	if failure.StartStatus.IsNotStarted() {
		result = balancer.Refused
	}
	endpointCrashed := failure.Kind == answerer.KindEndpointLost && !failure.StartStatus.IsNotStarted()
	if isNewCrash := endpointCrashed && c.recordCrash(now, state.endpoint); isNewCrash || state.verdict != quarantiner.Suspect {
		// The quarantine decides again before the next attempt. A suspect whose attempt
		// failed without a new crash keeps its verdict, and so its one trial.
		state.hasVerdict = false
	}
	if decision.Action == retrier.Stop {
		c.finishRequest(now, state, result, answerTokens)

		return decision
	}
	state.triedEndpoints = append(state.triedEndpoints, state.endpoint)
	c.releaseEndpoint(now, state, result)

	return decision
}

// recordCrash records an endpoint's crash in the quarantine, with the requests that were
// running there, and returns whether the crash is new. Each crash is recorded once:
// requests that reach the endpoint while it is still down did not crash it. The peers
// are informed at once, because a caller may send the request again to any of them.
func (c *Controller) recordCrash(now time.Time, endpoint string) bool {
	if c.downEndpoints[endpoint] {
		return false
	}
	c.downEndpoints[endpoint] = true
	var fingerprints []uint64
	var prompts []isolator.Prompt
	for _, state := range c.requests {
		if !state.isPlaced || state.endpoint != endpoint {
			continue
		}
		fingerprints = append(fingerprints, state.request.Fingerprint)
		prompts = append(prompts, isolator.Prompt{Blocks: state.request.Blocks, HasBegun: state.hasBegun})
	}
	if len(fingerprints) == 0 {
		return true
	}
	c.quarantiner.RecordCrash(now, endpoint, fingerprints)
	c.isolator.RecordCrash(now, now, endpoint, prompts)
	c.logCrash(now, endpoint, prompts)
	select {
	case c.crashAlerts <- struct{}{}:
	default:
	}

	return true
}

// logCrash logs a crash with the blocks of the requests that were running there, and the
// blocks that are in quarantine now.
func (c *Controller) logCrash(now time.Time, endpoint string, prompts []isolator.Prompt) {
	unbegunBlocks, begunBlocks := isolator.BlocksByProgress(prompts)
	causes := slices.Concat(c.isolator.Causes(now)...)
	c.logger.Warn("Endpoint crashed.", "endpoint", endpoint, "requests there", len(prompts), "blocks of unbegun answers", isolator.FormatBlocks(unbegunBlocks),
		"blocks of begun answers", isolator.FormatBlocks(begunBlocks), "blocks in quarantine", isolator.FormatBlocks(causes))
}

// requeue puts a request whose attempt failed back into the queue.
func (c *Controller) requeue(now time.Time, state *requestState) {
	if _, ok := c.requests[state.id]; !ok {
		return
	}
	c.scheduler.Requeue(now, c.schedulerRequestByPolicy(state))
}
