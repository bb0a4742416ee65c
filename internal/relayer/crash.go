package relayer

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/common/verifier"
	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
)

// crashChecker finds out whether endpoints whose answers broke off have crashed, by opening
// a connection to each. It is safe for concurrent use.
type crashChecker struct {
	dispatcher  *dispatcher.Dispatcher
	connections *connector.Connector
	reach       *reachChecker

	mu     sync.Mutex
	checks map[string]*crashCheck // in progress, by endpoint ID
}

// crashCheck is a check of one endpoint. isDown is valid when done is closed.
type crashCheck struct {
	done      chan struct{}
	isDown    bool
	wasSilent bool // an attempt that waits for the check found the endpoint silent
}

func newCrashChecker(dispatch *dispatcher.Dispatcher, connections *connector.Connector, reach *reachChecker) *crashChecker {
	return &crashChecker{dispatcher: dispatch, connections: connections, reach: reach, checks: map[string]*crashCheck{}}
}

// check starts a check of the placement's endpoint of a service, unless one is in progress, and
// returns it. An endpoint that fell silent also counts as down if it does not answer at all.
func (c *crashChecker) check(service string, placement dispatcher.Placement, maxIdle int, wasSilent bool) *crashCheck {
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
		isCutOff := err != nil && c.awaitReach(service, placement)
		c.mu.Lock()
		delete(c.checks, placement.EndpointID)
		started.isDown = !isCutOff && (errors.Is(err, syscall.ECONNREFUSED) || (started.wasSilent && isTimeout(err)))
		c.mu.Unlock()
		if started.isDown {
			c.dispatcher.RecordEndpointDown(placement)
		}
	}()

	return started
}

// awaitReach reports whether the instance is cut off from all endpoints of a service, after it
// could not connect to one. It may take some attempts to connect to others.
func (c *crashChecker) awaitReach(service string, placement dispatcher.Placement) bool {
	<-c.reach.reportUnreachable(service, placement.EndpointID)

	return c.dispatcher.IsCutOffFrom(service)
}

// reportUnreachable records that an endpoint of a service could not be connected to. If it refused
// the connection, it is down, unless the instance turns out to be cut off.
func (c *crashChecker) reportUnreachable(service string, placement dispatcher.Placement, refused bool) {
	checked := c.reach.reportUnreachable(service, placement.EndpointID)
	if !refused {
		return
	}
	go func() {
		if <-checked; !c.dispatcher.IsCutOffFrom(service) {
			c.dispatcher.RecordEndpointDown(placement)
		}
	}()
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
	a.crashCheck = r.relayer.crashes.check(r.placementRequest.Service, a.placement, r.maxIdleConnections(), false)
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

	return r.relayer.crashes.check(r.placementRequest.Service, placement, r.maxIdleConnections(), true)
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
// crashed, it counts only if its endpoint still accepts connections. A peer records what it
// forwards itself.
func (r *relayedRequest) recordCompletion(a *attempt) {
	if a.isPeer {
		return
	}
	dispatch := r.relayer.dispatcher
	var blocks []uint64
	if a.response.StatusCode/100 == 2 && (a.hasBegun || !isEventStream(a.response.Header)) {
		blocks = r.metadata.SharedBlocks()
	}
	if !verifier.EndsWithConnection(a.response) {
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
	check := r.relayer.crashes.check(r.placementRequest.Service, a.placement, r.maxIdleConnections(), false)
	go func() {
		if <-check.done; !check.isDown {
			dispatch.RecordCompletion(fingerprint)
			dispatch.RecordCompletedBlocks(blocks)
		}
	}()
}
