package dispatcher

import (
	"strconv"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/sharer"
)

// Features are the parts of an instance that its platform may call for.
type Features struct {
	// SharesCapacity is true if capacity for which callers compete is shared fairly, by pkg/sharer.
	SharesCapacity bool
}

// sharedAttempt is an attempt that counts in the shares.
type sharedAttempt struct {
	work       sharer.Work
	predicted  time.Duration
	sentAt     time.Time
	firstAfter time.Duration // time from sentAt to the first event; 0 before it
}

// initSharing creates the state of shares if the features call for it.
func (d *Dispatcher) initSharing(features Features) {
	if features.SharesCapacity {
		d.sharer = sharer.New(sharer.Settings{})
		d.sharedAttempts = map[uint64]*sharedAttempt{}
	}
}

// shouldPostpone reports whether a request for which a choice was made should be refused now, and
// after how long the caller should try again.
func (d *Dispatcher) shouldPostpone(now time.Time, request placer.Request, placement *Placement) (retryAfter time.Duration, postponed bool) {
	if d.sharer == nil || !placement.HasPrompt {
		return d.placer.ShouldPostpone(request, placement.Choice)
	}
	work := workOf(now, request, placement.Choice)
	running, slots := d.placer.Occupancy(placement.EndpointID)
	d.sharer.Want(now, work)
	decision := d.sharer.Admit(now, work, sharer.Room{
		Expected: placement.ExpectedTimeToFirstToken, Prefill: placement.PrefillTime, HasFreeSlot: running < slots,
	})
	placement.Sharing = &decision

	return decision.RetryAfter, !decision.Admitted
}

// workOf returns the work of a request at the chosen endpoint.
func workOf(now time.Time, request placer.Request, choice placer.Choice) sharer.Work {
	return sharer.Work{
		ID: returnID(request), Service: request.Service, Tier: request.Tier, Workspace: request.Workspace,
		Tokens: max(1, choice.UncachedTokens+request.OutputTokens), Target: request.TargetTimeToFirstToken,
		TimeLeft: request.Deadline.Sub(now), IsRepeat: request.MayHaveRun || len(request.AvoidEndpoints) > 0, IsResumed: request.IsResumed,
	}
}

// returnID returns what a caller's request has in common with the one that it sends again after a refusal: the
// last block of its prompt, which belongs to the request or its session. Each sending may have an ID of its own.
func returnID(request placer.Request) string {
	if len(request.Blocks) == 0 {
		return request.ID
	}

	return request.Workspace + "/" + strconv.FormatUint(request.Blocks[len(request.Blocks)-1].ID, 16)
}

// recordShared counts a placed attempt in the shares.
func (d *Dispatcher) recordShared(now time.Time, request placer.Request, placement Placement) {
	if d.sharer == nil || placement.Sharing == nil {
		return
	}
	work := workOf(now, request, placement.Choice)
	d.sharer.Start(now, work)
	d.sharedAttempts[placement.attemptID] = &sharedAttempt{work: work, predicted: placement.Sharing.Predicted, sentAt: now}
}

// recordSharedFirstEvent records when the first event of an attempt that counts in the shares came.
func (d *Dispatcher) recordSharedFirstEvent(now time.Time, attemptID uint64) {
	if a := d.sharedAttempts[attemptID]; a != nil && a.firstAfter == 0 {
		a.firstAfter = now.Sub(a.sentAt)
	}
}

// recordSharedResult records how an attempt that counts in the shares ended.
func (d *Dispatcher) recordSharedResult(now time.Time, attemptID uint64, result placer.Result) {
	a := d.sharedAttempts[attemptID]
	if a == nil {
		return
	}
	delete(d.sharedAttempts, attemptID)
	outcome := sharer.Outcome{Predicted: a.predicted, UntilFirstToken: a.firstAfter}
	switch result {
	case placer.Refused, placer.Misdirected, placer.Unreachable:
		outcome.HasNotRun = a.firstAfter == 0
	case placer.Canceled:
		if waited := now.Sub(a.sentAt); a.firstAfter == 0 && waited > a.predicted {
			outcome.UntilFirstToken = waited // It would have taken longer still.
		}
	case placer.Finished, placer.Failed:
	}
	d.sharer.Finish(now, a.work, outcome)
}

// SharesCapacity reports whether capacity for which callers compete is shared fairly.
func (d *Dispatcher) SharesCapacity() bool {
	return d.sharer != nil
}

// Claims returns what competes for capacity that is short: the sums of the data centre for a
// summary, or else this instance's. There are none without shares.
func (d *Dispatcher) Claims(isSummary bool) (claims []sharer.Claim) {
	if d.sharer == nil {
		return nil
	}
	d.withState(func() {
		if isSummary {
			claims = d.sharer.DataCentreClaims(d.clock.Now())
		} else {
			claims = d.sharer.Claims(d.clock.Now())
		}
	})

	return claims
}

// receiveClaims records a peer's claims.
func (d *Dispatcher) receiveClaims(now time.Time, peer string, message Message) {
	switch {
	case d.sharer == nil || len(message.Claims) == 0:
	case !message.IsSummary:
		d.sharer.ReceiveClaims(now, peer, message.Claims)
	case message.DataCentre != d.dataCentre:
		d.sharer.ReceiveDataCentreClaims(now, message.DataCentre, message.Claims)
	}
}
