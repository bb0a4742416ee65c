package relayer

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
)

// crashChecker finds out whether endpoints whose answers broke off have crashed, by opening
// a connection to each. It is safe for concurrent use.
type crashChecker struct {
	dispatcher  *dispatcher.Dispatcher
	connections *connector.Connector

	mu     sync.Mutex
	checks map[string]*crashCheck // in progress, by endpoint ID
}

// crashCheck is a check of one endpoint. isDown is valid when done is closed.
type crashCheck struct {
	done      chan struct{}
	isDown    bool
	wasSilent bool // an attempt that waits for the check found the endpoint silent
}

func newCrashChecker(dispatch *dispatcher.Dispatcher, connections *connector.Connector) *crashChecker {
	return &crashChecker{dispatcher: dispatch, connections: connections, checks: map[string]*crashCheck{}}
}

// check starts a check of the placement's endpoint, unless one is in progress, and returns
// it. An endpoint that fell silent also counts as down if it does not answer at all.
func (c *crashChecker) check(placement dispatcher.Placement, maxIdle int, wasSilent bool) *crashCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	if running, ok := c.checks[placement.EndpointID]; ok {
		running.wasSilent = running.wasSilent || wasSilent

		return running
	}
	started := &crashCheck{done: make(chan struct{}), wasSilent: wasSilent}
	c.checks[placement.EndpointID] = started
	go func() {
		defer close(started.done)
		err := c.connections.Probe(context.Background(), placement.Address, maxIdle)
		c.mu.Lock()
		delete(c.checks, placement.EndpointID)
		started.isDown = errors.Is(err, syscall.ECONNREFUSED) || (started.wasSilent && isTimeout(err))
		c.mu.Unlock()
		if started.isDown {
			c.dispatcher.RecordEndpointDown(placement)
		}
	}()

	return started
}

func isTimeout(err error) bool {
	var networkError net.Error

	return errors.As(err, &networkError) && networkError.Timeout()
}

// reportBrokenAnswer records that an attempt's answer broke off, and starts to find out
// whether its endpoint crashed.
func (r *relayedRequest) reportBrokenAnswer(a *attempt, wasSilent bool) {
	if wasSilent {
		a.crashCheck = r.reportSilence(a.placement, a.sentAt, a.hasBegun)

		return
	}
	r.relayer.dispatcher.RecordBrokenAnswer(a.placement, dispatcher.BrokenAnswer{
		Fingerprint: r.fingerprint(), Blocks: r.metadata.SharedBlocks(), HasBegun: a.hasBegun, BrokenAt: time.Now(),
	})
	a.crashCheck = r.relayer.crashes.check(a.placement, r.maxIdleConnections(), false)
}

// reportSilence is reportBrokenAnswer for an attempt whose endpoint sends nothing on any
// request. If the endpoint crashed, it did so after it last sent something.
func (r *relayedRequest) reportSilence(placement dispatcher.Placement, sentAt time.Time, hasBegun bool) *crashCheck {
	brokenAt := time.Now().Add(-r.relayer.dispatcher.SinceLastActivity(placement))
	if brokenAt.Before(sentAt) {
		brokenAt = sentAt
	}
	r.relayer.dispatcher.RecordBrokenAnswer(placement, dispatcher.BrokenAnswer{
		Fingerprint: r.fingerprint(), Blocks: r.metadata.SharedBlocks(), HasBegun: hasBegun, BrokenAt: brokenAt,
	})

	return r.relayer.crashes.check(placement, r.maxIdleConnections(), true)
}

// isBlockedRepeat reports whether the request may not be sent to another endpoint after an
// attempt, because it may be the one that crashed the endpoint. It waits until a check of
// the endpoint has ended.
func (r *relayedRequest) isBlockedRepeat(ctx context.Context, a *attempt) bool {
	if a.crashCheck == nil || a.hasBegun {
		return false
	}
	select {
	case <-a.crashCheck.done:
	case <-ctx.Done():
		return false
	}

	return a.crashCheck.isDown && !r.relayer.dispatcher.MayRepeatBlocks(r.metadata.SharedBlocks())
}

// isQuarantined reports whether the request may not be sent to an endpoint now, because its
// prompt has a block that crashes endpoints. A request on trial stays allowed until it may
// have run.
func (r *relayedRequest) isQuarantined() bool {
	if r.isOnTrial && !r.mayHaveRun {
		return false
	}
	verdict := r.relayer.dispatcher.DecideBlocks(r.metadata.SharedBlocks())
	r.isOnTrial = verdict == isolator.Trial
	if verdict != isolator.Allowed {
		r.relayer.logger.Info("Prompt has a block that crashes endpoints.", "request", r.metadata.ID, "blocks", isolator.FormatBlocks(r.metadata.SharedBlocks()),
			"trial", r.isOnTrial, "may have run", r.mayHaveRun)
	}

	return verdict == isolator.Quarantined
}

// recordCompletion records that a whole answer came, so that neither the request nor the
// blocks of its prompt crash endpoints. Only a success shows that for the blocks. An answer
// that ends with its connection may have been ended by a crash: once endpoints have
// crashed, it counts only if its endpoint still accepts connections.
func (r *relayedRequest) recordCompletion(a *attempt) {
	dispatch := r.relayer.dispatcher
	var blocks []uint64
	if a.response.StatusCode/100 == 2 && (a.hasBegun || !isEventStream(a.response.Header)) {
		blocks = r.metadata.SharedBlocks()
	}
	if !endsWithConnection(a.response) {
		a.completedBlocks = blocks
		if dispatch.HasSuspects() {
			dispatch.RecordCompletion(r.fingerprint())
		}

		return
	}
	fingerprint := r.fingerprint()
	dispatch.RecordBrokenAnswer(a.placement, dispatcher.BrokenAnswer{
		Fingerprint: fingerprint, Blocks: r.metadata.SharedBlocks(), HasBegun: a.hasBegun, BrokenAt: time.Now(),
	})
	if !dispatch.HasSuspects() && !dispatch.HasBlockRecords() {
		a.completedBlocks = blocks

		return
	}
	check := r.relayer.crashes.check(a.placement, r.maxIdleConnections(), false)
	go func() {
		if <-check.done; !check.isDown {
			dispatch.RecordCompletion(fingerprint)
			dispatch.RecordCompletedBlocks(blocks)
		}
	}()
}
