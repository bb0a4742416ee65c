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
	done   chan struct{}
	isDown bool
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
		return running
	}
	started := &crashCheck{done: make(chan struct{})}
	c.checks[placement.EndpointID] = started
	go func() {
		defer close(started.done)
		err := c.connections.Probe(context.Background(), placement.Address, maxIdle)
		c.mu.Lock()
		delete(c.checks, placement.EndpointID)
		c.mu.Unlock()
		started.isDown = errors.Is(err, syscall.ECONNREFUSED) || (wasSilent && isTimeout(err))
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
	brokenAt := time.Now()
	if wasSilent {
		brokenAt = brokenAt.Add(-r.relayer.dispatcher.SinceLastActivity(a.placement))
		if brokenAt.Before(a.sentAt) {
			brokenAt = a.sentAt
		}
	}
	r.relayer.dispatcher.RecordBrokenAnswer(a.placement, dispatcher.BrokenAnswer{
		Fingerprint: r.fingerprint(), Blocks: r.metadata.SharedBlocks(), HasBegun: a.hasBegun, BrokenAt: brokenAt,
	})
	a.crashCheck = r.relayer.crashes.check(a.placement, r.maxIdleConnections(), wasSilent)
}
