package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// pacedAnswerBytes is the size of the answers of playLongAnswers, and pacedPieceBytes and
	// pacedPieceTime the pace at which a server sends them: 100 Mbit/s.
	pacedAnswerBytes = 5_000_000
	pacedPieceBytes  = 125_000
	pacedPieceTime   = 10 * time.Millisecond
	// pacedCallers is the number of callers, each with a kept connection.
	pacedCallers = 8
	// stableTime is more than stable_ms, and inForceTime the time after the change until the next calls.
	// The rule counts until config_ms + 1 s after the change: 3 s.
	stableTime  = 3500 * time.Millisecond
	inForceTime = 1200 * time.Millisecond
	// maxCutRatio is how much more often a relay may cut answers beside a change.
	maxCutRatio = 3
)

// pacedServer sends long answers at a steady pace.
type pacedServer struct {
	name string
	out  *record
}

// playLongAnswers lets callers get long answers before and after the operator adds a route, which lets
// them go to two servers.
func playLongAnswers(ctx context.Context, f *fleet, out *record, hasTrouble bool) (verdict, error) {
	lookups := route("lookups", "/lookup/", "idempotent", 3000, 1)
	f.store.Write("config", "main", configuration(3, lookups, callerKey))
	for i := range 3 {
		s := &pacedServer{name: fmt.Sprintf("i-%d", i+1), out: out}
		listener, err := listen(ctx)
		if err != nil {
			return verdict{}, err
		}
		go func() {
			_ = (&http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}).Serve(listener)
		}()
		f.register(s.name, listener.Addr().String())
	}
	if err := f.startRelays(ctx, relayCount); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableTime)
	before := callAll(ctx, f, out, "before")
	if hasTrouble {
		f.store.Write("config", "main", configuration(4, lookups+","+route("long", "/lookup/long/", "idempotent", 3000, 2), callerKey))
		out.printf("the store has acknowledged version 4 with one more route")
	}
	time.Sleep(inForceTime)
	after := callAll(ctx, f, out, "after")
	summary := fmt.Sprintf("%d of %d answers were cut off before the change, %d within the 2.5 s after it", before, pacedCallers, after)

	return verdict{isBroken: hasTrouble && after > maxCutRatio*before, summary: summary}, nil
}

// callAll makes long calls, one on each kept connection, and returns how many answers were cut off
// while their servers sent them.
func callAll(ctx context.Context, f *fleet, out *record, when string) (cut int) {
	startAt := time.Now().Add(200 * time.Millisecond)
	var ended sync.WaitGroup
	var mu sync.Mutex
	for caller := range pacedCallers {
		ended.Go(func() {
			id := fmt.Sprintf("call-%s-%d", when, caller)
			answer := callOnKeptConnection(ctx, f.relays[caller%relayCount].front, id, startAt.Add(time.Duration(caller)*100*time.Millisecond))
			if answer.isWhole && answer.status == http.StatusOK && len(answer.body) == pacedAnswerBytes {
				out.printf("%s got its whole answer", id)

				return
			}
			out.printf("%s got status %d, stamp %q and %d of %d bytes: %v", id, answer.status, answer.stamp, len(answer.body), pacedAnswerBytes, answer.err)
			mu.Lock()
			defer mu.Unlock()
			cut++
		})
	}
	ended.Wait()

	return cut
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
	c.id, c.target = id, "/lookup/long/1"

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
			s.out.printf("%s was at work on %s when its connection ended, after %d ms", s.name, id, time.Since(startedAt).Milliseconds())

			return
		}
		time.Sleep(time.Until(startedAt.Add(time.Duration(sent/pacedPieceBytes+1) * pacedPieceTime)))
	}
}
