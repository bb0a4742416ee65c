package dispatcher

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// Placement is an endpoint that a request was given.
type Placement struct {
	placer.Choice

	// RetryAfter is the time after which the request had better come back; zero:
	// it is placed.
	RetryAfter time.Duration

	id uint64
}

// Place chooses an endpoint for a request and counts it there; false: there is
// none.
func (d *Dispatcher) Place(ask placer.Request, first bool) (placement Placement, ok bool) {
	d.do(func() {
		now := d.clock.Now()
		if first {
			d.retries.RecordFirstAttempt(now, ask.Service)
		}
		placement.Choice, ok = d.placer.Pick(now, ask)
		if !ok {
			return
		}
		if later, postponed := d.placer.ShouldPostpone(ask, placement.Choice); postponed {
			placement.RetryAfter = later

			return
		}
		d.next++
		placement.id = d.next
		d.placer.RecordSent(now, placement.id, placement.Choice, ask)
		d.note(placement)
	})

	return placement, ok
}

// RecordFirstEvent records the first event of a placed request.
func (d *Dispatcher) RecordFirstEvent(placement Placement) {
	d.do(func() {
		d.placer.RecordFirstEvent(d.clock.Now(), placement.id)
		d.note(placement)
	})
}

// noteLeast is the prompt tokens from which on others are told at once; an engine
// reads fewer in some 5 ms.
const noteLeast = 256

// note tells others what this instance has at a placement's engine.
func (d *Dispatcher) note(placement Placement) {
	if placement.UncachedTokens >= noteLeast {
		d.notify(placement.EndpointID, d.placer.LocalLoad(placement.EndpointID))
	}
}

// RecordActivity records that events come.
func (d *Dispatcher) RecordActivity(placement Placement) {
	d.do(func() { d.placer.RecordActivity(d.clock.Now(), placement.id) })
}

// SinceLastActivity returns how long nothing has come from the placement's endpoint.
func (d *Dispatcher) SinceLastActivity(placement Placement) (silence time.Duration) {
	d.do(func() { silence = d.clock.Now().Sub(d.placer.LastActivity(placement.EndpointID)) })

	return silence
}

// RecordResult records how the try ended.
func (d *Dispatcher) RecordResult(placement Placement, result placer.Result) {
	d.do(func() { d.placer.RecordResult(d.clock.Now(), placement.id, result) })
}

// TakeRepeat decides whether an attempt may be repeated; a reason: it may not. What
// was sent counts against the shared bound.
func (d *Dispatcher) TakeRepeat(service string, attempt retrier.AttemptHistory, sent bool) string {
	reason := attempt.CheckRepeat()
	if reason != retrier.ReasonNone || !sent {
		return reason
	}
	d.do(func() {
		if !d.retries.TakeRepeat(d.clock.Now(), service) {
			reason = retrier.ReasonClassBudget
		}
	})

	return reason
}
