package relayer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

const (
	// stallTimeoutFraction is the part of the route's target latency after which an
	// idempotent request is sent to another endpoint, early enough that the answer
	// can still be in time.
	stallTimeoutFraction = 0.6
	// maxStreamSilence is how long, beyond the expected time to the first token, an
	// endpoint may send nothing on any of its streams before a resumable stream is
	// resumed at another endpoint.
	maxStreamSilence = 1200 * time.Millisecond
)

// errStalled is the cause of an attempt that was ended because the endpoint sent
// nothing.
var errStalled = errors.New("no data came from the endpoint in time")

// stallDetector cancels a repeatable attempt whose endpoint sends nothing. It first
// takes a repeat from the repeat limiter and checks that an endpoint may get the request, so
// that an attempt is only canceled if another one may follow. If the request must not be
// repeated, it only finds out whether the endpoint crashed. A nil stallDetector does nothing.
type stallDetector struct {
	request   *relayedRequest
	canRepeat bool
	hasBegun  atomic.Bool            // whether an event came in this attempt
	version   atomic.Pointer[string] // that of the stream, empty if unknown; nil before the first event
	sentAt    time.Time
	ctx       context.Context // of the attempt
	placement dispatcher.Placement
	repeat    placer.Request         // the placement of another attempt
	history   retrier.AttemptHistory // the attempts so far and this one, counted as run
	cancel    context.CancelCauseFunc
	timer     *time.Timer
	timeout   time.Duration
}

// startStallDetector starts to watch an attempt. It returns nil if the request is no stream
// and must not be repeated, or if it is idempotent and its route has no target latency.
func (r *relayedRequest) startStallDetector(ctx context.Context, placement dispatcher.Placement, cancel context.CancelCauseFunc) *stallDetector {
	canRepeat := r.route.CanRepeat() && r.possibleRuns+1 < r.route.MaxRuns
	if !canRepeat && r.route.Kind != matcher.Streaming {
		return nil
	}
	d := &stallDetector{
		request: r, canRepeat: canRepeat, sentAt: time.Now(), ctx: ctx, placement: placement, repeat: r.placementRequest, cancel: cancel,
		timeout: maxStreamSilence + placement.ExpectedTimeToFirstToken,
		history: retrier.AttemptHistory{MayHaveRun: true, Repeatable: true, PossibleRuns: r.possibleRuns + 1, MaxRuns: r.route.MaxRuns, Refusals: r.refusals},
	}
	if r.route.Kind == matcher.Idempotent {
		if r.route.TargetLatency <= 0 {
			return nil
		}
		d.timeout = time.Duration(float64(r.route.TargetLatency) * stallTimeoutFraction)
	}
	d.timer = time.AfterFunc(time.Hour, d.check)
	d.timer.Reset(d.timeout) // check uses d.timer, so it is assigned before the timer can fire.

	return d
}

// restart starts the timeout again, after an event of the stream came from the endpoint. An
// empty version means that the stream cannot go on elsewhere.
func (d *stallDetector) restart(version string) {
	if d != nil {
		d.hasBegun.Store(true)
		d.version.Store(&version)
		d.timer.Reset(d.timeout)
	}
}

// extend starts the timeout again, after a part of an answer that is no stream came from the endpoint.
func (d *stallDetector) extend() {
	if d != nil {
		d.timer.Reset(d.timeout)
	}
}

// stop ends the watching of the attempt.
func (d *stallDetector) stop() {
	if d != nil {
		d.timer.Stop()
	}
}

// check cancels the attempt, unless its endpoint is active on other streams. It runs
// concurrently with the attempt, so it reads only fields of the request that no longer
// change.
func (d *stallDetector) check() {
	r := d.request
	if d.ctx.Err() != nil {
		return
	}
	if r.route.Kind == matcher.Streaming {
		if silence := r.relayer.dispatcher.SinceLastActivity(d.placement); silence < d.timeout {
			d.timer.Reset(d.timeout - silence)

			return
		}
	}
	canRepeat, repeat := d.canRepeat, d.repeat
	if version := d.version.Load(); version != nil {
		canRepeat, repeat.Version = canRepeat && *version != "", *version
	}
	if !canRepeat {
		crash := r.reportSilence(d.placement, d.sentAt, d.hasBegun.Load())
		if <-crash.done; !crash.isDown {
			d.timer.Reset(d.timeout)
		}

		return
	}
	if !r.relayer.dispatcher.CanPlace(repeat) {
		d.timer.Reset(d.timeout)

		return
	}
	d.history.RemainingTime = time.Until(r.deadline)
	if r.relayer.dispatcher.TakeRepeat(d.repeat.Service, d.history, true) != retrier.ReasonNone {
		return
	}
	d.cancel(errStalled)
}
