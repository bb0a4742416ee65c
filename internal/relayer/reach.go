package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
)

// probeInterval is the time between two rounds of probes while the instance is cut off.
const probeInterval = 300 * time.Millisecond

// reachChecker finds out whether the instance is cut off from all endpoints of a service, by
// opening connections to some of them. It is safe for concurrent use.
type reachChecker struct {
	dispatcher  *dispatcher.Dispatcher
	connections *connector.Connector

	mu      sync.Mutex
	running map[string]chan struct{} // closed when the check in progress ends, by service
}

func newReachChecker(dispatch *dispatcher.Dispatcher, connections *connector.Connector) *reachChecker {
	return &reachChecker{dispatcher: dispatch, connections: connections, running: map[string]chan struct{}{}}
}

// reportUnreachable records that an endpoint could not be reached, and starts a check of its
// service unless one is in progress. The returned channel is closed when it is known whether the
// instance is cut off from the service.
func (c *reachChecker) reportUnreachable(service, endpoint string) <-chan struct{} {
	c.dispatcher.RecordUnreachable(service, endpoint)

	return c.startCheck(service)
}

// startCheck starts a check of a service unless one is in progress.
func (c *reachChecker) startCheck(service string) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if running, ok := c.running[service]; ok {
		return running
	}
	done := make(chan struct{})
	c.running[service] = done
	go func() {
		c.check(service)
		c.mu.Lock()
		delete(c.running, service)
		c.mu.Unlock()
		close(done)
	}()

	return done
}

// check probes endpoints of a service until one accepts a connection or the instance counts as
// cut off from it. Then it also checks the other services.
func (c *reachChecker) check(service string) {
	if c.dispatcher.IsCutOffFrom(service) {
		return
	}
	for !c.dispatcher.IsCutOffFrom(service) {
		if !c.probe(service) {
			return
		}
	}
	go c.awaitReach(service)
	for _, other := range c.dispatcher.SuspectOthers(service) {
		c.startCheck(other)
	}
}

// awaitReach probes endpoints of a service until the instance is not cut off from it any more.
func (c *reachChecker) awaitReach(service string) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for c.dispatcher.IsCutOffFrom(service) {
		select {
		case <-c.dispatcher.Done():
			return
		case <-ticker.C:
			c.probe(service)
		}
	}
}

// probe plays a round of probes. It reports whether another one may be needed.
func (c *reachChecker) probe(service string) bool {
	targets := c.dispatcher.StartProbes(service)
	if len(targets) == 0 {
		return false
	}
	maxIdle := c.dispatcher.LocalShare(defaultMaxConnections / 2)
	results := make(chan error, len(targets))
	for _, target := range targets {
		go func() { results <- c.connections.Probe(context.Background(), target.Address, maxIdle) }()
	}
	succeeded := false
	for range targets {
		if err := <-results; err == nil {
			succeeded = true
		}
	}
	c.dispatcher.EndProbes(service, targets, succeeded)

	return !succeeded
}
