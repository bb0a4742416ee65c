package relayer

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/common/sendtracker"
	"github.com/oleanderpick/oleanderpick/internal/common/sse"
	"github.com/oleanderpick/oleanderpick/internal/common/verifier"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// activityReportInterval is how often a stream reports to the dispatcher that its
// endpoint is active.
const activityReportInterval = 100 * time.Millisecond

func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))

	return err == nil && mediaType == "text/event-stream"
}

func formatEventID(id int64) string {
	return strconv.FormatInt(id, 10)
}

// continuedAfter returns the ID of the event after which the next attempt goes on, for logs;
// empty if the stream has not begun.
func (r *relayedRequest) continuedAfter() string {
	if r.lastEventID > 0 {
		return formatEventID(r.lastEventID)
	}

	return r.metadata.LastEventID
}

// forwardStream forwards each event of the answer as soon as it has arrived whole.
func (r *relayedRequest) forwardStream(ctx context.Context, a *attempt) {
	events := sse.NewRawReader(a.response.Body)
	if verifier.EndsWithConnection(a.response) {
		events = sse.NewStrictRawReader(a.response.Body, r.relayer.codec.EventFields()...)
	}
	flusher := http.NewResponseController(r.w)
	lastReported := time.Time{}
	for first := true; ; first = false {
		event, err := events.Next()
		err = a.checkStreamEnd(err)
		if errors.Is(err, io.EOF) {
			r.finishStream(ctx, a)

			return
		}
		if err != nil {
			r.failAttempt(ctx, a, errors.Wrap(err, "stream was truncated"))

			return
		}
		if event.ID >= 0 && event.ID <= r.lastEventID {
			r.failAttempt(ctx, a, errors.Errorf("event %d after event %d", event.ID, r.lastEventID))

			return
		}
		a.hasBegun = true
		r.beginStream(a)
		a.stallDetector.restart(r.placementRequest.Version)
		now := time.Now()
		r.countRun(a, now)
		if first {
			r.relayer.dispatcher.RecordFirstEvent(a.placement)
			r.recordPaceError(a)
			lastReported = now
		} else if now.Sub(lastReported) > activityReportInterval {
			r.relayer.dispatcher.RecordActivity(a.placement)
			lastReported = now
		}
		r.recordEventTiming(now)
		if !r.answerStarted {
			r.writeAnswerHeader(a.response, -1)
		}
		if err := r.forwardEvent(event, flusher, events.HasBuffered()); err != nil {
			r.isAbandoned = true
			r.failAttempt(ctx, a, errors.Wrap(err, "caller disconnected"))
			a.result = placer.Canceled

			return
		}
	}
}

// checkStreamEnd returns the error of a stream that looks whole but may have been broken off in place of io.EOF.
// Other errors it returns as they are.
func (a *attempt) checkStreamEnd(err error) error {
	switch {
	case !errors.Is(err, io.EOF):
		return err
	case !a.hasBegun && verifier.EndsWithConnection(a.response):
		return io.ErrUnexpectedEOF
	case a.endsEarly():
		return sendtracker.ErrEarlyEnd
	}

	return err
}

// recordEventTiming records the arrival of an event.
func (r *relayedRequest) recordEventTiming(now time.Time) {
	if r.lastEventAt.IsZero() {
		r.timeToFirstEvent = now.Sub(r.receivedAt)
		r.relayer.meter.RecordDuration("first-event", r.timeToFirstEvent)
	} else {
		r.longestEventGap = max(r.longestEventGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
}

// forwardEvent writes one event to the caller. It flushes unless more bytes are
// already buffered.
func (r *relayedRequest) forwardEvent(event sse.RawEvent, flusher *http.ResponseController, morePending bool) error {
	if event.ID >= 0 {
		r.lastEventID = event.ID
	}
	if _, err := r.w.Write(event.Bytes); err != nil {
		return err
	}
	if morePending {
		return nil
	}

	return flusher.Flush()
}

// finishStream finishes the answer after the last event of the stream.
func (r *relayedRequest) finishStream(ctx context.Context, a *attempt) {
	if !r.answerStarted {
		if ctx.Err() != nil {
			r.failAttempt(ctx, a, ctx.Err())

			return
		}
		r.writeAnswerHeader(a.response, -1)
	}
	a.answered = true
	a.result = placer.Finished
	r.releaseConnection(a, true)
	r.recordServed(a)
}
