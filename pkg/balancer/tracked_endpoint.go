package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// reportTimeConstant is the time constant with which the weight of a load report
	// decays in favour of the group's mean.
	reportTimeConstant = 2 * time.Second
	// freshReportWeight is the weight of a fresh load report against the group's mean.
	// All instances act on the same reports, so each corrects only a part of the
	// imbalance that they show.
	freshReportWeight = 0.3
	// refusalBackoff is how long an endpoint that refused a request counts as full.
	refusalBackoff = 200 * time.Millisecond
	// minLimitChangeInterval is the shortest time between two changes of a concurrency
	// limit.
	minLimitChangeInterval = 250 * time.Millisecond
	// idleLimitIncreaseDelay is the time without evidence of an endpoint's speed after
	// which its concurrency limit rises by a step.
	idleLimitIncreaseDelay = time.Second
	// minLimitFraction is the share of the slots below which a concurrency limit never
	// falls.
	minLimitFraction = 0.25
	// limitDecreaseLateFraction and limitIncreaseLateFraction are the shares of late
	// tokens above which a concurrency limit falls and below which it may rise.
	limitDecreaseLateFraction, limitIncreaseLateFraction = 0.04, 0.01
	// limitDecreaseIntervalRatio and limitIncreaseIntervalRatio are the ratios of the
	// measured to the target token interval above which a concurrency limit falls and
	// below which it may rise.
	limitDecreaseIntervalRatio, limitIncreaseIntervalRatio = 0.97, 0.88
	// limitIncreaseSteps divides the slots into the steps by which a concurrency limit
	// rises; a step is at least 1.
	limitIncreaseSteps = 32
	// limitDecreaseFactor is the factor by which a concurrency limit falls.
	limitDecreaseFactor = 0.9
	// defaultPrefillSecondsPerToken is the assumed prefill time per prompt token until a
	// first-token delay was observed.
	defaultPrefillSecondsPerToken = 0.00025
	// prefillSmoothingFactor is the weight of a new sample in the moving average of the
	// prefill time per token.
	prefillSmoothingFactor = 0.02
	// minPrefillTokens is the minimum divisor of a first-token delay, so that a short
	// prompt doesn't give an excessive prefill time per token.
	minPrefillTokens = 64
)

// trackedEndpoint is the state of one endpoint. The fields that a pick reads come first.
type trackedEndpoint struct {
	group                *group
	localRequests        int     // this instance's requests in flight at the endpoint
	localTokens          int     // prompt and estimated answer tokens of these
	isolatedRequests     int     // those that run isolated
	pendingPrefillTokens int     // uncached prompt tokens of local requests without a first token
	slots                float64 // Endpoint.Slots as a float
	concurrencyLimit     float64 // concurrent requests allowed at its present speed
	meter                speedMeter

	crossDataCentre  bool   // in another data centre
	removed          bool   // no longer configured
	markedLeaving    bool   // by SetLeaving
	reportedDraining bool   // by its newest load report
	cacheEpoch       uint32 // incremented when its cache is considered lost
	cachedTokensPick uint64 // the pick for which cachedTokens was set
	cachedTokens     int    // prompt tokens of the request being placed that it has cached

	lastReportAt        time.Time // when the newest load report was measured
	remoteRequests      float64   // other instances' requests by that report
	remoteTokens        float64   // tokens of these requests
	refusalBackoffUntil time.Time // counts as full until then
	breaker             circuitBreaker
	Endpoint

	decodingRequests int       // local requests past their first token
	lastTokenAt      time.Time // when a token last arrived on any local stream
	limitChangedAt   time.Time
	history          requestHistory
}

func newTrackedEndpoint(name string) *trackedEndpoint {
	return &trackedEndpoint{Endpoint: Endpoint{Name: name}, concurrencyLimit: math.Inf(1)}
}

// canAccept reports whether the endpoint takes new requests and wasn't tried for this
// one.
func (e *trackedEndpoint) canAccept(request *Request) bool {
	if e.removed || e.Leaving || e.markedLeaving || e.reportedDraining {
		return false
	}
	return len(request.TriedEndpoints) == 0 || !slices.Contains(request.TriedEndpoints, e.Name)
}

// serves reports whether the endpoint serves the request's service and model.
func (e *trackedEndpoint) serves(request *Request) bool {
	return e.Service == request.Service && (len(e.Models) == 0 || slices.Contains(e.Models, request.Model))
}

// isAtConcurrencyLimit reports whether another request would exceed the limit that the
// endpoint's speed has set.
func (e *trackedEndpoint) isAtConcurrencyLimit(now time.Time) bool {
	return e.concurrencyLimit < e.slots && e.estimatedRequests(now)+1 > e.concurrencyLimit
}

// fits reports whether the endpoint has free capacity for the request. A capacity
// function decides alone; without one, the load of other instances is estimated and
// counts too.
func (e *trackedEndpoint) fits(now time.Time, request *Request, hasCapacity CapacityFunc) bool {
	if e.isolatedRequests > 0 || now.Before(e.refusalBackoffUntil) {
		return false
	}
	if hasCapacity != nil {
		return hasCapacity(e.Name, 1, request.TotalTokens)
	}
	if e.estimatedRequests(now)+1 > e.slots {
		return false
	}
	if e.TokenCapacity == 0 {
		return true
	}
	return float64(e.localTokens+request.TotalTokens)+
		e.estimateRemote(now, e.remoteTokens, e.group.remoteTokens) <= float64(e.TokenCapacity)
}

// estimatedRequests estimates the requests at the endpoint, those of other instances
// included.
func (e *trackedEndpoint) estimatedRequests(now time.Time) float64 {
	return float64(e.localRequests) + e.estimateRemote(now, e.remoteRequests, e.group.remoteRequests)
}

// estimateRemote estimates the load of other instances at the endpoint: the reported
// load, or, the older the report is, the mean of the group's reports.
func (e *trackedEndpoint) estimateRemote(now time.Time, reported, groupTotal float64) float64 {
	if e.group.reportCount == 0 {
		return 0
	}
	mean := groupTotal / float64(e.group.reportCount)
	if e.lastReportAt.IsZero() {
		return mean
	}
	weight := freshReportWeight * math.Exp(-max(0, now.Sub(e.lastReportAt).Seconds())/reportTimeConstant.Seconds())
	return weight*reported + (1-weight)*mean
}

// loadSlowdown returns the factor by which load lengthens the token interval: 2 for an
// endpoint whose slots are all in use.
func (e *trackedEndpoint) loadSlowdown(requests float64) float64 {
	return 1 + requests/max(1, e.slots)
}

// secondsToFinish estimates the seconds until the request would finish at the endpoint:
// the time to prefill the pending and its own uncached prompt tokens, and to generate
// the answer.
func (e *trackedEndpoint) secondsToFinish(now time.Time, request *Request, cachedTokens int) float64 {
	uncachedTokens := max(0, request.PromptTokens-cachedTokens)
	answerTokens := max(1, request.TotalTokens-request.PromptTokens)
	unloadedInterval := e.meter.unloadedInterval(e.group.unloadedInterval)
	relativeSlowdown := unloadedInterval / e.group.unloadedInterval
	tokenInterval := unloadedInterval * e.loadSlowdown(e.estimatedRequests(now)+1)
	return float64(e.pendingPrefillTokens+uncachedTokens)*e.group.prefillSecondsPerToken*relativeSlowdown +
		float64(answerTokens)*tokenInterval
}

// learnPrefillSpeed updates the prefill time per prompt token with a first-token delay.
// prefillTokens includes the prompts that were queued ahead of the request.
func (g *group) learnPrefillSpeed(delay time.Duration, prefillTokens int) {
	secondsPerToken := delay.Seconds() / float64(max(minPrefillTokens, prefillTokens))
	g.prefillSecondsPerToken += prefillSmoothingFactor * (secondsPerToken - g.prefillSecondsPerToken)
}

// adjustConcurrencyLimit lowers the limit by a factor when too many tokens are late or
// the token interval is too close to the target. It raises a limit that is in use by a
// step when both are well below. So an endpoint that is too slow for the target isn't
// filled.
func (e *trackedEndpoint) adjustConcurrencyLimit(now time.Time, target time.Duration) {
	if !e.meter.hasEvidence() || now.Sub(e.limitChangedAt) < minLimitChangeInterval {
		return
	}
	requests := e.estimatedRequests(now)
	lateFraction, intervalRatio := e.meter.lateTokens/e.meter.tokens, e.meter.tokenInterval()/target.Seconds()
	switch {
	case lateFraction > limitDecreaseLateFraction || intervalRatio > limitDecreaseIntervalRatio:
		e.concurrencyLimit = max(math.Ceil(e.slots*minLimitFraction),
			limitDecreaseFactor*min(e.concurrencyLimit, e.slots, requests))
		e.limitChangedAt = now
	case lateFraction < limitIncreaseLateFraction && intervalRatio < limitIncreaseIntervalRatio &&
		e.concurrencyLimit < e.slots && requests+1 >= e.concurrencyLimit:
		e.concurrencyLimit = min(e.slots, e.concurrencyLimit+max(1, e.slots/limitIncreaseSteps))
		e.limitChangedAt = now
	}
}

// increaseIdleConcurrencyLimit raises the limit of an endpoint whose speed can't be
// judged for lack of requests, so that it is tried again.
func (e *trackedEndpoint) increaseIdleConcurrencyLimit(now time.Time) {
	if e.concurrencyLimit >= e.slots || e.meter.hasEvidence() || now.Sub(e.limitChangedAt) < idleLimitIncreaseDelay {
		return
	}
	e.concurrencyLimit = min(e.slots, e.concurrencyLimit+max(1, e.slots/limitIncreaseSteps))
	e.limitChangedAt = now
}

// recordLoad records a load report and subtracts the local load at the time it was
// measured, which leaves the load of other instances.
func (e *trackedEndpoint) recordLoad(now time.Time, report LoadReport) {
	measuredAt := report.MeasuredAt
	if measuredAt.After(now) {
		measuredAt = now
	}
	if !measuredAt.After(e.lastReportAt) {
		return
	}
	local := e.history.at(measuredAt)
	if !e.lastReportAt.IsZero() {
		e.group.removeReport(e)
	}
	e.lastReportAt = measuredAt
	e.reportedDraining = report.Draining
	e.remoteRequests = float64(max(0, report.Running+report.Waiting-local.requests))
	e.remoteTokens = float64(max(0, report.UsedTokens-local.tokens))
	e.group.addReport(e)
}

// addLocalLoad adds to the counts of local requests and tokens; negative numbers
// subtract.
func (e *trackedEndpoint) addLocalLoad(now time.Time, requests, tokens int) {
	e.localRequests += requests
	e.localTokens += tokens
	e.group.localRequests += requests
	e.history.record(now, e.localRequests, e.localTokens)
}
