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
	// revokedKey is the key that is taken away.
	revokedKey = "wsjnbanfqasnmgkcuyj8"
	// revokeTime is revoke_ms of the site.
	revokeTime = 5 * time.Second
	// slowBodyTime is how long after the acknowledgement a caller sends the end of its body.
	slowBodyTime = revokeTime + 2*time.Second
	// slowCallers is the number of callers of playRevokedKey.
	slowCallers = 4
)

// timedServer is a server that keeps when it had read each request whole and ran it.
type timedServer struct {
	mu    sync.Mutex
	ranAt map[string]time.Time // by request
}

// ServeHTTP runs a request.
func (s *timedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.ranAt[id] = time.Now()
	s.mu.Unlock()
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "stamp-"+id)
	_, _ = io.WriteString(w, "done")
}

// playRevokedKey takes a key away while callers send long requests with it slowly. No request that is
// sent later than revokeTime after that may run.
func playRevokedKey(ctx context.Context, f *fleet, out *record, hasTrouble bool) (verdict, error) {
	routes := route("postings", "/postings/", "non_idempotent", 15000, 1)
	f.store.Write("config", "main", configuration(3, routes, callerKey, revokedKey))
	listener, err := listen(ctx)
	if err != nil {
		return verdict{}, err
	}
	server := &timedServer{ranAt: map[string]time.Time{}}
	go func() { _ = (&http.Server{Handler: server, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	f.register("i-1", listener.Addr().String(), 6)
	if err := f.startRelays(ctx); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	acknowledgedAt := time.Now().Add(500 * time.Millisecond)
	var ended sync.WaitGroup
	for caller := range slowCallers {
		ended.Go(func() {
			status, err := sendSlowly(ctx, f.relays[caller%len(f.relays)].front, fmt.Sprintf("call-%d", caller), acknowledgedAt.Add(slowBodyTime))
			out.printf("call-%d got status %d, error %v", caller, status, err)
		})
	}
	time.Sleep(time.Until(acknowledgedAt))
	if hasTrouble {
		f.store.Write("config", "main", configuration(4, routes, callerKey))
		out.printf("the store has acknowledged version 4 without the key")
	}
	ended.Wait()
	late := 0
	for id, at := range server.ranAt {
		out.printf("%s ran %.3f s after the acknowledgement", id, at.Sub(acknowledgedAt).Seconds())
		if at.Sub(acknowledgedAt) > revokeTime {
			late++
		}
	}
	fresh := send(ctx, f.relays[0].front, call{id: "call-new", method: http.MethodPost, target: "/postings/1", key: revokedKey, deadline: 3 * time.Second})
	summary := fmt.Sprintf("%d requests ran whose last byte was sent %s after the acknowledgement; a new request with the key gets status %d", late, slowBodyTime, fresh.status)

	return verdict{isBroken: hasTrouble && late > 0, summary: summary}, nil
}

// sendSlowly sends the head and half of the body of a request at once, and the rest at a time.
func sendSlowly(ctx context.Context, address, id string, restAt time.Time) (status int, err error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	half := make([]byte, 50_000)
	if _, err := fmt.Fprintf(conn, "POST /postings/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 15000\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s",
		id, revokedKey, 2*len(half), half); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(restAt))
	if _, err := conn.Write(half); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()

	return response.StatusCode, nil
}
