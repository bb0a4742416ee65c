package profiler

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// byteCounter counts the bytes that clients sent and received on a group of connections.
type byteCounter struct {
	bytesSent, bytesReceived atomic.Int64
}

// pipeNetwork is an in-memory network and the listener of its one server. It counts the
// bytes on its connections, grouped by the dialed address.
type pipeNetwork struct {
	incomingConns chan net.Conn
	closed        chan struct{}
	closeOnce     sync.Once
	// groupOf returns the group that a dialed address is counted in.
	groupOf func(address string) string

	mu              sync.Mutex
	countersByGroup map[string]*byteCounter
}

// newPipeNetwork returns a network without connections. groupOf returns the group that a
// dialed address is counted in.
func newPipeNetwork(groupOf func(address string) string) *pipeNetwork {
	return &pipeNetwork{
		incomingConns:   make(chan net.Conn),
		closed:          make(chan struct{}),
		groupOf:         groupOf,
		countersByGroup: map[string]*byteCounter{},
	}
}

// dial connects to the server of the network and waits until it accepts. It ignores
// ctx, and fails with net.ErrClosed once the network is closed.
func (n *pipeNetwork) dial(_ context.Context, _, address string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	select {
	case n.incomingConns <- serverConn:
		return &countingConn{Conn: clientConn, counter: n.counter(n.groupOf(address))}, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

// counter returns the counter of a group, which it creates at the first use.
func (n *pipeNetwork) counter(group string) *byteCounter {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.countersByGroup[group] == nil {
		n.countersByGroup[group] = &byteCounter{}
	}

	return n.countersByGroup[group]
}

// byteCountsByGroup returns the bytes sent and received so far by the clients of each
// group.
func (n *pipeNetwork) byteCountsByGroup() map[string]ByteCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := map[string]ByteCounts{}
	for group, counter := range n.countersByGroup {
		counts[group] = ByteCounts{Sent: float64(counter.bytesSent.Load()), Received: float64(counter.bytesReceived.Load())}
	}

	return counts
}

// Accept implements net.Listener.
func (n *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case conn := <-n.incomingConns:
		return conn, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It may be called repeatedly.
func (n *pipeNetwork) Close() error {
	n.closeOnce.Do(func() { close(n.closed) })

	return nil
}

// Addr implements net.Listener. The address is empty.
func (n *pipeNetwork) Addr() net.Addr {
	return &net.TCPAddr{}
}

// countingConn is the client end of a connection, which counts the bytes read and
// written.
type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.counter.bytesReceived.Add(int64(count))

	return count, err
}

func (c *countingConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.counter.bytesSent.Add(int64(count))

	return count, err
}
