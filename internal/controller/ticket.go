package controller

import (
	"context"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// Ticket is the handle of an admitted request, by which the goroutine that serves the
// request reports its progress. Every ticket must be ended with Finish, unless
// HandleFailure has already ended it.
type Ticket struct {
	controller *Controller
	state      *requestState
	placement  Placement
}

// Placement returns the endpoint of the current attempt.
func (t *Ticket) Placement() Placement {
	return t.placement
}

// RecordProgress reports the number of answer tokens received so far.
func (t *Ticket) RecordProgress(receivedTokens int) {
	t.controller.sendEvent(func(now time.Time) {
		t.controller.recordProgress(now, t.state, receivedTokens)
	})
}

// Finish ends the request with the result of its last attempt and the length of the
// answer in tokens.
func (t *Ticket) Finish(result balancer.Result, answerTokens int) {
	t.controller.sendEvent(func(now time.Time) {
		t.controller.finishRequest(now, t.state, result, answerTokens)
	})
}

// HandleFailure reports that the current attempt failed after the given number of answer
// tokens, and returns what to do next. If the action is Retry, it has waited for the
// backoff and the ticket has a new placement. If it is Resume, the placement remains
// valid. If it is Stop, the decision holds the error for the caller, and the ticket
// has ended. A returned error means that a retry was not placed; it is the error for
// the caller.
func (t *Ticket) HandleFailure(ctx context.Context, failure retrier.Failure, answerTokens int) (retrier.Decision, error) {
	decisions := make(chan retrier.Decision, 1)
	t.controller.sendEvent(func(now time.Time) {
		decisions <- t.controller.handleFailure(now, t.state, failure, answerTokens)
	})

	var decision retrier.Decision
	select {
	case decision = <-decisions:
	case <-t.controller.done:
		return retrier.Decision{}, errControllerStopped()
	}
	if decision.Action != retrier.Retry {
		return decision, nil
	}
	if err := waitBackoff(ctx, decision.Delay); err != nil {
		t.Finish(balancer.Canceled, 0)

		return decision, err
	}

	return decision, t.requeue(ctx)
}

// requeue puts the request back into the queue and waits for its next placement.
func (t *Ticket) requeue(ctx context.Context) error {
	t.controller.sendEvent(func(now time.Time) {
		t.controller.requeue(now, t.state)
	})

	placement, err := t.controller.awaitPlacement(ctx, t.state)
	t.placement = placement

	return err
}

func waitBackoff(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return answerer.New(answerer.KindCanceled, "The caller left between two tries.")
	}
}

func errControllerStopped() error {
	return answerer.New(answerer.KindInternal, "The router's control stopped.")
}
