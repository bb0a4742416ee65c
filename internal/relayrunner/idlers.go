package relayrunner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/connector"
)

// idlers are the callers' connections without a request. net/http has an idle
// timeout too, but not one that a new configuration can change.
type idlers struct {
	timeout func() time.Duration

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdlers(timeout func() time.Duration) *idlers {
	return &idlers{timeout: timeout, since: map[net.Conn]time.Time{}}
}

// changed follows the state of a connection.
func (i *idlers) changed(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[conn] = time.Now()
	} else {
		delete(i.since, conn)
	}
}

// sweep closes the connections that were idle for too long.
func (i *idlers) sweep(now time.Time) {
	timeout := i.timeout()
	if timeout <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for conn, since := range i.since {
		if now.Sub(since) > timeout {
			_ = conn.Close()
			delete(i.since, conn)
		}
	}
}

// sweeper closes idle connections on both sides.
type sweeper struct {
	links  *connector.Connector
	idlers *idlers
}

// String returns the name that the supervisor logs.
func (s *sweeper) String() string {
	return "sweeper"
}

// Serve sweeps until ctx ends.
func (s *sweeper) Serve(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			s.links.Sweep()
			s.idlers.sweep(now)
		}
	}
}
