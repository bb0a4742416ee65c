package dispatcher

import (
	"context"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
	"github.com/oleanderpick/oleanderpick/pkg/sharer"
	"github.com/oleanderpick/oleanderpick/pkg/throttler"
)

// Placement is the endpoint chosen for one attempt of a request.
type Placement struct {
	placer.Choice

	// RetryAfter is the time after which the caller should send the request again, because
	// it is postponed or all endpoints have reached their limits; zero if the request may be
	// sent to the endpoint now.
	RetryAfter time.Duration
	// RegistryAge is the time since the read was sent that last told which endpoints leave.
	RegistryAge time.Duration
	// IsRegistryOld is true if no endpoint is chosen because the registry is older than it may be.
	IsRegistryOld bool
	// Sharing is the decision by which a request was admitted or postponed; nil if capacity is not shared.
	Sharing *sharer.Decision

	attemptID uint64
}

// Place chooses an endpoint for a request and counts the request there, unless it is
// postponed. If the endpoint stated a limit, Place first gets a permit, for which it may
// have to wait for another instance. It returns false if no endpoint may get the request;
// RetryAfter is then set if that is because of limits, and IsRegistryOld if endpoints may have
// left that are not known to. isFirstAttempt is false for repeats,
// which are limited by the number of first attempts.
func (d *Dispatcher) Place(ctx context.Context, request placer.Request, isFirstAttempt bool) (placement Placement, ok bool) {
	if !d.awaitData(ctx, d.isRegistryCurrent) {
		placement.IsRegistryOld = true
		d.withState(func() { placement.RegistryAge = d.clock.SinceBoot() - d.registryReadAt() })

		return placement, false
	}
	var need *permitNeed
	d.withState(func() {
		if isFirstAttempt {
			d.repeatLimiter.RecordFirstAttempt(d.clock.Now(), request.Service)
		}
		placement, need, ok = d.tryToPlace(request, true)
	})
	for requests := 1; need != nil; requests++ {
		requested := need
		reply, err := d.requestPermit(ctx, requested)
		placement, need, ok = Placement{}, nil, false
		d.withState(func() {
			d.recordReply(request, requested, reply, err)
			placement, need, ok = d.tryToPlace(request, requests < maxPermitRequests)
		})
	}

	return placement, ok
}

// tryToPlace chooses an endpoint and counts the request there. If a permit is needed from
// another instance, it returns that need instead. If mayRequest is false, it chooses only
// endpoints that need none.
func (d *Dispatcher) tryToPlace(request placer.Request, mayRequest bool) (placement Placement, need *permitNeed, ok bool) {
	now := d.clock.Now()
	for {
		request.Blocked = d.addProtected(now, d.blockedEndpoints(now, request.Tier, mayRequest), request.Tier, mayRequest)
		placement.Choice, ok = d.placer.Pick(now, request)
		if !ok {
			d.placer.RecordUnplaced(now, request)
			if until := d.placer.BlockedUntil(now, request); !until.IsZero() {
				placement.RetryAfter = until.Sub(now)
			}

			return placement, nil, false
		}
		if retryAfter, postponed := d.shouldPostpone(now, request, &placement); postponed {
			placement.RetryAfter = retryAfter
			d.placer.RecordPostponed(now, request, placement.Choice)

			return placement, nil, true
		}
		action, need := d.takePermits(now, placement.EndpointID, request.Tier)
		switch action {
		case throttler.RequestPermit:
			return placement, need, false
		case throttler.Send:
			d.lastAttemptID++
			placement.attemptID = d.lastAttemptID
			placement.RegistryAge = d.clock.SinceBoot() - d.registryReadAt()
			d.placer.RecordSent(now, placement.attemptID, placement.Choice, request)
			d.recordShared(now, request, placement)
			d.reportLoadChange(placement)

			return placement, nil, true
		case throttler.Avoid: // The endpoint is blocked now, so the next choice is another one.
			d.logPermit(request, need, d.permitBookOf(need.request).LastReply(placement.EndpointID), nil)
		}
	}
}

// RecordFirstEvent records that the first event of an attempt's answer came.
func (d *Dispatcher) RecordFirstEvent(placement Placement) {
	d.withState(func() {
		d.placer.RecordFirstEvent(d.clock.Now(), placement.attemptID)
		d.recordSharedFirstEvent(d.clock.Now(), placement.attemptID)
		if placement.UncachedTokens >= minUncachedTokensToReport {
			d.reportLoadChange(placement)
		}
	})
}

// minUncachedTokensToReport is the number of uncached prompt tokens from which the end of
// their prefill is reported to peers at once. An engine prefills fewer tokens in about
// 5 ms.
const minUncachedTokensToReport = 256

// reportLoadChange passes this instance's load at the placement's endpoint to the function
// that OnLoadChange set, if the endpoint is an engine or may be brittle.
func (d *Dispatcher) reportLoadChange(placement Placement) {
	if placement.HasPrompt || d.HasBrittleEndpoints() {
		d.onLoadChange(placement.EndpointID, d.placer.LocalLoad(placement.EndpointID))
	}
}

// RecordActivity records that the placement's endpoint sent something.
func (d *Dispatcher) RecordActivity(placement Placement) {
	d.withState(func() { d.placer.RecordActivity(d.clock.Now(), placement.attemptID) })
}

// SinceLastActivity returns the time since the placement's endpoint last sent something,
// on any request.
func (d *Dispatcher) SinceLastActivity(placement Placement) (silence time.Duration) {
	d.withState(func() { silence = d.clock.Now().Sub(d.placer.LastActivity(placement.EndpointID)) })

	return silence
}

// RecordResult records how the attempt ended. completedBlocks are the shared blocks of its
// prompt if it ran to completion.
func (d *Dispatcher) RecordResult(placement Placement, result placer.Result, completedBlocks []uint64) {
	d.withState(func() {
		d.recordCompletedBlocks(completedBlocks)
		d.placer.RecordResult(d.clock.Now(), placement.attemptID, result)
		d.recordSharedResult(d.clock.Now(), placement.attemptID, result)
		d.reportLoadChange(placement)
	})
}

// TakeRepeat decides whether a request may be sent to an endpoint once more. It returns
// retrier.ReasonNone, or the reason for not repeating it. If the last attempt was sent,
// the repeat counts against the limit that all instances share.
func (d *Dispatcher) TakeRepeat(service string, history retrier.AttemptHistory, wasSent bool) string {
	reason := history.CheckRepeat()
	if reason != retrier.ReasonNone || !wasSent {
		return reason
	}
	d.withState(func() {
		if !d.repeatLimiter.TakeRepeat(d.clock.Now(), service) {
			reason = retrier.ReasonClassBudget
		}
	})

	return reason
}
