package relayrunner

import (
	"net"
	"net/http"
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
