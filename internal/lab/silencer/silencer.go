// Package silencer makes open connections go silent for good while new ones
// work, as when a device between two ends loses track of them.
//
// A connection is known by its remote address. At most maxKnown connections
// are remembered; the one unused for longest is forgotten first. A server that
// calls ConnState has closed ones forgotten at once, so that a new connection
// that happens to have the address of a closed one is not taken for it.
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
	maxKnown = 16384
	// forgetAfter is longer than a loopback port stays unused before a new
	// connection takes it, and than any idle timeout of the lab.
	forgetAfter = 5 * time.Minute
)

type connection struct {
	used   time.Time
	silent bool
}

// Silencer knows the connections of one stand-in. It is safe for concurrent
// use.
type Silencer struct {
	epoch atomic.Uint64
	mu    sync.Mutex
	known map[string]*connection
}

// New returns a Silencer that knows no connection.
func New() *Silencer {
	return &Silencer{known: map[string]*connection{}}
}

// ConnState is a http.Server's hook that forgets closed connections.
func (s *Silencer) ConnState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.known, conn.RemoteAddr().String())
}

// SilenceConnections makes every connection seen so far silent.
func (s *Silencer) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, known := range s.known {
		known.silent = true
	}
	s.epoch.Add(1)
}

// Epoch counts the calls of Silence: a connection in use since before the
// last one is silent.
func (s *Silencer) Epoch() uint64 {
	return s.epoch.Load()
}

// Silent notes that a connection is in use and reports whether it is silent.
func (s *Silencer) Silent(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	known, ok := s.known[address]
	if !ok || now.Sub(known.used) > forgetAfter {
		s.makeRoom(now)
		known = &connection{}
		s.known[address] = known
	}
	known.used = now

	return known.silent
}

func (s *Silencer) makeRoom(now time.Time) {
	if len(s.known) < maxKnown {
		return
	}

	oldest, at := "", now
	for address, known := range s.known {
		if now.Sub(known.used) > forgetAfter {
			delete(s.known, address)
		} else if !known.used.After(at) {
			oldest, at = address, known.used
		}
	}
	if len(s.known) >= maxKnown {
		delete(s.known, oldest)
	}
}

// BlockIfSilent blocks until the caller gives the connection up, if it is silent, and
// then ends it.
func (s *Silencer) BlockIfSilent(r *http.Request) {
	if !s.Silent(r.RemoteAddr, time.Now()) {
		return
	}

	// The server notices a closed connection only once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
