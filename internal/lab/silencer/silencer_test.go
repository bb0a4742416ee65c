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

// addressConn is a net.Conn that has only a remote address.
type addressConn struct {
	net.Conn
	address string
}

func (c addressConn) RemoteAddr() net.Addr { return c }
func (c addressConn) Network() string      { return "test" }
func (c addressConn) String() string       { return c.address }

func TestOnlyConnectionsInUseBeforeSilenceAreSilent(t *testing.T) {
	s, now := silencer.New(), time.Unix(0, 0)
	assert.Assert(t, !s.IsSilent("a", now))
	assert.Assert(t, !s.IsSilent("b", now))
	s.SilenceConnections()
	assert.Equal(t, s.SilenceCount(), uint64(1))
	assert.Assert(t, s.IsSilent("a", now))
	assert.Assert(t, !s.IsSilent("new", now))

	s.ConnState(addressConn{address: "a"}, http.StateIdle)
	assert.Assert(t, s.IsSilent("a", now))
	s.ConnState(addressConn{address: "a"}, http.StateClosed)
	assert.Assert(t, !s.IsSilent("a", now), "another connection with the address of a closed one")
	assert.Assert(t, !s.IsSilent("b", now.Add(time.Hour)), "an address that was long unused")
}

func TestLeastRecentlyUsedConnectionIsForgottenAtLimit(t *testing.T) {
	s, now := silencer.New(), time.Unix(0, 0)
	s.IsSilent("oldest", now)
	s.IsSilent("kept", now.Add(time.Second))
	s.SilenceConnections()
	for i := range 16384 - 1 {
		s.IsSilent(fmt.Sprint(i), now.Add(2*time.Second))
	}
	assert.Assert(t, s.IsSilent("kept", now.Add(3*time.Second)))
	assert.Assert(t, !s.IsSilent("oldest", now.Add(3*time.Second)))
}
