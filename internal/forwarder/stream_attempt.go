package forwarder

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/common/sse"
	"github.com/oleanderpick/oleanderpick/internal/common/verifier"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/joiner"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// streamAttempt is a running attempt of a model request. The goroutine that calls
// RunModelCall reads the answer; a timer detects when nothing arrives for too long.
type streamAttempt struct {
	forwarder      *Forwarder
	call           ModelCall
	writer         ChunkWriter
	reportProgress func(chunkCount int)
	ctx            context.Context

	// mu protects the fields up to tickTimer.
	mu               sync.Mutex
	joiner           *joiner.Joiner
	connectionNumber int
	cancelConnection context.CancelFunc
	pendingResume    *joiner.Action
	failAction       *joiner.Action
	finished         bool
	tickTimer        *time.Timer

	// The remaining fields are used only by the goroutine that reads the answer.
	nextChunk          int
	chunkCount         int
	lastProgressReport time.Time
	writeErr           error
}

// RunModelCall sends a model request to an engine and passes the chunks of the answer to
// writer. It calls reportProgress with the number of chunks so far when the first one
// arrives, and after that when the writer is flushed, at most once per progressInterval.
func (f *Forwarder) RunModelCall(ctx context.Context, call ModelCall, writer ChunkWriter, reportProgress func(chunkCount int)) Result {
	attempt := &streamAttempt{
		forwarder:      f,
		call:           call,
		writer:         writer,
		reportProgress: reportProgress,
		ctx:            ctx,
		joiner:         joiner.New(f.settings),
	}
	attempt.tickTimer = time.AfterFunc(f.settings.FirstChunkProbeDelay, attempt.tick)
	defer attempt.tickTimer.Stop()
	attempt.tick()

	return attempt.run()
}

// run sends the request and reads the answer, over several connections if it has to be
// resumed, until the stream ends.
func (s *streamAttempt) run() Result {
	ctx, cancel := context.WithCancel(s.ctx)
	s.setCancelConnection(cancel)
	trace := connectionTrace{}
	response, err := s.forwarder.sendModelCall(ctx, s.call, &trace)
	if err != nil {
		cancel()
		if !s.isResumePending() {
			return s.finishFailed(s.newFailure(answerer.KindEndpointLost, startStatusFromError(err)))
		}
	} else if answered := response.Header.Get(requestIDHeader); answered != "" && answered != s.call.StreamID {
		response.Body.Close()
		cancel()

		return s.finishFailed(s.newFailure(answerer.KindEndpointLost, retrier.StartUnknown()))
	} else if response.StatusCode != http.StatusOK {
		failure := failureFromResponse(response, !trace.isReused.Load(), s.call.StreamID)
		response.Body.Close()
		cancel()

		return s.finishFailed(&failure)
	}

	for {
		if response != nil {
			s.readEvents(response)
			cancel()
		}
		action := s.nextResume()
		if action == nil {
			return s.finalResult()
		}
		ctx, cancel = context.WithCancel(s.ctx)
		s.setCancelConnection(cancel)
		response = s.resume(ctx, *action)
	}
}

// readEvents passes on events until the connection or the stream ends.
func (s *streamAttempt) readEvents(response *http.Response) {
	defer response.Body.Close()
	events := sse.NewReader(response.Body)
	if verifier.EndsWithConnection(response) {
		events = sse.NewStrictReader(response.Body)
	}
	for {
		event, err := events.Next()
		if err != nil || s.writeErr != nil {
			return
		}
		isLast := string(event.Data) == "[DONE]"
		s.processChunk(event.ID, event.Data, isLast)
		if s.hasEnded() {
			return
		}
		if !events.HasBuffered() {
			s.flushWriter()
		}
	}
}

// processChunk passes a chunk to the joiner and carries out the actions that it returns.
func (s *streamAttempt) processChunk(number int, data []byte, isLast bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number != s.nextChunk {
		// The joiner may store a chunk that arrives out of order, but the reader
		// reuses its buffer.
		data = bytes.Clone(data)
	}
	s.nextChunk = number + 1
	for _, action := range s.joiner.OnChunk(time.Now(), s.connectionNumber, number, data, isLast) {
		s.apply(action)
	}
}

// apply carries out an action of the joiner. The caller must hold s.mu.
func (s *streamAttempt) apply(action joiner.Action) {
	switch action.Type {
	case joiner.Emit:
		s.writeChunk(action.Data)
	case joiner.Done:
		s.finished = true
	case joiner.Resume:
		s.pendingResume = &action
		s.forwarder.dropPooledConnections()
		s.cancelConnection()
	case joiner.Fail:
		s.failAction = &action
		s.forwarder.dropPooledConnections()
		s.cancelConnection()
	case joiner.Probe:
		go s.probe()
	}
}

// writeChunk passes the data of a chunk to the writer and reports the first chunk as
// progress.
func (s *streamAttempt) writeChunk(data []byte) {
	if s.writeErr != nil || string(data) == "[DONE]" {
		return
	}
	s.chunkCount++
	s.writeErr = s.writer.WriteChunk(data)
	if s.chunkCount == 1 {
		s.lastProgressReport = time.Now()
		s.reportProgress(1)
	}
}

// flushWriter flushes the writer and reports progress if a report is due.
func (s *streamAttempt) flushWriter() {
	if s.writeErr == nil {
		s.writeErr = s.writer.Flush()
	}
	if now := time.Now(); now.Sub(s.lastProgressReport) >= progressInterval {
		s.lastProgressReport = now
		s.reportProgress(s.chunkCount)
	}
}

// nextResume is called when a connection has ended. It returns the resumption to carry
// out next, or nil if the stream has ended.
func (s *streamAttempt) nextResume() *joiner.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished || s.failAction != nil || s.writeErr != nil || s.ctx.Err() != nil {
		return nil
	}
	if s.pendingResume == nil {
		for _, action := range s.joiner.OnDisconnect(time.Now(), s.connectionNumber) {
			s.apply(action)
		}
	}
	action := s.pendingResume
	s.pendingResume = nil
	if action != nil {
		s.connectionNumber = action.Connection
	}
	s.scheduleTick()

	return action
}

// resume asks the engine for the rest of the stream. It returns the response to read, or
// nil if the engine did not accept the resumption.
func (s *streamAttempt) resume(ctx context.Context, action joiner.Action) *http.Response {
	response, err := s.forwarder.requestResumption(ctx, s.call, action.FirstChunk)
	resumed := err == nil && response.StatusCode == http.StatusOK

	s.mu.Lock()
	defer s.mu.Unlock()
	for _, followUp := range s.joiner.OnResumeReply(time.Now(), action.Connection, resumed) {
		s.apply(followUp)
	}
	s.scheduleTick()
	if resumed {
		return response
	}
	if err == nil {
		response.Body.Close()
	}

	return nil
}

// tick is called by the timer. The joiner then decides whether the stream must be probed
// because nothing arrived for too long.
func (s *streamAttempt) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished || s.failAction != nil {
		return
	}
	for _, action := range s.joiner.Tick(time.Now()) {
		s.apply(action)
	}
	s.scheduleTick()
}

// scheduleTick sets the timer to the time at which the joiner must be called next. The
// caller must hold s.mu.
func (s *streamAttempt) scheduleTick() {
	if nextTick := s.joiner.NextTick(); !nextTick.IsZero() {
		s.tickTimer.Reset(time.Until(nextTick))
	}
}

// probe asks the engine, on a new connection, for the status of the stream, and passes
// it to the joiner. A probe without an answer is ignored; the joiner times it out.
func (s *streamAttempt) probe() {
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	status, err := s.forwarder.requestStreamStatus(ctx, http.MethodGet, s.call)
	if err != nil {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	for _, action := range s.joiner.OnProbeReply(time.Now(), status.toJoinerState(), status.Started != nil && *status.Started, status.ProducedTokens) {
		s.apply(action)
	}
	s.scheduleTick()
}

// setCancelConnection stores the function that cancels the current connection.
func (s *streamAttempt) setCancelConnection(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelConnection = cancel
}

// isResumePending reports whether the joiner has asked for a resumption that is not yet
// carried out.
func (s *streamAttempt) isResumePending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.pendingResume != nil
}

// hasEnded reports whether the stream is complete or has failed.
func (s *streamAttempt) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.finished || s.failAction != nil
}

// finalResult returns the result of a stream that is not resumed any more: complete,
// canceled or failed.
func (s *streamAttempt) finalResult() Result {
	s.mu.Lock()
	failAction := s.failAction
	finished := s.finished
	s.mu.Unlock()

	switch {
	case finished && s.writeErr == nil:
		s.writeErr = s.writer.Flush()
		if s.writeErr == nil {
			return Result{ChunkCount: s.chunkCount}
		}

		return s.finishFailed(s.newFailure(answerer.KindCanceled, retrier.StartConfirmed()))
	case s.ctx.Err() != nil || s.writeErr != nil:
		return s.finishFailed(s.newFailure(answerer.KindCanceled, retrier.StartUnknown()))
	case failAction != nil:
		return s.finishFailed(s.newFailure(failAction.ErrorKind, retrier.StartUnknown()))
	default:
		return s.finishFailed(s.newFailure(answerer.KindEndpointLost, retrier.StartUnknown()))
	}
}

func (s *streamAttempt) newFailure(kind answerer.Kind, startStatus retrier.StartStatus) *retrier.Failure {
	return &retrier.Failure{Kind: kind, StartStatus: startStatus}
}

// finishFailed returns the result of a failed attempt. Unless it is certain that the
// engine did not start the request, it cancels the stream there, so that the engine does
// not continue an answer that nobody reads. The engine's reply may also prove that it
// never started the request.
func (s *streamAttempt) finishFailed(failure *retrier.Failure) Result {
	failure.Idempotent = true
	failure.PartlyDelivered = s.chunkCount > 0
	if s.chunkCount > 0 {
		failure.StartStatus = retrier.StartConfirmed()
	}
	if failure.StartStatus.IsNotStarted() {
		return Result{Failure: failure}
	}

	ctx, cancel := newDetachedContext(cancelTimeout)
	defer cancel()
	status, err := s.forwarder.requestStreamStatus(ctx, http.MethodDelete, s.call)
	if err == nil && status.isNeverStarted() && s.chunkCount == 0 {
		failure.StartStatus = retrier.ConfirmedNeverStarted()
	}

	return Result{Failure: failure, ChunkCount: s.chunkCount}
}
