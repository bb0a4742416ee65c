package relayer

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/common/sse"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// aliveInterval is how often a stream tells that its endpoint lives.
const aliveInterval = 100 * time.Millisecond

func eventStream(header http.Header) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))

	return err == nil && kind == "text/event-stream"
}

func eventID(id int64) string {
	return strconv.FormatInt(id, 10)
}

// stream passes events on as they come, each of them whole.
func (j *job) stream(ctx context.Context, t *trial) {
	events := sse.NewRawReader(t.response.Body)
	flusher := http.NewResponseController(j.w)
	told := time.Time{}
	for first := true; ; first = false {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			j.streamed(ctx, t)

			return
		}
		if err != nil {
			j.broken(ctx, t, errors.Wrap(err, "stream broke off"))

			return
		}
		if event.Number >= 0 && event.Number <= j.after {
			j.broken(ctx, t, errors.Errorf("event %d after event %d", event.Number, j.after))

			return
		}
		t.staller.heard()
		now := time.Now()
		if first {
			j.relayer.control.RecordFirstEvent(t.placement)
			told = now
		} else if now.Sub(told) > aliveInterval {
			j.relayer.control.RecordActivity(t.placement)
			told = now
		}
		j.pace(now)
		if !j.begun {
			j.begin(t.response, -1)
		}
		if err := j.forward(event, flusher, events.Pending()); err != nil {
			j.broken(ctx, t, errors.Wrap(err, "caller left"))
			t.result = placer.Canceled

			return
		}
	}
}

// pace records when events come.
func (j *job) pace(now time.Time) {
	if j.latest.IsZero() {
		j.first = now.Sub(j.received)
		j.relayer.meter.Took("first-event", j.first)
	} else {
		j.pause = max(j.pause, now.Sub(j.latest))
	}
	j.latest = now
}

// forward writes one event to the caller.
func (j *job) forward(event sse.RawEvent, flusher *http.ResponseController, more bool) error {
	if event.Number >= 0 {
		j.after = event.Number
	}
	if _, err := j.w.Write(event.Bytes); err != nil {
		return err
	}
	if more {
		return nil
	}

	return flusher.Flush()
}

// streamed ends a stream that came to its end.
func (j *job) streamed(ctx context.Context, t *trial) {
	if !j.begun {
		if ctx.Err() != nil {
			j.broken(ctx, t, ctx.Err())

			return
		}
		j.begin(t.response, -1)
	}
	t.done = true
	t.result = placer.Finished
	j.release(t)
	j.served(t)
}
