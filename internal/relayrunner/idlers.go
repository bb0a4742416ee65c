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

// idlers are the callers' connections without a request, and when the last of all
// connections was opened. net/http has an idle timeout too, but not one that a new
// configuration can change.
type idlers struct {
	timeout func() time.Duration

	mu     sync.Mutex
	since  map[net.Conn]time.Time
	opened time.Time // the last connection, busy or not
}

func newIdlers(timeout func() time.Duration) *idlers {
	return &idlers{timeout: timeout, since: map[net.Conn]time.Time{}}
}

// changed follows the state of a connection.
func (i *idlers) changed(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew:
		i.opened = time.Now()
	case http.StateIdle:
		i.since[conn] = time.Now()
	default:
		delete(i.since, conn)
	}
}

// lastOpened returns when the last connection was opened; zero: none was.
func (i *idlers) lastOpened() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()

	return i.opened
}

// closeAll closes the connections that are idle now.
func (i *idlers) closeAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for conn := range i.since {
		i.end(conn)
	}
}

// end closes an idle connection, unless a request came on it that is not read
// yet: closing it then would lose the request.
func (i *idlers) end(conn net.Conn) {
	if unread(conn) {
		return
	}
	_ = conn.Close()
	delete(i.since, conn)
}

// unread reports whether bytes came that nobody has read. A connection that
// cannot tell has none.
func unread(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	waiting := 0
	err = raw.Control(func(descriptor uintptr) {
		if n, failed := unix.IoctlGetInt(int(descriptor), unix.TIOCINQ); failed == nil {
			waiting = n
		}
	})

	return err == nil && waiting > 0
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
			i.end(conn)
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
			s.links.CloseExpired()
			s.idlers.sweep(now)
		}
	}
}
