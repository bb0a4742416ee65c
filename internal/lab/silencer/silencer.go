// Package silencer makes open connections permanently silent while new ones work, as
// happens when a firewall or a NAT device loses its state of them: they are not
// closed, but no data arrives any more.
//
// A connection is identified by its remote address. At most maxConnections are
// tracked; beyond that, the least recently used one is forgotten. If a server calls
// ConnState, closed connections are forgotten at once, so that a new connection that
// reuses the address of a closed silent one is not silent.
package silencer

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxConnections = 16384
	// connectionTTL is how long an unused connection is tracked. It is longer than a
	// loopback port stays unused before a new connection reuses it, and than any
	// idle timeout in the lab.
	connectionTTL = 5 * time.Minute
)

// connection is the state of a tracked connection.
type connection struct {
	lastUsed time.Time
	isSilent bool
}

// Silencer tracks the connections of one emulated service. It is safe for concurrent
// use.
type Silencer struct {
	silenceCount atomic.Uint64
	mu           sync.Mutex
	connections  map[string]*connection
}

// New returns a Silencer that tracks no connection yet.
func New() *Silencer {
	return &Silencer{connections: map[string]*connection{}}
}

// ConnState forgets closed connections. It is meant for the ConnState field of an
// http.Server.
func (s *Silencer) ConnState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.connections, conn.RemoteAddr().String())
}

// SilenceConnections makes every tracked connection silent.
func (s *Silencer) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, tracked := range s.connections {
		tracked.isSilent = true
	}
	s.silenceCount.Add(1)
}

// SilenceCount returns how often SilenceConnections was called. A connection that
// was in use before the last call is silent.
func (s *Silencer) SilenceCount() uint64 {
	return s.silenceCount.Load()
}

// IsSilent records that a connection is in use and reports whether it is silent.
func (s *Silencer) IsSilent(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	tracked, ok := s.connections[address]
	if !ok || now.Sub(tracked.lastUsed) > connectionTTL {
		s.ensureCapacity(now)
		tracked = &connection{}
		s.connections[address] = tracked
	}
	tracked.lastUsed = now

	return tracked.isSilent
}

// ensureCapacity frees an entry for one more connection: if maxConnections are tracked,
// it forgets expired ones, or else the least recently used one.
func (s *Silencer) ensureCapacity(now time.Time) {
	if len(s.connections) < maxConnections {
		return
	}

	oldest, oldestUse := "", now
	for address, tracked := range s.connections {
		if now.Sub(tracked.lastUsed) > connectionTTL {
			delete(s.connections, address)
		} else if !tracked.lastUsed.After(oldestUse) {
			oldest, oldestUse = address, tracked.lastUsed
		}
	}
	if len(s.connections) >= maxConnections {
		delete(s.connections, oldest)
	}
}

// BlockIfSilent blocks, if the request's connection is silent, until the client closes it,
// and then aborts the handler. Otherwise it returns at once.
func (s *Silencer) BlockIfSilent(r *http.Request) {
	if !s.IsSilent(r.RemoteAddr, time.Now()) {
		return
	}

	// net/http detects that the client closed the connection only after the request
	// body was read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
