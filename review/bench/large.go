package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// pacedAnswerBytes is the size of the answers of playPlannedStop, and pacedPieceBytes and
	// pacedPieceTime the pace at which a server sends them: 100 Mbit/s.
	pacedAnswerBytes = 5_000_000
	pacedPieceBytes  = 125_000
	pacedPieceTime   = 10 * time.Millisecond
	// pacedCallers is the number of callers, each with a kept connection to the relay that stops.
	pacedCallers = 8
)

// pacedServer sends long answers at a steady pace.
type pacedServer struct {
	name string
	out  *record

	mu       sync.Mutex
	finished map[string]bool // requests whose answers the server has sent whole
	broken   map[string]time.Duration
}

// playPlannedStop stops a relay as planned while callers get long answers from it. The relay has time
// to pass them on whole.
func playPlannedStop(ctx context.Context, f *fleet, out *record, hasTrouble bool) (verdict, error) {
	f.store.Write("config", "main", configuration(3, route("lookups", "/lookup/", "idempotent", 3000), callerKey))
	servers := make([]*pacedServer, 0, 3)
	for i := range 3 {
		s := &pacedServer{name: fmt.Sprintf("i-%d", i+1), out: out, finished: map[string]bool{}, broken: map[string]time.Duration{}}
		listener, err := listen(ctx)
		if err != nil {
			return verdict{}, err
		}
		go func() {
			_ = (&http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}).Serve(listener)
		}()
		f.register(s.name, listener.Addr().String(), 6)
		servers = append(servers, s)
	}
	if err := f.startRelays(ctx); err != nil {
		return verdict{}, err
	}
	stopping := f.relays[0]
	var ended sync.WaitGroup
	var mu sync.Mutex
	whole, cut := 0, 0
	stoppedAt := time.Now().Add(4 * time.Second) // The relays run for longer than stable_ms by then.
	for caller := range pacedCallers {
		ended.Go(func() {
			answer := callOnKeptConnection(ctx, stopping.front, fmt.Sprintf("call-%d", caller), stoppedAt.Add(time.Duration(caller)*100*time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			if answer.isWhole && answer.status == http.StatusOK && len(answer.body) == pacedAnswerBytes {
				whole++

				return
			}
			cut++
			out.printf("call-%d got status %d and %d of %d bytes: %v", caller, answer.status, len(answer.body), pacedAnswerBytes, answer.err)
		})
	}
	time.Sleep(time.Until(stoppedAt))
	if hasTrouble {
		out.printf("SIGTERM to %s", stopping.name)
		if err := stopping.command.Process.Signal(syscall.SIGTERM); err != nil {
			return verdict{}, err
		}
	}
	ended.Wait()
	time.Sleep(time.Second)

	return judgeStop(servers, whole, cut, hasTrouble)
}

// judgeStop judges by the rule LOST, whose part for cut answers is about planned work only.
func judgeStop(servers []*pacedServer, whole, cut int, hasTrouble bool) (verdict, error) {
	summary := fmt.Sprintf("%d whole answers, %d cut off", whole, cut)
	for _, s := range servers {
		s.mu.Lock()
		for id, after := range s.broken {
			s.out.printf("%s was at work on %s when the connection ended, after %d ms", s.name, id, after.Milliseconds())
		}
		s.mu.Unlock()
	}
	if whole+cut == 0 {
		return verdict{}, fmt.Errorf("the traffic did not flow: %s", summary)
	}

	return verdict{isBroken: hasTrouble && cut > 0, summary: summary}, nil
}

// callOnKeptConnection makes a short call on a new connection, and a long one on it at a time.
func callOnKeptConnection(ctx context.Context, address, id string, at time.Time) callAnswer {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return callAnswer{err: err}
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	c := call{id: id + "-first", method: http.MethodGet, target: "/lookup/short", key: callerKey, deadline: 3 * time.Second}
	if answer := exchange(conn, reader, c); answer.status != http.StatusOK {
		return answer
	}
	time.Sleep(time.Until(at))
	c.id, c.target = id, "/lookup/long"

	return exchange(conn, reader, c)
}

// serve answers a request, at a steady pace if the answer is long.
func (s *pacedServer) serve(w http.ResponseWriter, r *http.Request) {
	id, startedAt := r.Header.Get("Request-Id"), time.Now()
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "stamp-"+id)
	if r.URL.Path == "/lookup/short" {
		_, _ = io.WriteString(w, "done")

		return
	}
	s.out.printf("%s runs %s", s.name, id)
	w.Header().Set("Content-Length", fmt.Sprint(pacedAnswerBytes))
	piece := make([]byte, pacedPieceBytes)
	for sent := 0; sent < pacedAnswerBytes; sent += pacedPieceBytes {
		if _, err := w.Write(piece); err != nil {
			s.mu.Lock()
			s.broken[id] = time.Since(startedAt)
			s.mu.Unlock()

			return
		}
		time.Sleep(time.Until(startedAt.Add(time.Duration(sent/pacedPieceBytes+1) * pacedPieceTime)))
	}
	s.mu.Lock()
	s.finished[id] = true
	s.mu.Unlock()
}
