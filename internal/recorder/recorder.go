// Package recorder runs non-idempotent calls at most once: it is the input and
// output around the journaler's decisions.
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

// KindJournal is the kind of the journal's shards on the platform.
const KindJournal = "Journal"

const (
	tickInterval = 20 * time.Millisecond
	eventBuffer  = 1024
	storeTimeout = 3 * time.Second
)

// Store is the part of the platform's object API that a recorder uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (storer.Object, error)
	Put(ctx context.Context, kind, name string, spec json.RawMessage, condition storer.Condition) (storer.Object, error)
}

// Recorder owns a journaler. Do is safe for concurrent use.
type Recorder struct {
	store  Store
	meter  *meter.Meter
	logger hclog.Logger
	events chan func(now time.Time)
	done   chan struct{}

	// The rest belongs to the goroutine of Serve.
	journaler *journaler.Journaler
	calls     map[uint64]chan step
	last      uint64
}

// step is the next thing that a waiting call is told.
type step struct {
	forward bool
	until   time.Time
	result  journaler.Result
	err     error
}

// New returns a recorder; Serve runs it.
func New(store Store, journal *journaler.Journaler, counters *meter.Meter, logger hclog.Logger) *Recorder {
	return &Recorder{
		store:     store,
		meter:     counters,
		logger:    logger,
		events:    make(chan func(time.Time), eventBuffer),
		done:      make(chan struct{}),
		journaler: journal,
		calls:     map[uint64]chan step{},
	}
}

// String returns the name that the supervisor logs.
func (r *Recorder) String() string {
	return "recorder"
}

// Done is closed when Serve has ended.
func (r *Recorder) Done() <-chan struct{} {
	return r.done
}

// Serve runs the journaler until ctx ends.
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
			r.act(r.journaler.Tick(now))
		}
	}
}

func (r *Recorder) send(event func(now time.Time)) {
	select {
	case r.events <- event:
	case <-r.done:
	}
}

// Do runs a call unless an earlier try of it may have run, and returns its
// answer or the stored one. Errors are *answerer.Error.
func (r *Recorder) Do(ctx context.Context, call server.KeyedCall, run server.SendFunc) (forwarder.PlainAnswer, error) {
	steps := make(chan step, 1)
	ids := make(chan uint64, 1)
	r.send(func(now time.Time) {
		r.last++
		ids <- r.last
		r.calls[r.last] = steps
		r.act(r.journaler.Begin(now, journaler.Call{
			ID:               r.last,
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

	next, err := r.wait(ctx, id, steps)
	if err != nil {
		return forwarder.PlainAnswer{}, err
	}
	if !next.forward {
		return replayed(next)
	}

	return r.forward(id, next.until, run)
}

// wait returns the next step of a call.
func (r *Recorder) wait(ctx context.Context, id uint64, steps <-chan step) (step, error) {
	select {
	case next := <-steps:
		return next, nil
	case <-r.done:
		return step{}, answerer.New(answerer.KindUncertain, "The router's journal stopped; the call may have run.")
	case <-ctx.Done():
	}
	r.send(func(now time.Time) {
		r.abandon(now, id, steps)
	})

	return step{}, answerer.New(answerer.KindCanceled, "The caller left before the call was made.")
}

// abandon drops a call whose caller left. A call that was told to forward but
// did not read it is known not to have run.
func (r *Recorder) abandon(now time.Time, id uint64, steps <-chan step) {
	if _, waiting := r.calls[id]; waiting {
		delete(r.calls, id)
		r.act(r.journaler.Abandon(now, id))

		return
	}
	select {
	case next := <-steps:
		if next.forward {
			r.act(r.journaler.Finish(now, id, journaler.Result{State: journaler.NotRun}))
		}
	default:
	}
}

func replayed(next step) (forwarder.PlainAnswer, error) {
	if next.err != nil {
		return forwarder.PlainAnswer{}, next.err
	}
	header := http.Header{}
	header.Set("X-Replayed", "true")
	if next.result.ContentType != "" {
		header.Set("Content-Type", next.result.ContentType)
	}
	if next.result.BodyOmitted {
		header.Set("X-Body-Omitted", "true")
		header.Set("X-Body-Digest", next.result.BodyDigest)
	}

	return forwarder.PlainAnswer{Status: next.result.Status, Header: header, Body: next.result.Body}, nil
}

// forward makes the call and has its outcome recorded.
func (r *Recorder) forward(id uint64, until time.Time, run server.SendFunc) (forwarder.PlainAnswer, error) {
	answer, failure := run(until)
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
	r.send(func(now time.Time) {
		r.act(r.journaler.Finish(now, id, result))
	})
	if failure == nil {
		return answer, nil
	}

	return forwarder.PlainAnswer{}, failed(failure)
}

func failed(failure *retrier.Failure) error {
	if failure.StartStatus.IsNotStarted() {
		return answerer.New(answerer.KindRefusedByEndpoint, "The endpoint refused the call and did not start it.")
	}

	return answerer.New(answerer.KindUncertain, "The call left and its answer is lost; it may have run.")
}

// act carries out the journaler's actions.
func (r *Recorder) act(actions []journaler.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case journaler.Read:
			r.meter.Add("journal.reads", 1)
			go r.read(action)
		case journaler.Write:
			r.meter.Add("journal.writes", 1)
			go r.write(action)
		case journaler.Forward:
			r.tell(action.ID, step{forward: true, until: action.SendDeadline})
		case journaler.Replay:
			r.meter.Add("journal.replays", 1)
			r.tell(action.ID, step{result: action.Result})
		case journaler.Refuse:
			r.tell(action.ID, step{err: action.Error})
		}
	}
}

func (r *Recorder) tell(id uint64, next step) {
	steps, ok := r.calls[id]
	if !ok {
		return
	}
	delete(r.calls, id)
	steps <- next
}

func (r *Recorder) read(action journaler.Read) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	object, err := r.store.Get(ctx, KindJournal, action.Shard)
	r.send(func(now time.Time) {
		switch {
		case errors.Is(err, storer.ErrNotFound):
			r.act(r.journaler.OnRead(now, action.Shard, 0, nil))
		case err != nil:
			r.act(r.journaler.OnReadFailed(now, action.Shard))
		default:
			r.act(r.journaler.OnRead(now, action.Shard, object.Version, object.Spec))
		}
	})
}

func (r *Recorder) write(action journaler.Write) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	condition := storer.Absent()
	if action.ExpectedVersion > 0 {
		condition = storer.At(action.ExpectedVersion)
	}
	object, err := r.store.Put(ctx, KindJournal, action.Shard, action.Contents, condition)
	r.send(func(now time.Time) {
		switch {
		case err == nil:
			r.act(r.journaler.OnWritten(now, action.Shard, object.Version))
		case errors.Is(err, storer.ErrConflict):
			r.act(r.journaler.OnWriteConflict(now, action.Shard))
		default:
			r.act(r.journaler.OnWriteFailed(now, action.Shard, !errors.Is(err, storer.ErrDown)))
		}
	})
}
