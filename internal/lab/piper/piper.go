// Package piper connects HTTP clients and servers within one process by in-memory
// pipes, so that they also work in the virtual time of testing/synctest.
//
// The clients of a Network reach its servers at "http://NAME".
package piper

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// ErrRefused is returned by a dial to a name that has no server. It wraps the error of
// a network connection that is refused.
var ErrRefused = errors.Wrap(syscall.ECONNREFUSED, "no server")

// Network is an in-memory network of named servers. It is safe for concurrent use.
type Network struct {
	bytesSent atomic.Int64

	mu        sync.Mutex
	servers   map[string]*server
	dialCount int
}

// New returns a Network without servers.
func New() *Network {
	return &Network{servers: map[string]*server{}}
}

// server is one named server and the listener on which it accepts connections.
type server struct {
	http      *http.Server
	pending   chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
	isSilent  bool // guarded by the network's mutex
}

// Listen returns a listener for connections to a name. Dials to the name return ErrRefused
// once it is closed.
func (n *Network) Listen(name string) net.Listener {
	return n.add(name, nil)
}

// add adds a server under a name.
func (n *Network) add(name string, handler http.Handler) *server {
	s := &server{
		http:    &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute},
		pending: make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[name] = s

	return s
}

// Serve serves an HTTP handler under a name until Stop or Close.
func (n *Network) Serve(name string, handler http.Handler) {
	s := n.add(name, handler)
	go func() {
		_ = s.http.Serve(s) // Serve always returns an error, also after a regular close.
	}()
}

// ServeConn passes each connection to a name to a function, for servers that don't
// speak HTTP or that violate it.
func (n *Network) ServeConn(name string, handle func(net.Conn)) {
	s := n.add(name, nil)
	go func() {
		for {
			conn, err := s.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
}

// Stop closes the named server and its HTTP connections. Later dials to the name
// return ErrRefused.
func (n *Network) Stop(name string) {
	n.mu.Lock()
	stopped, ok := n.servers[name]
	delete(n.servers, name)
	n.mu.Unlock()
	if ok {
		_ = stopped.Close()
		_ = stopped.http.Close() // Closing in-memory pipes cannot fail.
	}
}

// Silence makes the named server fall silent: it keeps its connections, and later dials to
// the name wait in vain until Stop.
func (n *Network) Silence(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if silenced, ok := n.servers[name]; ok {
		silenced.isSilent = true
	}
}

// Close stops every server.
func (n *Network) Close() {
	n.mu.Lock()
	names := make([]string, 0, len(n.servers))
	for name := range n.servers {
		names = append(names, name)
	}
	n.mu.Unlock()
	for _, name := range names {
		n.Stop(name)
	}
}

// Client returns an HTTP client with a connection pool of its own.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial, MaxIdleConnsPerHost: 64}}
}

// Dial connects to the server named in an address of the form NAME:PORT; the port is
// ignored. It returns ErrRefused if there is no such server. Its signature is that
// of http.Transport.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	target, ok := n.servers[name]
	n.dialCount++
	dialNumber := n.dialCount
	isSilent := ok && target.isSilent
	n.mu.Unlock()
	if !ok {
		return nil, errors.Wrap(ErrRefused, name)
	}
	if isSilent {
		<-ctx.Done()

		return nil, ctx.Err()
	}

	clientEnd, serverEnd := net.Pipe()
	select {
	case target.pending <- serverConn{Conn: countingConn{serverEnd, &n.bytesSent}, remoteAddress: pipeAddress(dialNumber)}:
		return countingConn{clientEnd, &n.bytesSent}, nil
	case <-target.closed:
		return nil, errors.Wrap(ErrRefused, name)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// BytesSent returns the number of bytes that were sent on all connections.
func (n *Network) BytesSent() int64 {
	return n.bytesSent.Load()
}

// countingConn counts the bytes that are sent on it.
type countingConn struct {
	net.Conn
	bytesSent *atomic.Int64
}

// Write sends bytes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesSent.Add(int64(n))

	return n, err
}

// Accept returns the next connection to the server, or net.ErrClosed. It implements
// net.Listener.
func (s *server) Accept() (net.Conn, error) {
	select {
	case conn := <-s.pending:
		return conn, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept and further dials fail. It implements net.Listener.
func (s *server) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })

	return nil
}

// Addr returns a placeholder address. It implements net.Listener.
func (s *server) Addr() net.Addr {
	return pipeAddress(0)
}

// serverConn is the server's end of a connection, with a remote address that is
// unique in the network.
type serverConn struct {
	net.Conn
	remoteAddress pipeAddress
}

// RemoteAddr returns the unique address of the client's end.
func (c serverConn) RemoteAddr() net.Addr {
	return c.remoteAddress
}

// pipeAddress is the address of a pipe: the number of its dial.
type pipeAddress int

func (a pipeAddress) Network() string { return "pipe" }

func (a pipeAddress) String() string { return fmt.Sprintf("pipe:%d", int(a)) }
