package relayrunner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/oleanderpick/oleanderpick/internal/connector"
)

// connectionTracker tracks the callers' idle connections, and when the last connection was
// opened. It closes connections that are idle for too long, because the idle timeout of
// net/http cannot be changed by a new configuration.
type connectionTracker struct {
	idleTimeout func() time.Duration // returns zero if there is no limit

	mu           sync.Mutex
	idleSince    map[net.Conn]time.Time
	lastOpenedAt time.Time // when the last connection was opened, idle or not
}

// newConnectionTracker returns a tracker without connections. It calls idleTimeout for the
// current limit whenever it closes idle connections.
func newConnectionTracker(idleTimeout func() time.Duration) *connectionTracker {
	return &connectionTracker{idleTimeout: idleTimeout, idleSince: map[net.Conn]time.Time{}}
}

// onStateChange records the new state of a connection. It is the server's ConnState hook.
func (t *connectionTracker) onStateChange(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.lastOpenedAt = time.Now()
	case http.StateIdle:
		t.idleSince[conn] = time.Now()
	default:
		delete(t.idleSince, conn)
	}
}

// lastOpenTime returns when the last connection was opened; zero if there was none.
func (t *connectionTracker) lastOpenTime() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.lastOpenedAt
}

// closeAll closes all idle connections, whatever the idle timeout.
func (t *connectionTracker) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.idleSince {
		t.closeUnlessUnread(conn)
	}
}

// closeUnlessUnread closes an idle connection, unless it has bytes that have not been read
// yet: they belong to a request that closing the connection would lose.
func (t *connectionTracker) closeUnlessUnread(conn net.Conn) {
	if hasUnreadBytes(conn) {
		return
	}
	_ = conn.Close()
	delete(t.idleSince, conn)
}

// hasUnreadBytes reports whether the operating system has received bytes on the connection
// that have not been read. It returns false if the connection does not support the
// query.
func hasUnreadBytes(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unreadBytes := 0
	err = raw.Control(func(descriptor uintptr) {
		if n, ioctlErr := unix.IoctlGetInt(int(descriptor), unix.TIOCINQ); ioctlErr == nil {
			unreadBytes = n
		}
	})

	return err == nil && unreadBytes > 0
}

// closeExpired closes the connections that have been idle for longer than the timeout.
func (t *connectionTracker) closeExpired(now time.Time) {
	timeout := t.idleTimeout()
	if timeout <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn, since := range t.idleSince {
		if now.Sub(since) > timeout {
			t.closeUnlessUnread(conn)
		}
	}
}

// idleSweeper closes idle connections, both those of callers and those to endpoints and peers.
type idleSweeper struct {
	pools   []*connector.Connector
	callers *connectionTracker
}

// String returns the name that the supervisor logs.
func (s *idleSweeper) String() string {
	return "sweeper"
}

// Serve closes idle connections every sweepInterval until ctx ends.
func (s *idleSweeper) Serve(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			for _, pool := range s.pools {
				pool.CloseExpired()
			}
			s.callers.closeExpired(now)
		}
	}
}
