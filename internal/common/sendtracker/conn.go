// Package sendtracker tells whether the requests that were written to a connection have left it whole.
//
// An answer whose body ends with the connection is only complete if its sender closed the connection on
// purpose. A sender that gives up while a request is still being written resets the connection, but when the
// writer has received that error, the reader sees a regular end. So such an answer proves nothing unless the
// whole request was written without an error and acknowledged.
package sendtracker

import (
	"bytes"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// headEnd ends the head of a request, and lineEnd a line.
const (
	headEnd = "\r\n\r\n"
	lineEnd = "\r\n"
)

// An answer may come before the writer runs again that sent the last bytes of the request. A write that the
// other side does not take fails when that side resets the connection, and is not waited for longer than
// maxWriteWait. Writes are checked at writeCheckInterval.
const (
	maxWriteWait       = 500 * time.Millisecond
	writeCheckInterval = time.Millisecond
)

// maxHeadBytes limits the size of a head that is kept until its end is written.
const maxHeadBytes = 1 << 20

// Conn is a connection that requests of HTTP/1.1 are written to, one after another. Its methods are safe for
// concurrent use.
type Conn struct {
	net.Conn

	mu        sync.Mutex
	head      []byte // of the request that is being written, until headEnd; or the line with a chunk's size
	bodyLeft  int64  // bytes of the request's body, or of its chunk, that are still to be written
	isChunked bool   // further chunks follow
	isWriting bool
	isLost    bool // a write failed, or what was written is not a request
}

// New returns a Conn that writes to conn.
func New(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// Write writes b. Its bytes count as sent once the operating system has taken them.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.isWriting = true
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWriting, c.isLost = false, c.isLost || err != nil
	c.record(b[:n])

	return n, err
}

// record follows the requests through the bytes that were written.
func (c *Conn) record(b []byte) {
	for len(b) > 0 && !c.isLost {
		if c.bodyLeft > 0 {
			n := min(c.bodyLeft, int64(len(b)))
			c.bodyLeft, b = c.bodyLeft-n, b[n:]

			continue
		}
		b = c.recordHead(b)
	}
}

// recordHead takes the head of a request, or the line with a chunk's size, from the bytes that were written.
// It returns the bytes behind it.
func (c *Conn) recordHead(b []byte) []byte {
	end := headEnd
	if c.isChunked {
		end = lineEnd
	}
	before := len(c.head)
	searched := max(0, before-len(end)+1)
	c.head = append(c.head, b...)
	found := bytes.Index(c.head[searched:], []byte(end))
	if found < 0 {
		c.isLost = len(c.head) > maxHeadBytes

		return nil
	}
	size := searched + found + len(end)
	head := c.head[:size]
	c.head = c.head[:0]
	if c.isChunked {
		c.bodyLeft, c.isChunked, c.isLost = chunkLength(head)
	} else {
		c.bodyLeft, c.isChunked, c.isLost = bodyLength(head)
	}

	return b[size-before:]
}

// bodyLength returns the length of the body behind a request's head, or that it comes in chunks. net/http
// writes the names of these fields in this form, and once at most.
func bodyLength(head []byte) (length int64, isChunked, isInvalid bool) {
	if bytes.Contains(head, []byte("\r\nTransfer-Encoding: chunked\r\n")) {
		return 0, true, false
	}
	_, rest, hasLength := bytes.Cut(head, []byte("\r\nContent-Length: "))
	if !hasLength {
		return 0, false, false
	}
	text, _, _ := bytes.Cut(rest, []byte(lineEnd))
	length, err := strconv.ParseInt(string(text), 10, 64)

	return length, false, err != nil || length < 0
}

// chunkLength returns the number of bytes behind the line with a chunk's size that belong to the chunk, and
// whether another one follows it.
func chunkLength(line []byte) (length int64, isChunked, isInvalid bool) {
	size, err := strconv.ParseInt(string(bytes.TrimSuffix(line, []byte(lineEnd))), 16, 64)

	return size + int64(len(lineEnd)), size > 0, err != nil || size < 0
}

// HasSentAll reports whether all requests that were begun are written whole without an error and, as far as the
// operating system tells, acknowledged. It waits for a write that is in progress, up to maxWriteWait.
func (c *Conn) HasSentAll() bool {
	for waitsUntil := time.Now().Add(maxWriteWait); c.isInWrite() && time.Now().Before(waitsUntil); {
		time.Sleep(writeCheckInterval)
	}
	c.mu.Lock()
	isWhole := !c.isWriting && !c.isLost && !c.isChunked && len(c.head) == 0 && c.bodyLeft == 0
	c.mu.Unlock()

	return isWhole && !c.hasUnacknowledged()
}

// isInWrite reports whether a write is in progress.
func (c *Conn) isInWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.isWriting
}

// hasUnacknowledged reports whether the operating system knows of bytes that the other side has not acknowledged.
func (c *Conn) hasUnacknowledged() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	queued, queryErr := 0, error(nil)
	if err := rawConn.Control(func(fd uintptr) { queued, queryErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return false
	}

	return queryErr == nil && queued > 0
}
