package silencer_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/silencer"
)

// conn is a connection that has an address only.
type conn struct {
	net.Conn
	address string
}

func (c conn) RemoteAddr() net.Addr { return c }
func (c conn) Network() string      { return "test" }
func (c conn) String() string       { return c.address }

func TestOnlyKnownConnectionsGoSilent(t *testing.T) {
	s, now := silencer.New(), time.Unix(0, 0)
	assert.Assert(t, !s.Silent("a", now))
	assert.Assert(t, !s.Silent("b", now))
	s.SilenceConnections()
	assert.Equal(t, s.Epoch(), uint64(1))
	assert.Assert(t, s.Silent("a", now))
	assert.Assert(t, !s.Silent("new", now))

	s.ConnState(conn{address: "a"}, http.StateIdle)
	assert.Assert(t, s.Silent("a", now))
	s.ConnState(conn{address: "a"}, http.StateClosed)
	assert.Assert(t, !s.Silent("a", now), "another connection with the address of a closed one")
	assert.Assert(t, !s.Silent("b", now.Add(time.Hour)), "an address that was long unused")
}

func TestOldestConnectionIsForgotten(t *testing.T) {
	s, now := silencer.New(), time.Unix(0, 0)
	s.Silent("oldest", now)
	s.Silent("kept", now.Add(time.Second))
	s.SilenceConnections()
	for i := range 16384 - 1 {
		s.Silent(fmt.Sprint(i), now.Add(2*time.Second))
	}
	assert.Assert(t, s.Silent("kept", now.Add(3*time.Second)))
	assert.Assert(t, !s.Silent("oldest", now.Add(3*time.Second)))
}
