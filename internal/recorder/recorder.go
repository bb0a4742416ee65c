// Package recorder makes sure that a non-idempotent call runs at most once. It does
// the input and output for a journaler, which makes the decisions: it reads and writes
// the journal in the store, forwards calls and replays recorded answers.
package recorder

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/forwarder"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/server"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/journaler"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// KindJournal is the kind of the objects in the store that hold the journal's shards.
const KindJournal = "Journal"

const (
	// tickInterval is the time between two calls of the journaler's Tick.
	tickInterval    = 20 * time.Millisecond
	eventBufferSize = 1024
	// storeTimeout is the maximum duration of a read or write of a shard.
	storeTimeout = 3 * time.Second
)

// Store is the part of the platform's object API that a recorder uses.
type Store interface {
	// Get returns an object, or storer.ErrNotFound.
	Get(ctx context.Context, kind, name string) (storer.Object, error)
	// Put writes the spec of an object if the condition holds, and returns the new
	// object.
	Put(ctx context.Context, kind, name string, spec json.RawMessage, condition storer.Condition) (storer.Object, error)
}

// Recorder runs calls as its journaler decides. Do is safe for concurrent use.
type Recorder struct {
	store  Store
	meter  *meter.Meter
	logger hclog.Logger
	// events carries the functions that the goroutine of Serve is to run.
	events chan func(now time.Time)
	done   chan struct{}

	// The fields below are used by the goroutine of Serve only.
	journaler    *journaler.Journaler
	waitingCalls map[uint64]chan decision
	lastCallID   uint64
}

// decision is what the journaler decided on a call: to forward it until sendDeadline,
// to replay the recorded result, or to refuse it with err.
type decision struct {
	forward      bool
	sendDeadline time.Time
	result       journaler.Result
	err          error
}

// New returns a recorder for a journaler. Calls wait until Serve runs.
func New(store Store, journal *journaler.Journaler, counters *meter.Meter, logger hclog.Logger) *Recorder {
	return &Recorder{
		store:        store,
		meter:        counters,
		logger:       logger,
		events:       make(chan func(time.Time), eventBufferSize),
		done:         make(chan struct{}),
		journaler:    journal,
		waitingCalls: map[uint64]chan decision{},
	}
}

// String returns the name under which the supervisor logs the recorder.
func (r *Recorder) String() string {
	return "recorder"
}

// Done is closed when Serve has ended.
func (r *Recorder) Done() <-chan struct{} {
	return r.done
}

// Serve runs the journaler until ctx ends. It returns the error of ctx.
func (r *Recorder) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			close(r.done)

			return ctx.Err()
		case event := <-r.events:
			event(time.Now())
		case now := <-ticker.C:
			r.performActions(r.journaler.Tick(now))
		}
	}
}

// enqueue makes the goroutine of Serve run the event. It drops the event if Serve has
// ended.
func (r *Recorder) enqueue(event func(now time.Time)) {
	select {
	case r.events <- event:
	case <-r.done:
	}
}

// Do runs a call unless an earlier attempt of it may have run, and returns its answer
// or the recorded answer of the earlier attempt. Its errors are of type
// *answerer.Error.
func (r *Recorder) Do(ctx context.Context, call server.KeyedCall, send server.SendFunc) (forwarder.PlainAnswer, error) {
	decisions := make(chan decision, 1)
	ids := make(chan uint64, 1)
	r.enqueue(func(now time.Time) {
		r.lastCallID++
		ids <- r.lastCallID
		r.waitingCalls[r.lastCallID] = decisions
		r.performActions(r.journaler.Begin(now, journaler.Call{
			ID:               r.lastCallID,
			Workspace:        call.Workspace,
			Key:              call.Key,
			Fingerprint:      call.Fingerprint,
			FirstAttemptTime: call.FirstAttemptTime,
			Attempt:          call.Attempt,
		}))
	})

	var id uint64
	select {
	case id = <-ids:
	case <-r.done:
		return forwarder.PlainAnswer{}, answerer.New(answerer.KindStoreDown, "The router's journal stopped before the call.")
	}

	decided, err := r.awaitDecision(ctx, id, decisions)
	if err != nil {
		return forwarder.PlainAnswer{}, err
	}
	if !decided.forward {
		return replayedAnswer(decided)
	}

	return r.forwardAndRecord(id, decided.sendDeadline, send)
}

// awaitDecision waits for the decision on a call. If ctx ends first, it abandons the
// call and returns an error.
func (r *Recorder) awaitDecision(ctx context.Context, id uint64, decisions <-chan decision) (decision, error) {
	select {
	case decided := <-decisions:
		return decided, nil
	case <-r.done:
		return decision{}, answerer.New(answerer.KindUncertain, "The router's journal stopped; the call may have run.")
	case <-ctx.Done():
	}
	r.enqueue(func(now time.Time) {
		r.abandon(now, id, decisions)
	})

	return decision{}, answerer.New(answerer.KindCanceled, "The caller left before the call was made.")
}

// abandon removes a call whose caller is gone. If the decision to forward the call was
// made but nobody received it, the call is recorded as not run.
func (r *Recorder) abandon(now time.Time, id uint64, decisions <-chan decision) {
	if _, waiting := r.waitingCalls[id]; waiting {
		delete(r.waitingCalls, id)
		r.performActions(r.journaler.Abandon(now, id))

		return
	}
	select {
	case decided := <-decisions:
		if decided.forward {
			r.performActions(r.journaler.Finish(now, id, journaler.Result{State: journaler.NotRun}))
		}
	default:
	}
}

// replayedAnswer returns the answer for a call that is not forwarded: the recorded one
// or the error of the refusal.
func replayedAnswer(decided decision) (forwarder.PlainAnswer, error) {
	if decided.err != nil {
		return forwarder.PlainAnswer{}, decided.err
	}
	header := http.Header{}
	header.Set("X-Replayed", "true")
	if decided.result.ContentType != "" {
		header.Set("Content-Type", decided.result.ContentType)
	}
	if decided.result.BodyOmitted {
		header.Set("X-Body-Omitted", "true")
		header.Set("X-Body-Digest", decided.result.BodyDigest)
	}

	return forwarder.PlainAnswer{Status: decided.result.Status, Header: header, Body: decided.result.Body}, nil
}

// forwardAndRecord forwards a call to its endpoint and reports the outcome to the
// journaler, which records it.
func (r *Recorder) forwardAndRecord(id uint64, sendDeadline time.Time, send server.SendFunc) (forwarder.PlainAnswer, error) {
	answer, failure := send(sendDeadline)
	result := journaler.Result{State: journaler.Uncertain}
	switch {
	case failure == nil:
		result = journaler.Result{
			State:       journaler.Done,
			Status:      answer.Status,
			ContentType: answer.Header.Get("Content-Type"),
			Body:        answer.Body,
		}
	case failure.StartStatus.IsNotStarted():
		result.State = journaler.NotRun
	}
	r.enqueue(func(now time.Time) {
		r.performActions(r.journaler.Finish(now, id, result))
	})
	if failure == nil {
		return answer, nil
	}

	return forwarder.PlainAnswer{}, callError(failure)
}

// callError returns the error for the caller of a call that was forwarded and failed.
func callError(failure *retrier.Failure) error {
	if failure.StartStatus.IsNotStarted() {
		return answerer.New(answerer.KindRefusedByEndpoint, "The endpoint refused the call and did not start it.")
	}

	return answerer.New(answerer.KindUncertain, "The call left and its answer is lost; it may have run.")
}

// performActions performs the reads and writes that the journaler asks for, and
// delivers its decisions to the waiting calls.
func (r *Recorder) performActions(actions []journaler.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case journaler.Read:
			r.meter.Add("journal.reads", 1)
			go r.readShard(action)
		case journaler.Write:
			r.meter.Add("journal.writes", 1)
			go r.writeShard(action)
		case journaler.Forward:
			r.deliver(action.ID, decision{forward: true, sendDeadline: action.SendDeadline})
		case journaler.Replay:
			r.meter.Add("journal.replays", 1)
			r.deliver(action.ID, decision{result: action.Result})
		case journaler.Refuse:
			r.deliver(action.ID, decision{err: action.Error})
		}
	}
}

// deliver passes a decision to the call that waits for it, if it still does.
func (r *Recorder) deliver(id uint64, decided decision) {
	decisions, ok := r.waitingCalls[id]
	if !ok {
		return
	}
	delete(r.waitingCalls, id)
	decisions <- decided
}

// readShard reads a shard of the journal and passes the result to the journaler.
func (r *Recorder) readShard(action journaler.Read) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	object, err := r.store.Get(ctx, KindJournal, action.Shard)
	r.enqueue(func(now time.Time) {
		switch {
		case errors.Is(err, storer.ErrNotFound):
			r.performActions(r.journaler.OnRead(now, action.Shard, 0, nil))
		case err != nil:
			r.performActions(r.journaler.OnReadFailed(now, action.Shard))
		default:
			r.performActions(r.journaler.OnRead(now, action.Shard, object.Version, object.Spec))
		}
	})
}

// writeShard writes a shard of the journal if it still has the expected version, and
// passes the result to the journaler.
func (r *Recorder) writeShard(action journaler.Write) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	condition := storer.IfNotExists()
	if action.ExpectedVersion > 0 {
		condition = storer.IfVersion(action.ExpectedVersion)
	}
	object, err := r.store.Put(ctx, KindJournal, action.Shard, action.Contents, condition)
	r.enqueue(func(now time.Time) {
		switch {
		case err == nil:
			r.performActions(r.journaler.OnWritten(now, action.Shard, object.Version))
		case errors.Is(err, storer.ErrConflict):
			r.performActions(r.journaler.OnWriteConflict(now, action.Shard))
		default:
			r.performActions(r.journaler.OnWriteFailed(now, action.Shard, !errors.Is(err, storer.ErrUnavailable)))
		}
	})
}
