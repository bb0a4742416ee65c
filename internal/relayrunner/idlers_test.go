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

// Idle connections close by the limit in force, also one that came later, and
// never one with a request.
func TestIdleConnectionsCloseByTheLimitInForce(t *testing.T) {
	limit := time.Duration(0)
	i := newIdlers(func() time.Duration { return limit })
	idle, _ := net.Pipe()
	busy, _ := net.Pipe()
	closed := func(conn net.Conn) bool { return conn.SetDeadline(time.Time{}) != nil }
	i.changed(idle, http.StateIdle)
	i.changed(busy, http.StateIdle)
	i.changed(busy, http.StateActive)
	now := time.Now()
	i.sweep(now.Add(time.Hour))
	assert.Assert(t, !closed(idle), "no limit is known yet")
	limit = 15 * time.Second
	i.sweep(now.Add(12 * time.Second))
	assert.Assert(t, !closed(idle))
	i.sweep(now.Add(16 * time.Second))
	assert.Assert(t, closed(idle) && !closed(busy))
}

// A request that came on an idle connection just before it is closed, and that a
// slow instance has not read yet, is not lost: that connection stays open.
func TestIdleConnectionWithARequestStaysOpen(t *testing.T) {
	i := newIdlers(func() time.Duration { return time.Second })
	near, far := sockets(t)
	quietNear, _ := sockets(t)
	i.changed(near, http.StateIdle)
	i.changed(quietNear, http.StateIdle)
	_, err := far.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	assert.NilError(t, err)
	closed := func(conn net.Conn) bool { return conn.SetDeadline(time.Time{}) != nil }
	i.sweep(time.Now().Add(time.Hour))
	i.closeAll()
	assert.Assert(t, !closed(near))
	assert.Assert(t, closed(quietNear))
}

// sockets returns the ends of a connection that needs no network.
func sockets(t *testing.T) (near, far net.Conn) {
	t.Helper()
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	ends := [2]net.Conn{}
	for n, descriptor := range pair {
		file := os.NewFile(uintptr(descriptor), "end")
		ends[n], err = net.FileConn(file)
		assert.NilError(t, err)
		assert.NilError(t, file.Close())
		t.Cleanup(func() { _ = ends[n].Close() })
	}

	return ends[0], ends[1]
}
