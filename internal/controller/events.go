package controller

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

// The functions of this file run on the control goroutine.

func (c *Controller) enqueue(now time.Time, e *entry) {
	c.last++
	e.id = c.last
	if err := c.admissible(now, e); err != nil {
		e.answers <- answer{err: err}

		return
	}

	e.tokens = e.request.PromptTokens + c.reserve(now, e.request)
	c.entries[e.id] = e
	c.queue(now, e)
}

func (c *Controller) admissible(now time.Time, e *entry) error {
	if c.stopping {
		return answerer.New(answerer.KindStopping, "This instance is stopping; ask another.")
	}
	if len(c.lanes[e.request.lane()]) == 0 {
		return answerer.New(answerer.KindNoEndpoint, "No endpoint serves this at present.")
	}
	if ok, wait := c.limiter.Admit(now, e.request.Workspace); !ok {
		return answerer.New(answerer.KindLimited, "The workspace is over its limit of requests.").WithRetryAfter(wait)
	}

	return nil
}

// reserve returns the tokens to hold for the answer.
func (c *Controller) reserve(now time.Time, request Request) int {
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

	return c.estimator.Estimate(now, request.key(), request.MaxAnswerTokens).TokensToReserve
}

func (c *Controller) queue(now time.Time, e *entry) {
	e.placed = false
	for _, refusal := range c.scheduler.Enqueue(now, c.asWaiting(e)) {
		c.refuse(refusal)
	}
}

func (c *Controller) asWaiting(e *entry) scheduler.Request {
	request := e.waiting()
	if c.settings.Policy.FirstComeFirstServed {
		request.Tier = 0
		request.Class = ""
		request.Workspace = ""
	}

	return request
}

func (c *Controller) refuse(refusal scheduler.Refusal) {
	e, ok := c.entries[refusal.ID]
	if !ok {
		return
	}
	c.forget(e)
	err := answerer.New(refusal.Kind, refusalMessage(refusal.Kind)).WithRetryAfter(refusal.RetryAfter)
	e.answers <- answer{err: err}
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

func (c *Controller) forget(e *entry) {
	if _, ok := c.entries[e.id]; !ok {
		return
	}
	delete(c.entries, e.id)
	c.limiter.Release(e.request.Workspace)
}

func (c *Controller) dispatch(now time.Time) {
	place := func(request scheduler.Request) bool {
		return c.place(now, request.ID)
	}
	for _, request := range c.scheduler.Dispatch(now, place) {
		e := c.entries[request.ID]
		if !e.placed {
			c.quarantined(now, e)
			continue
		}
		e.answers <- answer{placement: Placement{
			ID:       e.id,
			Endpoint: e.endpoint,
			Address:  c.endpoints[e.endpoint].Address,
			Attempt:  e.tries,
		}}
	}
}

func (c *Controller) place(now time.Time, id uint64) bool {
	e, ok := c.entries[id]
	if !ok {
		return true
	}
	if !e.judged {
		e.judged = true
		e.verdict = c.quarantiner.Decide(now, e.request.Fingerprint)
	}
	if e.verdict == quarantiner.Quarantined {
		// Dispatch takes it out of the queue; it is refused there.
		return true
	}

	return c.placeAt(now, e)
}

// quarantined refuses a request that the quarantine does not let run.
func (c *Controller) quarantined(now time.Time, e *entry) {
	c.scheduler.Finish(now, e.id, 0)
	if c.quarantiner.IsOnTrial(now, e.request.Fingerprint) {
		c.held = append(c.held, e)

		return
	}
	c.forget(e)
	kind := answerer.KindQuarantined
	if e.tries > 0 {
		kind = answerer.KindEndpointLost
	}
	e.answers <- answer{err: answerer.New(kind, "This request crashed endpoints and is quarantined.")}
}

// release queues the held copies of suspects again whose trial is over.
func (c *Controller) release(now time.Time) {
	held := c.held
	c.held = nil
	for _, e := range held {
		_, wanted := c.entries[e.id]
		switch {
		case !wanted:
		case !now.Before(e.request.Deadline):
			c.expire(e)
		case c.quarantiner.IsOnTrial(now, e.request.Fingerprint):
			c.held = append(c.held, e)
		default:
			e.judged = false
			c.scheduler.Requeue(now, c.asWaiting(e))
		}
	}
}

// expire refuses a held request whose deadline passed.
func (c *Controller) expire(e *entry) {
	c.forget(e)
	kind := answerer.KindExpired
	if e.tries > 0 {
		kind = answerer.KindTimeout
	}
	e.answers <- answer{err: answerer.New(kind, refusalMessage(answerer.KindExpired))}
}

// placeAt finds an endpoint with room.
func (c *Controller) placeAt(now time.Time, e *entry) bool {
	ask := e.ask()
	choice, ok := c.picker.Pick(now, ask, func(endpoint string, slots, tokens int) bool {
		return c.borrower.HasCapacity(now, endpoint, slots, tokens)
	})
	if !ok || !c.borrower.Acquire(now, e.id, choice.Endpoint, e.tokens) {
		c.urgent = true

		return false
	}

	c.picker.RecordStart(now, e.id, choice.Endpoint, ask)
	e.placed = true
	e.endpoint = choice.Endpoint
	e.tries++
	if e.tries == 1 {
		c.retrier.RecordFirstAttempt(now, e.request.Class, choice.Endpoint)
	}
	if choice.CrossDataCentre {
		c.meter.Add("placements.remote", 1)
	}
	c.meter.Add("placements.all", 1)

	return true
}

func (c *Controller) progress(now time.Time, e *entry, made int) {
	if !e.placed {
		return
	}
	c.picker.RecordProgress(now, e.id, made)
	delete(c.down, e.endpoint)
	if e.request.PromptTokens+made <= e.tokens {
		return
	}
	more := c.estimator.Remaining(now, e.request.key(), e.request.MaxAnswerTokens, made)
	e.tokens = e.request.PromptTokens + made + max(1, more.TokensToReserve)
	c.borrower.IncreaseTokens(now, e.id, e.tokens)
}

// leave ends the request's stay at its endpoint.
func (c *Controller) leave(now time.Time, e *entry, result balancer.Result) {
	if !e.placed {
		return
	}
	e.placed = false
	c.picker.RecordEnd(now, e.id, result)
	c.borrower.Release(now, e.id)
}

func (c *Controller) settle(now time.Time, e *entry, result balancer.Result, tokens int) {
	if _, ok := c.entries[e.id]; !ok {
		return
	}
	if result == balancer.Finished && e.request.Model != "" {
		c.estimator.Observe(now, e.request.key(), tokens)
		c.quarantiner.RecordCompletion(now, e.request.Fingerprint)
	}
	c.leave(now, e, result)
	c.scheduler.Finish(now, e.id, e.request.PromptTokens+tokens)
	c.forget(e)
}

// abandon drops a request whose caller left before it read its placement.
func (c *Controller) abandon(now time.Time, e *entry) {
	if e.placed {
		c.settle(now, e, balancer.Canceled, 0)

		return
	}
	c.scheduler.Cancel(now, e.id)
	c.forget(e)
}

func (c *Controller) failed(now time.Time, e *entry, failure retrier.Failure, tokens int) retrier.Decision {
	failure.Endpoint = e.endpoint
	decision := c.retrier.Decide(now, e.request.Class, e.tries, failure, e.request.Deadline)
	c.meter.Add(decision.Reason, 1)
	if decision.Action == retrier.Resume {
		return decision
	}

	result := balancer.Failed
	if failure.StartStatus.IsNotStarted() {
		result = balancer.Refused
	}
	lost := failure.Kind == answerer.KindEndpointLost && !failure.StartStatus.IsNotStarted()
	if crashed := lost && c.blame(now, e.endpoint); crashed || e.verdict != quarantiner.Suspect {
		// A suspect that met no crash of its own keeps its one trial.
		e.judged = false
	}
	if decision.Action == retrier.Stop {
		c.settle(now, e, result, tokens)

		return decision
	}
	e.avoid = append(e.avoid, e.endpoint)
	c.leave(now, e, result)

	return decision
}

// blame reports what ran on an endpoint that crashed, once a crash: requests
// that reach an endpoint while it is still down did not crash it. It returns
// whether it was a new crash. The other instances are told at once, since a
// caller may resend to any of them.
func (c *Controller) blame(now time.Time, endpoint string) bool {
	if c.down[endpoint] {
		return false
	}
	c.down[endpoint] = true
	var fingerprints []uint64
	for _, e := range c.entries {
		if !e.placed || e.endpoint != endpoint {
			continue
		}
		fingerprints = append(fingerprints, e.request.Fingerprint)
	}
	if len(fingerprints) == 0 {
		return true
	}
	c.quarantiner.RecordCrash(now, endpoint, fingerprints)
	select {
	case c.alarms <- struct{}{}:
	default:
	}

	return true
}

func (c *Controller) requeue(now time.Time, e *entry) {
	if _, ok := c.entries[e.id]; !ok {
		return
	}
	c.scheduler.Requeue(now, c.asWaiting(e))
}
