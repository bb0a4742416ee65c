package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// slowWork is how long a server works on a request below /slow/. The time limit of these requests is
	// longWait.
	slowWork = 6 * time.Second
	longWait = 15 * time.Second
	// stopCallTime is the time between two calls of a kind beside a planned stop, and stopCallsUntil how
	// long after its beginning they are sent.
	stopCallTime   = 50 * time.Millisecond
	stopCallsUntil = 8500 * time.Millisecond
	// closedFrom is when a relay that stops may close its listener at the earliest, after SIGTERM.
	closedFrom = 6 * time.Second
	// eventTime is the time between two events of a stream below /events/, of which there are eventCount.
	eventTime  = 300 * time.Millisecond
	eventCount = 20
)

// serveSlowly answers requests below /slow/ after slowWork, those below /events/ with a stream of events, and
// others at once.
func serveSlowly(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Request-Id")
		switch {
		case strings.HasPrefix(request.URL.Path, "/events/"):
			_, _ = io.WriteString(conn, answerHead(id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
			for n := range eventCount {
				event := fmt.Sprintf("id: %d\ndata: piece\n\n", n+1)
				_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
				time.Sleep(eventTime)
			}
			_, err = io.WriteString(conn, "0\r\n\r\n")
		case strings.HasPrefix(request.URL.Path, "/slow/"):
			time.Sleep(slowWork)
			fallthrough
		default:
			_, err = io.WriteString(conn, answerHead(id, "Content-Length: 4\r\n")+"done")
		}
		if err != nil {
			return
		}
	}
}

// stopCounts is what became of the calls of one kind beside a planned stop.
type stopCounts struct {
	mu                                sync.Mutex
	answered, refused, unread, broken int
	firstBroken, lastBroken           time.Duration // when they were sent, after SIGTERM
}

// add counts a call.
func (c *stopCounts) add(sentAfter time.Duration, answer callAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case answer.status == http.StatusServiceUnavailable:
		c.refused++
	case answer.isWhole && answer.status != 0:
		c.answered++
	case answer.isUnread && sentAfter > closedFrom:
		c.unread++
	default:
		if c.broken == 0 {
			c.firstBroken = sentAfter
		}
		c.broken++
		c.firstBroken, c.lastBroken = min(c.firstBroken, sentAfter), max(c.lastBroken, sentAfter)
	}
}

// playStop stops a relay as planned while callers go on sending requests to it, some of which take
// nearly as long as the stop. No request that was read may be cut off without an answer.
func playStop(ctx context.Context, f *fleet, out *record, hasTrouble bool) (verdict, error) {
	kinds := map[string]string{"once": "/slow/once/", "often": "/slow/often/", "stream": "/events/", "short": "/credit/"}
	routes := []string{
		route("once", kinds["once"], "non_idempotent", int(longWait.Milliseconds()), 1), route("often", kinds["often"], "idempotent", int(longWait.Milliseconds()), 1),
		route("stream", kinds["stream"], "streaming", int(longWait.Milliseconds()), 1), route("short", kinds["short"], "non_idempotent", 1000, 1),
	}
	f.store.Write("config", "main", configuration(3, strings.Join(routes, ","), callerKey))
	listener, err := listen(ctx)
	if err != nil {
		return verdict{}, err
	}
	go serveConnections(listener, serveSlowly)
	f.registerFor(service, "i-1", listener.Addr().String(), 1000)
	if err := f.startRelays(ctx, 1); err != nil {
		return verdict{}, err
	}
	var callers sync.WaitGroup
	for kind, target := range kinds { // The relay learns how long they take.
		callers.Go(func() {
			_ = send(ctx, f.relays[0].front, call{id: "before-" + kind, method: http.MethodPost, target: target + "x", key: callerKey, deadline: longWait})
		})
	}
	callers.Wait()
	stopAt := time.Now()
	if hasTrouble {
		_ = f.relays[0].command.Process.Signal(syscall.SIGTERM)
	}
	counts := map[string]*stopCounts{}
	for kind, target := range kinds {
		counts[kind] = &stopCounts{}
		callers.Go(func() {
			for n := 0; time.Since(stopAt) < stopCallsUntil; n++ {
				sentAfter := time.Since(stopAt)
				c := call{id: fmt.Sprintf("%s-%d", kind, n), method: http.MethodPost, target: target + "x", key: callerKey, deadline: longWait}
				callers.Go(func() { counts[kind].add(sentAfter, send(ctx, f.relays[0].front, c)) })
				time.Sleep(stopCallTime)
			}
		})
	}
	callers.Wait()
	ended := verdict{}
	for kind, c := range counts {
		line := fmt.Sprintf("%s: %d answered, %d refused, %d not read, %d cut off (sent %v to %v after SIGTERM)",
			kind, c.answered, c.refused, c.unread, c.broken, c.firstBroken.Round(time.Millisecond), c.lastBroken.Round(time.Millisecond))
		out.printf("%s", line)
		ended.isBroken = ended.isBroken || c.broken > 0
		ended.summary += line + "; "
	}

	return ended, nil
}
