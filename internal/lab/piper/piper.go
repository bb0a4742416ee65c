// Package piper connects HTTP clients and servers inside one process without
// a network, so that they also run under the virtual time of testing/synctest.
//
// A server is reached at "http://NAME" by the clients of the same Network.
package piper

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrRefused is the error of a dial to a name that nobody serves.
var ErrRefused = errors.New("connection refused")

// Network holds the servers by name. It is safe for concurrent use.
type Network struct {
	mu      sync.Mutex
	servers map[string]*server
	dials   int
}

// New returns a network without servers.
func New() *Network {
	return &Network{servers: map[string]*server{}}
}

type server struct {
	http   *http.Server
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

// Serve serves a handler under a name until Close.
func (n *Network) Serve(name string, handler http.Handler) {
	added := &server{
		http:   &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute},
		accept: make(chan net.Conn),
		done:   make(chan struct{}),
	}
	n.mu.Lock()
	n.servers[name] = added
	n.mu.Unlock()
	go func() {
		_ = added.http.Serve(added) // It ends with an error when it is closed.
	}()
}

// ServeConn gives the connections to a name to a handler, for servers that do
// not keep to HTTP.
func (n *Network) ServeConn(name string, handle func(net.Conn)) {
	added := &server{http: &http.Server{ReadHeaderTimeout: time.Minute}, accept: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	n.servers[name] = added
	n.mu.Unlock()
	go func() {
		for {
			conn, err := added.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
}

// Stop closes the server with a name and its connections; dials to it are
// refused from then on.
func (n *Network) Stop(name string) {
	n.mu.Lock()
	stopped, ok := n.servers[name]
	delete(n.servers, name)
	n.mu.Unlock()
	if ok {
		_ = stopped.Close()
		_ = stopped.http.Close() // Closing a pipe cannot fail.
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

// Client returns an HTTP client with connections of its own.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial, MaxIdleConnsPerHost: 64}}
}

// Dial connects to the server with the name in the address NAME:PORT.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	target, ok := n.servers[name]
	n.dials++
	number := n.dials
	n.mu.Unlock()
	if !ok {
		return nil, errors.Wrap(ErrRefused, name)
	}

	near, far := net.Pipe()
	select {
	case target.accept <- end{Conn: far, remote: port(number)}:
		return near, nil
	case <-target.done:
		return nil, errors.Wrap(ErrRefused, name)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept waits for the next connection to the server.
func (s *server) Accept() (net.Conn, error) {
	select {
	case conn := <-s.accept:
		return conn, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close ends the server's listening.
func (s *server) Close() error {
	s.once.Do(func() { close(s.done) })

	return nil
}

// Addr returns a placeholder.
func (s *server) Addr() net.Addr {
	return port(0)
}

// end is the server's end of a connection, with an address of its own.
type end struct {
	net.Conn
	remote port
}

// RemoteAddr returns the connection's own address.
func (e end) RemoteAddr() net.Addr {
	return e.remote
}

// port numbers the connections.
type port int

func (a port) Network() string { return "pipe" }

func (a port) String() string { return fmt.Sprintf("pipe:%d", int(a)) }
