package connector

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// countedConn counts the bytes that were handed to the operating system.
type countedConn struct {
	net.Conn

	written  atomic.Int64
	mayLeave atomic.Pointer[func() error]
}

// ask has the function asked before the next write.
func (c *countedConn) ask(mayLeave func() error) {
	c.mayLeave.Store(&mayLeave)
}

// Write counts the bytes before it writes them: a write that fails may have
// sent some.
func (c *countedConn) Write(b []byte) (int, error) {
	if mayLeave := c.mayLeave.Swap(nil); mayLeave != nil {
		if err := (*mayLeave)(); err != nil {
			return 0, err
		}
	}
	c.written.Add(int64(len(b)))

	return c.Conn.Write(b)
}

// unacknowledged sets how long sent bytes may stay without an acknowledgement.
func unacknowledged(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}

		return failed
	}
}
