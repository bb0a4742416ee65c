package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/decoder"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// refusalBody is the JSON of an answer that is not a complete one.
type refusalBody struct {
	Error refusalFields `json:"error"`
}

type refusalFields struct {
	Kind       string  `json:"kind"`
	Message    string  `json:"message"`
	Outcome    string  `json:"outcome"`
	RetryAfter float64 `json:"retryAfter,omitempty"`
}

func bodyOf(refusal *answerer.Error) refusalBody {
	return refusalBody{Error: refusalFields{
		Kind:       refusal.Kind.String(),
		Message:    refusal.Message,
		Outcome:    answerer.Lookup(refusal.Kind).Outcome.String(),
		RetryAfter: refusal.RetryDelay().Seconds(),
	}}
}

func writeRefusal(w http.ResponseWriter, refusal *answerer.Error) {
	row := answerer.Lookup(refusal.Kind)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, row.Outcome.String())
	if wait := refusal.RetryDelay(); wait > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	w.WriteHeader(row.Status)
	_ = json.NewEncoder(w).Encode(bodyOf(refusal))
}

// modelAnswer writes one model answer: as events when the caller streams, else
// as one JSON object at the end.
type modelAnswer struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	request decoder.Request
	arrived time.Time
	first   time.Time
	sent    bool
	buffer  []byte
	whole   wholeAnswer
}

func newAnswer(w http.ResponseWriter, request decoder.Request, arrived time.Time) *modelAnswer {
	return &modelAnswer{
		writer:  w,
		flusher: http.NewResponseController(w),
		request: request,
		arrived: arrived,
	}
}

// Chunk takes the data of one event.
func (a *modelAnswer) Chunk(data []byte) error {
	if a.first.IsZero() {
		a.first = time.Now()
	}
	if !a.request.Stream {
		return a.whole.add(data)
	}
	a.buffer = append(a.buffer, "data: "...)
	a.buffer = append(a.buffer, data...)
	a.buffer = append(a.buffer, "\n\n"...)

	return nil
}

// Flush sends what has come so far to a streaming caller.
func (a *modelAnswer) Flush() error {
	if len(a.buffer) == 0 {
		return nil
	}
	if !a.sent {
		header := a.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		a.sent = true
	}
	_, err := a.writer.Write(a.buffer)
	a.buffer = a.buffer[:0]
	if err != nil {
		return err
	}

	return a.flusher.Flush()
}

// begun reports whether the caller has been sent anything.
func (a *modelAnswer) begun() bool {
	return a.sent
}

// reset forgets a failed try of which the caller has seen nothing.
func (a *modelAnswer) reset() {
	a.first = time.Time{}
	a.buffer = a.buffer[:0]
	a.whole = wholeAnswer{}
}

// times returns the time to the first token and to now since arrival.
func (a *modelAnswer) times() (first, whole time.Duration) {
	if !a.first.IsZero() {
		first = a.first.Sub(a.arrived)
	}

	return first, time.Since(a.arrived)
}

// finish ends a whole answer.
func (a *modelAnswer) finish() error {
	if a.request.Stream {
		a.buffer = append(a.buffer, "data: [DONE]\n\n"...)

		return a.Flush()
	}
	a.writer.Header().Set("Content-Type", "application/json")

	return json.NewEncoder(a.writer).Encode(a.whole.object(a.request))
}

// fail ends an answer that is not a complete one. A caller that was sent a
// part gets an error event, so that no truncation is silent.
func (a *modelAnswer) fail(refusal *answerer.Error) {
	if !a.sent {
		writeRefusal(a.writer, refusal)

		return
	}
	data, err := json.Marshal(bodyOf(refusal))
	if err != nil {
		return
	}
	a.buffer = append(a.buffer[:0], "event: error\ndata: "...)
	a.buffer = append(a.buffer, data...)
	a.buffer = append(a.buffer, "\n\n"...)
	_ = a.Flush()
}
