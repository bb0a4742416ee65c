package connector

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// countingConn counts the bytes that were passed to the operating system for sending.
type countingConn struct {
	net.Conn

	writtenBytes atomic.Int64
	beforeWrite  atomic.Pointer[func() error] // nil: none
}

// callBeforeNextWrite sets a function that is called once before the next write and
// whose error stops that write.
func (c *countingConn) callBeforeNextWrite(beforeWrite func() error) {
	c.beforeWrite.Store(&beforeWrite)
}

// Write counts the bytes before it writes them, since a write that fails may have sent
// some of them.
func (c *countingConn) Write(b []byte) (int, error) {
	if beforeWrite := c.beforeWrite.Swap(nil); beforeWrite != nil {
		if err := (*beforeWrite)(); err != nil {
			return 0, err
		}
	}
	c.writtenBytes.Add(int64(len(b)))

	return c.Conn.Write(b)
}

// setUnacknowledgedTimeout returns a net.Dialer.Control function that limits how long
// sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
func setUnacknowledgedTimeout(timeout time.Duration) func(network, address string, rawConn syscall.RawConn) error {
	return func(_, _ string, rawConn syscall.RawConn) error {
		var optionErr error
		err := rawConn.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}

		return optionErr
	}
}
