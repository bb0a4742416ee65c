package connector

import (
	"bytes"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/oleanderpick/oleanderpick/internal/common/sendtracker"
)

// maxTailBytes is how many of the bytes that were received last a countingConn keeps.
const maxTailBytes = 32

// countingConn counts the bytes that were passed to the operating system for sending, and keeps the
// last ones that were received.
type countingConn struct {
	*sendtracker.Conn

	writtenBytes atomic.Int64
	beforeWrite  atomic.Pointer[func() error] // nil: none

	mu   sync.Mutex
	tail []byte // received last
}

// Read reads into b.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.tail = append(c.tail, b[max(0, n-maxTailBytes):n]...)
		c.tail = append(c.tail[:0], c.tail[max(0, len(c.tail)-maxTailBytes):]...)
		c.mu.Unlock()
	}

	return n, err
}

// endsWith reports whether the bytes that were received last are the end of a text.
func (c *countingConn) endsWith(text []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(text), len(c.tail))

	return bytes.Equal(c.tail[len(c.tail)-n:], text[len(text)-n:])
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
