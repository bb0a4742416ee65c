package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// largeAnswerBytes is the size of the answers of playForeignAnswer.
	largeAnswerBytes = 1_200_000
	// foreignCalls is the number of calls, and extraEvery says how many answers there are to each
	// one that is followed by an extra answer: 3 in 100 at one of the two servers.
	foreignCalls = 400
	extraEvery   = 33
	// garbledServer is the server that sends extra answers.
	garbledServer = 0
)

// foreignServer answers each request without a length: the answer ends with its connection.
type foreignServer struct {
	name  string
	out   *record
	extra bool // whether extra answers are sent

	mu       sync.Mutex
	answered int
	lastID   string            // of the request before
	bodies   map[string][]byte // whole answers by request
	extras   map[string]bool   // requests whose answers were followed by an extra one
}

// playForeignAnswer lets a server send, after a few of its whole answers that have no length, its
// answer to an earlier request once more. No caller may get bytes of that.
func playForeignAnswer(ctx context.Context, f *fleet, out *record, hasTrouble bool) (verdict, error) {
	f.store.Write("config", "main", configuration(3, route("lookups", "/lookup/", "idempotent", 3000, 2), callerKey))
	servers := make([]*foreignServer, 0, 2)
	for i := range 2 {
		server := &foreignServer{
			name: fmt.Sprintf("i-%d", i+1), out: out, extra: hasTrouble && i == garbledServer, bodies: map[string][]byte{}, extras: map[string]bool{},
		}
		listener, err := listen(ctx)
		if err != nil {
			return verdict{}, err
		}
		go serveConnections(listener, server.serve)
		f.register(server.name, listener.Addr().String())
		servers = append(servers, server)
	}
	if err := f.startRelays(ctx, relayCount); err != nil {
		return verdict{}, err
	}
	whole, foreign := 0, 0
	for i := range foreignCalls {
		c := call{id: fmt.Sprintf("call-%d", i), method: http.MethodGet, target: fmt.Sprintf("/lookup/%d", i), key: callerKey, deadline: 3 * time.Second}
		answer := send(ctx, f.relays[i%2].front, c)
		state, server := judge(servers, c.id, answer)
		if state == "whole" {
			whole++
		} else {
			out.printf("%s at %s: %s: status %d, stamp %q, %d bytes, whole %t, error %v", c.id, server, state, answer.status, answer.stamp, len(answer.body), answer.isWhole, answer.err)
		}
		if state == "foreign bytes" {
			foreign++
			out.printf("    the bytes after the server's answer: %.120q", answer.body[min(len(answer.body), largeAnswerBytes):])
		}
	}
	extras := len(servers[garbledServer].extras)
	summary := fmt.Sprintf("%d calls, %d whole answers, %d extra answers sent, %d successes with bytes of another answer", foreignCalls, whole, extras, foreign)
	if whole == 0 || (hasTrouble && extras == 0) {
		return verdict{}, fmt.Errorf("the traffic did not flow: %s", summary)
	}

	return verdict{isBroken: foreign > 0, summary: summary}, nil
}

// judge compares an answer with what the servers sent for the request.
func judge(servers []*foreignServer, id string, answer callAnswer) (state, server string) {
	for _, s := range servers {
		s.mu.Lock()
		body, ok := s.bodies[id]
		s.mu.Unlock()
		switch {
		case !ok:
		case answer.status/100 != 2 || !answer.isWhole:
			return "no success", s.name
		case bytes.Equal(body, answer.body):
			return "whole", s.name
		default:
			return "foreign bytes", s.name
		}
	}

	return "not run", "no server"
}

// serve serves one connection, with one request.
func (s *foreignServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Request-Id")
	body := bytes.Repeat([]byte(id+"\n"), largeAnswerBytes/(len(id)+1))
	s.mu.Lock()
	s.answered++
	extra := ""
	if s.extra && s.answered%extraEvery == 0 {
		extra = answerHead(s.lastID, "Content-Length: 26\r\n") + "the answer to another one\n"
		s.extras[id] = true
		s.out.printf("%s runs %s and sends the answer to %s after the whole answer", s.name, id, s.lastID)
	}
	s.lastID, s.bodies[id] = id, body
	s.mu.Unlock()
	_, _ = conn.Write([]byte(answerHead(id, "Connection: close\r\n")))
	_, _ = conn.Write(body)
	_, _ = conn.Write([]byte(extra))
}

// answerHead returns the head of a success.
func answerHead(id, fields string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp-" + id + "\r\n" + fields + "\r\n"
}

// serveConnections passes each connection of a listener to a function.
func serveConnections(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}
