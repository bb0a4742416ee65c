package forwarder

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/common/sse"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/joiner"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// stream is one try of a model request while it runs. The traffic goroutine
// reads; a timer watches for silence.
type stream struct {
	forwarder *Forwarder
	call      Call
	sink      Sink
	progress  func(made int)
	ctx       context.Context

	mu         sync.Mutex
	joiner     *joiner.Joiner
	connection int
	cut        context.CancelFunc
	pending    *joiner.Action
	failed     *joiner.Action
	finished   bool
	timer      *time.Timer

	// The rest belongs to the traffic goroutine.
	expected int
	chunks   int
	told     time.Time
	sinkErr  error
}

// Stream runs one try and copies its chunks to the sink. Progress is told the
// number of chunks when the first comes and whenever the sink is flushed.
func (f *Forwarder) Stream(ctx context.Context, call Call, sink Sink, progress func(made int)) Result {
	s := &stream{
		forwarder: f,
		call:      call,
		sink:      sink,
		progress:  progress,
		ctx:       ctx,
		joiner:    joiner.New(f.settings),
	}
	s.timer = time.AfterFunc(f.settings.FirstChunkProbeDelay, s.watch)
	defer s.timer.Stop()
	s.watch()

	return s.run()
}

func (s *stream) run() Result {
	ctx, cancel := context.WithCancel(s.ctx)
	s.setCut(cancel)
	response, err := s.forwarder.post(ctx, s.call)
	if err != nil {
		cancel()
		if !s.interrupted() {
			return s.end(s.fail(answerer.KindEndpointLost, unsent(err)))
		}
	} else if response.StatusCode != http.StatusOK {
		failure := refusal(response)
		response.Body.Close()
		cancel()

		return s.end(&failure)
	}

	for {
		if response != nil {
			s.read(response)
			cancel()
		}
		action := s.next()
		if action == nil {
			return s.result()
		}
		ctx, cancel = context.WithCancel(s.ctx)
		s.setCut(cancel)
		response = s.resume(ctx, *action)
	}
}

// read copies events until the connection ends or the stream is whole.
func (s *stream) read(response *http.Response) {
	defer response.Body.Close()
	events := sse.NewReader(response.Body)
	for {
		event, err := events.Next()
		if err != nil || s.sinkErr != nil {
			return
		}
		last := string(event.Data) == "[DONE]"
		s.chunk(event.Number, event.Data, last)
		if s.over() {
			return
		}
		if !events.Pending() {
			s.flush()
		}
	}
}

func (s *stream) chunk(number int, data []byte, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number != s.expected {
		// The joiner keeps a chunk that comes early; the reader does not.
		data = bytes.Clone(data)
	}
	s.expected = number + 1
	for _, action := range s.joiner.OnChunk(time.Now(), s.connection, number, data, last) {
		s.apply(action)
	}
}

// apply carries out an action of the joiner; s.mu is held.
func (s *stream) apply(action joiner.Action) {
	switch action.Type {
	case joiner.Emit:
		s.emit(action.Data)
	case joiner.Done:
		s.finished = true
	case joiner.Resume:
		s.pending = &action
		s.forwarder.distrust()
		s.cut()
	case joiner.Fail:
		s.failed = &action
		s.forwarder.distrust()
		s.cut()
	case joiner.Probe:
		go s.probe()
	}
}

func (s *stream) emit(data []byte) {
	if s.sinkErr != nil || string(data) == "[DONE]" {
		return
	}
	s.chunks++
	s.sinkErr = s.sink.Chunk(data)
	if s.chunks == 1 {
		s.told = time.Now()
		s.progress(1)
	}
}

func (s *stream) flush() {
	if s.sinkErr == nil {
		s.sinkErr = s.sink.Flush()
	}
	if now := time.Now(); now.Sub(s.told) >= progressInterval {
		s.told = now
		s.progress(s.chunks)
	}
}

// next returns the resumption to do now, or nil when the stream has ended.
func (s *stream) next() *joiner.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished || s.failed != nil || s.sinkErr != nil || s.ctx.Err() != nil {
		return nil
	}
	if s.pending == nil {
		for _, action := range s.joiner.OnDisconnect(time.Now(), s.connection) {
			s.apply(action)
		}
	}
	action := s.pending
	s.pending = nil
	if action != nil {
		s.connection = action.Connection
	}
	s.rearm()

	return action
}

func (s *stream) resume(ctx context.Context, action joiner.Action) *http.Response {
	response, err := s.forwarder.resume(ctx, s.call, action.FirstChunk)
	resumed := err == nil && response.StatusCode == http.StatusOK

	s.mu.Lock()
	defer s.mu.Unlock()
	for _, next := range s.joiner.OnResumeReply(time.Now(), action.Connection, resumed) {
		s.apply(next)
	}
	s.rearm()
	if resumed {
		return response
	}
	if err == nil {
		response.Body.Close()
	}

	return nil
}

// watch runs on the timer: it notices silence.
func (s *stream) watch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished || s.failed != nil {
		return
	}
	for _, action := range s.joiner.Tick(time.Now()) {
		s.apply(action)
	}
	s.rearm()
}

func (s *stream) rearm() {
	if next := s.joiner.NextTick(); !next.IsZero() {
		s.timer.Reset(time.Until(next))
	}
}

// probe asks on a new connection whether the engine still has the stream.
func (s *stream) probe() {
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	state, err := s.forwarder.state(ctx, http.MethodGet, s.call)
	if err != nil {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	for _, action := range s.joiner.OnProbeReply(time.Now(), state.joinerState(), state.Started, state.Tokens) {
		s.apply(action)
	}
	s.rearm()
}

func (s *stream) setCut(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cancel
}

func (s *stream) interrupted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.pending != nil
}

func (s *stream) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.finished || s.failed != nil
}

// result ends a stream that was read to some end.
func (s *stream) result() Result {
	s.mu.Lock()
	failed := s.failed
	finished := s.finished
	s.mu.Unlock()

	switch {
	case finished && s.sinkErr == nil:
		s.sinkErr = s.sink.Flush()
		if s.sinkErr == nil {
			return Result{Chunks: s.chunks}
		}

		return s.end(s.fail(answerer.KindCanceled, retrier.StartConfirmed()))
	case s.ctx.Err() != nil || s.sinkErr != nil:
		return s.end(s.fail(answerer.KindCanceled, retrier.StartUnknown()))
	case failed != nil:
		return s.end(s.fail(failed.ErrorKind, retrier.StartUnknown()))
	default:
		return s.end(s.fail(answerer.KindEndpointLost, retrier.StartUnknown()))
	}
}

func (s *stream) fail(kind answerer.Kind, started retrier.StartStatus) *retrier.Failure {
	return &retrier.Failure{Kind: kind, StartStatus: started}
}

// end makes sure that nothing runs for nobody: unless nothing was handed over,
// the engine is told to cancel, and its answer may prove that it never began.
func (s *stream) end(failure *retrier.Failure) Result {
	failure.Idempotent = true
	failure.PartlyDelivered = s.chunks > 0
	if s.chunks > 0 {
		failure.StartStatus = retrier.StartConfirmed()
	}
	if failure.StartStatus.IsNotStarted() {
		return Result{Failure: failure}
	}

	ctx, cancel := detached(cancelTimeout)
	defer cancel()
	state, err := s.forwarder.state(ctx, http.MethodDelete, s.call)
	// An engine that does not know the stream may have lost it in a crash:
	// only its word on a stream that it knows is a proof.
	if err == nil && state.State != "unknown" && !state.Started && s.chunks == 0 {
		failure.StartStatus = retrier.ConfirmedNeverStarted()
	}

	return Result{Failure: failure, Chunks: s.chunks}
}
