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

// refusalBody is the JSON body of an error response.
type refusalBody struct {
	Error refusalDetails `json:"error"`
}

// refusalDetails describes an error to the caller. RetryAfter is in seconds.
type refusalDetails struct {
	Kind       string  `json:"kind"`
	Message    string  `json:"message"`
	Outcome    string  `json:"outcome"`
	RetryAfter float64 `json:"retryAfter,omitempty"`
}

func newRefusalBody(refusal *answerer.Error) refusalBody {
	return refusalBody{Error: refusalDetails{
		Kind:       refusal.Kind.String(),
		Message:    refusal.Message,
		Outcome:    answerer.Lookup(refusal.Kind).Outcome.String(),
		RetryAfter: refusal.RetryDelay().Seconds(),
	}}
}

// writeRefusal writes an error response with the status, the outcome and the retry
// delay of the error's kind. The Retry-After header is rounded up to whole seconds.
func writeRefusal(w http.ResponseWriter, refusal *answerer.Error) {
	answer := answerer.Lookup(refusal.Kind)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, answer.Outcome.String())
	if retryDelay := refusal.RetryDelay(); retryDelay > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryDelay.Seconds()))))
	}
	w.WriteHeader(answer.Status)
	_ = json.NewEncoder(w).Encode(newRefusalBody(refusal))
}

// modelAnswerWriter writes the answer to a model request: as server-sent events if the
// caller asked for a stream, else as one JSON object at the end.
type modelAnswerWriter struct {
	writer       http.ResponseWriter
	flusher      *http.ResponseController
	request      decoder.Request
	arrivedAt    time.Time
	firstChunkAt time.Time
	dataSent     bool
	eventBuffer  []byte
	collected    collectedAnswer
}

func newModelAnswerWriter(w http.ResponseWriter, request decoder.Request, arrivedAt time.Time) *modelAnswerWriter {
	return &modelAnswerWriter{
		writer:    w,
		flusher:   http.NewResponseController(w),
		request:   request,
		arrivedAt: arrivedAt,
	}
}

// WriteChunk adds the data of one event from the engine to the answer.
func (a *modelAnswerWriter) WriteChunk(data []byte) error {
	if a.firstChunkAt.IsZero() {
		a.firstChunkAt = time.Now()
	}
	if !a.request.Stream {
		return a.collected.addChunk(data)
	}
	a.eventBuffer = append(a.eventBuffer, "data: "...)
	a.eventBuffer = append(a.eventBuffer, data...)
	a.eventBuffer = append(a.eventBuffer, "\n\n"...)

	return nil
}

// Flush sends the events received so far to a streaming caller.
func (a *modelAnswerWriter) Flush() error {
	if len(a.eventBuffer) == 0 {
		return nil
	}
	if !a.dataSent {
		header := a.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		a.dataSent = true
	}
	_, err := a.writer.Write(a.eventBuffer)
	a.eventBuffer = a.eventBuffer[:0]
	if err != nil {
		return err
	}

	return a.flusher.Flush()
}

// hasSentData reports whether any part of the answer was sent to the caller.
func (a *modelAnswerWriter) hasSentData() bool {
	return a.dataSent
}

// reset discards the data of a failed attempt, none of which was sent to the caller.
func (a *modelAnswerWriter) reset() {
	a.firstChunkAt = time.Time{}
	a.eventBuffer = a.eventBuffer[:0]
	a.collected = collectedAnswer{}
}

// elapsedTimes returns the time from the request's arrival to its first chunk, 0 if
// there was none, and the time from its arrival until now.
func (a *modelAnswerWriter) elapsedTimes() (firstChunk, total time.Duration) {
	if !a.firstChunkAt.IsZero() {
		firstChunk = a.firstChunkAt.Sub(a.arrivedAt)
	}

	return firstChunk, time.Since(a.arrivedAt)
}

// finish writes the end of a complete answer.
func (a *modelAnswerWriter) finish() error {
	if a.request.Stream {
		a.eventBuffer = append(a.eventBuffer, "data: [DONE]\n\n"...)

		return a.Flush()
	}
	a.writer.Header().Set("Content-Type", "application/json")

	return json.NewEncoder(a.writer).Encode(a.collected.buildResponse(a.request))
}

// writeFailure ends an answer with an error. A caller that was already sent a part of
// the answer gets an error event, so that it can tell a truncated answer from a
// complete one.
func (a *modelAnswerWriter) writeFailure(refusal *answerer.Error) {
	if !a.dataSent {
		writeRefusal(a.writer, refusal)

		return
	}
	data, err := json.Marshal(newRefusalBody(refusal))
	if err != nil {
		return
	}
	a.eventBuffer = append(a.eventBuffer[:0], "event: error\ndata: "...)
	a.eventBuffer = append(a.eventBuffer, data...)
	a.eventBuffer = append(a.eventBuffer, "\n\n"...)
	_ = a.Flush()
}
