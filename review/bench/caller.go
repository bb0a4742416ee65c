package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// call is one request of a caller.
type call struct {
	id, method, target, key string
	deadline                time.Duration
	body                    []byte
}

// callAnswer is what a caller has received. The answer is whole if isWhole is set.
type callAnswer struct {
	status  int
	stamp   string
	body    []byte
	isWhole bool
	// isLast is true if the answer says that its connection is closed.
	isLast bool
	// isUnread is true if the connection was refused, or closed before the relay can have read the call.
	isUnread bool
	err      error
}

// send sends a call on a new connection to a relay, and reads the answer.
func send(ctx context.Context, address string, c call) callAnswer {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return callAnswer{err: err, isUnread: true}
	}
	defer func() { _ = conn.Close() }()

	return exchange(conn, bufio.NewReader(conn), c)
}

// exchange sends a call on a connection and reads the answer.
func exchange(conn net.Conn, reader *bufio.Reader, c call) callAnswer {
	if err := conn.SetDeadline(time.Now().Add(c.deadline + time.Second)); err != nil {
		return callAnswer{err: err}
	}
	if _, err := conn.Write(append([]byte(requestHead(c)), c.body...)); err != nil {
		return callAnswer{err: err}
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return callAnswer{err: err, isUnread: errors.Is(err, syscall.ECONNRESET)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)

	return callAnswer{status: response.StatusCode, stamp: response.Header.Get("Server-Stamp"), body: body, isWhole: err == nil, isLast: response.Close, err: err}
}

// requestHead returns the head of a call's request.
func requestHead(c call) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n",
		c.method, c.target, callerHost, c.id, c.deadline.Milliseconds(), c.key, len(c.body))
}
