package controller

import (
	"context"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// Ticket is an admitted request as its traffic goroutine holds it. Each ticket
// must end with Settle.
type Ticket struct {
	control   *Controller
	entry     *entry
	placement Placement
}

// Placement returns where the current try goes.
func (t *Ticket) Placement() Placement {
	return t.placement
}

// RecordProgress says that made tokens of the answer have come.
func (t *Ticket) RecordProgress(made int) {
	t.control.send(func(now time.Time) {
		t.control.progress(now, t.entry, made)
	})
}

// Finish ends the request: result is how its last try ended, tokens the
// answer's length.
func (t *Ticket) Finish(result balancer.Result, tokens int) {
	t.control.send(func(now time.Time) {
		t.control.settle(now, t.entry, result, tokens)
	})
}

// HandleFailure ends the current try and asks what to do next. After a Retry the
// ticket has a new placement; after a Resume the old one stands; after a Stop
// the decision's error is the request's final answer and the ticket is
// settled.
func (t *Ticket) HandleFailure(ctx context.Context, failure retrier.Failure, tokens int) (retrier.Decision, error) {
	decisions := make(chan retrier.Decision, 1)
	t.control.send(func(now time.Time) {
		decisions <- t.control.failed(now, t.entry, failure, tokens)
	})

	var decision retrier.Decision
	select {
	case decision = <-decisions:
	case <-t.control.done:
		return retrier.Decision{}, errStopped()
	}
	if decision.Action != retrier.Retry {
		return decision, nil
	}
	if err := pause(ctx, decision.Delay); err != nil {
		t.Finish(balancer.Canceled, 0)

		return decision, err
	}

	return decision, t.again(ctx)
}

// again queues the request once more and waits for its next placement.
func (t *Ticket) again(ctx context.Context) error {
	t.control.send(func(now time.Time) {
		t.control.requeue(now, t.entry)
	})

	placement, err := t.control.await(ctx, t.entry)
	t.placement = placement

	return err
}

func pause(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return answerer.New(answerer.KindCanceled, "The caller left between two tries.")
	}
}

func errStopped() error {
	return answerer.New(answerer.KindInternal, "The router's control stopped.")
}
