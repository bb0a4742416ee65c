package relayrunner

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Connections that are idle for longer than the current timeout are closed, also if the
// timeout was set after they became idle. Connections with a request stay open.
func TestIdleConnectionsCloseAfterCurrentTimeout(t *testing.T) {
	timeout := time.Duration(0)
	tracker := newConnectionTracker(func() time.Duration { return timeout })
	idle, _ := net.Pipe()
	busy, _ := net.Pipe()
	isClosed := func(conn net.Conn) bool { return conn.SetDeadline(time.Time{}) != nil }
	tracker.onStateChange(idle, http.StateIdle)
	tracker.onStateChange(busy, http.StateIdle)
	tracker.onStateChange(busy, http.StateActive)
	now := time.Now()
	tracker.closeExpired(now.Add(time.Hour))
	assert.Assert(t, !isClosed(idle), "there is no timeout yet")
	timeout = 15 * time.Second
	tracker.closeExpired(now.Add(12 * time.Second))
	assert.Assert(t, !isClosed(idle))
	tracker.closeExpired(now.Add(16 * time.Second))
	assert.Assert(t, isClosed(idle) && !isClosed(busy))
}

// A request that arrives on an idle connection, but that a slow instance has not read yet,
// is not lost: the connection is not closed.
func TestIdleConnectionWithUnreadRequestStaysOpen(t *testing.T) {
	tracker := newConnectionTracker(func() time.Duration { return time.Second })
	withRequest, caller := newSocketPair(t)
	withoutRequest, _ := newSocketPair(t)
	tracker.onStateChange(withRequest, http.StateIdle)
	tracker.onStateChange(withoutRequest, http.StateIdle)
	_, err := caller.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	assert.NilError(t, err)
	isClosed := func(conn net.Conn) bool { return conn.SetDeadline(time.Time{}) != nil }
	tracker.closeExpired(time.Now().Add(time.Hour))
	tracker.closeAll()
	assert.Assert(t, !isClosed(withRequest))
	assert.Assert(t, isClosed(withoutRequest))
}

// newSocketPair returns the two ends of a connection that needs no network.
func newSocketPair(t *testing.T) (server, client net.Conn) {
	t.Helper()
	descriptors, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	ends := [2]net.Conn{}
	for n, descriptor := range descriptors {
		file := os.NewFile(uintptr(descriptor), "end")
		ends[n], err = net.FileConn(file)
		assert.NilError(t, err)
		assert.NilError(t, file.Close())
		t.Cleanup(func() { _ = ends[n].Close() })
	}

	return ends[0], ends[1]
}
