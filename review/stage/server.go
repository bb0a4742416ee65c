package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	id, path, server string
	at               time.Time
	hasRun           bool // the server began to work on it
	isAnswered       bool // the server wrote the whole answer
}

// server is a server of a service. It runs requests in slots, queues some more and refuses others.
type server struct {
	stage         *stage
	service, zone string
	address       string
	slots, queue  int
	work          time.Duration // of a plain request, or between two events of a stream
	events        int           // of a stream; 0 for a plain service
	// crashes reports whether a request crashes the server as it begins to run; nil if none does.
	crashes func(path string) bool
	down    time.Duration // after a crash

	mu       sync.Mutex
	id       string
	born     int64
	http     *http.Server
	conns    map[net.Conn]bool
	places   chan struct{}
	waiting  int
	arrivals []*arrival
	crashed  []time.Time
	isClosed bool
}

// newID returns an ID.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])

	return hex.EncodeToString(b[:])
}

// addServer starts a server and registers it.
func (s *stage) addServer(service, zone string, configure func(*server)) error {
	created := &server{stage: s, service: service, zone: zone, address: "127.0.0.1:0", down: 3 * time.Second}
	configure(created)
	s.servers = append(s.servers, created)

	return created.start()
}

// start begins a boot of the server.
func (s *server) start() error {
	listener, err := listen(s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return listener.Close()
	}
	s.address, s.id, s.born = listener.Addr().String(), "i-"+newID()[:8], time.Now().UnixMilli()
	s.conns, s.places, s.waiting = map[net.Conn]bool{}, make(chan struct{}, s.slots), 0
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: startTimeout, ConnState: s.track}
	served := s.http
	go func() { _ = served.Serve(listener) }()
	s.register("ready")

	return nil
}

// register writes the server's entry. The caller holds the mutex.
func (s *server) register(state string) {
	s.stage.write("servers", s.id, fields{
		"service": s.service, "addr": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state, "cold_left_ms": 0, "seq": 1, "born": s.born,
	})
}

func (s *server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	case http.StateActive, http.StateIdle:
	}
}

// crash ends the boot: connections are reset and new ones refused. The entry is gone after three heartbeats, and
// the server is back after some seconds with a new ID.
func (s *server) crash(cause string) {
	s.mu.Lock()
	if s.http == nil {
		s.mu.Unlock()

		return
	}
	ended, id := s.http, s.id
	s.http = nil
	s.crashed = append(s.crashed, time.Now())
	for conn := range s.conns {
		if socket, ok := conn.(*net.TCPConn); ok {
			_ = socket.SetLinger(0)
		}
	}
	s.mu.Unlock()
	_ = ended.Close()
	s.stage.logf("server %s at %s crashes: %s", id, s.address, cause)
	time.AfterFunc(3*heartbeat, func() { s.stage.store.Remove("servers", id) })
	time.AfterFunc(s.down, func() {
		if err := s.start(); err != nil {
			s.stage.logf("server at %s is not back: %v", s.address, err)
		}
	})
}

// close ends the server for good.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	if s.http != nil {
		_ = s.http.Close()
	}
}

// serve answers a request.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, born := s.id, s.born
	load := fmt.Sprintf("%d,%d,%d", len(s.places), s.waiting, s.slots)
	s.mu.Unlock()
	w.Header().Set("Server-Load", load)
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", id)

		return
	case "/v1/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":2,"queued":0,"active":1,"kv_used":1000,"kv_total":238283,"handles":0,"born":%d}`, born)

		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Instance-Id", id)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	arrived := &arrival{id: r.Header.Get("Request-Id"), path: r.URL.Path, server: id, at: time.Now()}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrived)
	s.mu.Unlock()
	s.runInSlot(w, r, arrived)
}

// runInSlot waits for a slot and runs the request, or refuses it.
func (s *server) runInSlot(w http.ResponseWriter, r *http.Request, arrived *arrival) {
	limit, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		limit = int(startTimeout.Milliseconds())
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(limit)*time.Millisecond)
	defer cancel()
	s.mu.Lock()
	places := s.places
	isFull := len(places) == s.slots && s.waiting >= s.queue
	if !isFull {
		s.waiting++
	}
	s.mu.Unlock()
	if isFull {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	isAdmitted := true
	select {
	case places <- struct{}{}:
	case <-ctx.Done():
		isAdmitted = false
	}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	if !isAdmitted {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	defer func() { <-places }()
	s.mu.Lock()
	arrived.hasRun = true
	s.mu.Unlock()
	if s.crashes != nil && s.crashes(r.URL.Path) {
		s.stage.logf("request %s begins to run at server %s", arrived.id, arrived.server)
		s.crash("it ran " + r.URL.Path)
		panic(http.ErrAbortHandler)
	}
	s.answer(ctx, w, arrived)
}

// answer does the work and writes the answer. Work ends when the connection closes or at the deadline.
func (s *server) answer(ctx context.Context, w http.ResponseWriter, arrived *arrival) {
	w.Header().Set("Server-Stamp", "3e1b."+arrived.id)
	if s.events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for event := 1; event <= max(1, s.events); event++ {
		select {
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-time.After(s.work):
		}
		if s.events > 0 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, strings.Repeat("x", 50))
			_ = http.NewResponseController(w).Flush()
		}
	}
	if s.events == 0 {
		_, _ = io.WriteString(w, strings.Repeat("b", 800))
	}
	s.mu.Lock()
	arrived.isAnswered = true
	s.mu.Unlock()
}

// arrivalsOf returns what reached the servers and fits, in the order of arrival at each.
func (s *stage) arrivalsOf(fits func(arrival) bool) (found []arrival) {
	for _, server := range s.servers {
		server.mu.Lock()
		for _, a := range server.arrivals {
			if fits(*a) {
				found = append(found, *a)
			}
		}
		server.mu.Unlock()
	}

	return found
}
