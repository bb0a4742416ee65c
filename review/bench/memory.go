package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usualCallers is the number of callers at each relay, and burstCallers that in a burst of 2.4
	// times the usual traffic.
	usualCallers = 16
	burstCallers = usualCallers * 24 / 10
	// largeBodyBytes is max_body_bytes of the configuration.
	largeBodyBytes = 4194304
	// memoryLimitBytes is the memory of an edge machine of the site cce-trade: 134 MB.
	memoryLimitBytes = 134 << 20
	// usualTime is how long only the usual callers send, and burstTime how long all of them send then.
	usualTime = 3 * time.Second
	burstTime = 9 * time.Second
	// serverWork is how long a server works on a request.
	serverWork = time.Second
	// maxLost is the number of requests that the rule LOST allows.
	maxLost = 3
)

// memoryCase is the state of playMemory.
type memoryCase struct {
	out  *record
	body []byte

	mu       sync.Mutex
	ran      map[string]bool // requests that a server has read whole
	answered atomic.Int64
	lost     atomic.Int64 // requests that a server runs and whose kept connection ended without an answer
	killed   atomic.Int64
	peak     atomic.Int64 // bytes
}

// playMemory sends requests with bodies as long as the configuration allows, and ends a relay as the
// platform does once it exceeds the memory of its machine.
func playMemory(ctx context.Context, f *fleet, out *record, hasTrouble bool) (verdict, error) {
	f.store.Write("config", "main", configuration(3, route("postings", "/postings/", "non_idempotent", 5000, 1), callerKey))
	m := &memoryCase{out: out, body: make([]byte, largeBodyBytes), ran: map[string]bool{}}
	for i := range 3 {
		listener, err := listen(ctx)
		if err != nil {
			return verdict{}, err
		}
		go func() {
			_ = (&http.Server{Handler: http.HandlerFunc(m.serve), ReadHeaderTimeout: time.Minute}).Serve(listener)
		}()
		f.register(fmt.Sprintf("i-%d", i+1), listener.Addr().String(), 64)
	}
	if err := f.startRelays(ctx, relayCount); err != nil {
		return verdict{}, err
	}
	callers := usualCallers
	if hasTrouble {
		callers = burstCallers
	}
	burstAt := time.Now().Add(usualTime)
	end := burstAt.Add(burstTime)
	var ended sync.WaitGroup
	for _, r := range f.relays {
		ended.Go(func() { m.watchMemory(r, end) })
		for i := range callers {
			ended.Go(func() {
				if i >= usualCallers {
					time.Sleep(time.Until(burstAt))
				}
				m.callUntil(ctx, r, i, end)
			})
		}
	}
	ended.Wait()
	summary := fmt.Sprintf("%d callers at each of 2 relays, %d answers, at most %d MB at a relay, %d relays over the limit, %d requests run at servers and not answered",
		callers, m.answered.Load(), m.peak.Load()>>20, m.killed.Load(), m.lost.Load())
	if m.answered.Load() == 0 && m.lost.Load() == 0 {
		return verdict{}, fmt.Errorf("the traffic did not flow: %s", summary)
	}

	return verdict{isBroken: m.lost.Load() > maxLost, summary: summary}, nil
}

// serve is a server's handler.
func (m *memoryCase) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	m.mu.Lock()
	m.ran[id] = true
	m.mu.Unlock()
	time.Sleep(serverWork)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "stamp-"+id)
	_, _ = io.WriteString(w, "done")
}

// callUntil sends one request after the other on a kept connection until an end, or until the
// connection ends.
func (m *memoryCase) callUntil(ctx context.Context, r *relay, caller int, end time.Time) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", r.front)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := 0; time.Now().Before(end); i++ {
		c := call{id: fmt.Sprintf("%s-%d-%d", r.name, caller, i), method: http.MethodPost, target: "/postings/1", key: callerKey, deadline: 5 * time.Second}
		if i > 0 { // The first request makes the connection a kept one.
			c.body = m.body
		}
		answer := exchange(conn, reader, c)
		if answer.err == nil {
			m.answered.Add(1)

			continue
		}
		m.mu.Lock()
		hasRun := m.ran[c.id]
		m.mu.Unlock()
		if hasRun && i > 0 {
			m.lost.Add(1)
			m.out.printf("%s runs at a server, and its kept connection ended without an answer: %v", c.id, answer.err)
		}

		return
	}
}

// watchMemory ends a relay that exceeds the memory of its machine.
func (m *memoryCase) watchMemory(r *relay, end time.Time) {
	for ; time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		used, err := anonymousBytes(r.command.Process.Pid)
		if err != nil {
			return
		}
		m.peak.Store(max(m.peak.Load(), used))
		if used > memoryLimitBytes {
			m.killed.Add(1)
			m.out.printf("%s uses %d MB and is killed, as the platform does", r.name, used>>20)
			_ = r.command.Process.Kill()

			return
		}
	}
}

// anonymousBytes returns the memory of a process without what it shares with files.
func anonymousBytes(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)

			return kilobytes << 10, err
		}
	}

	return 0, fmt.Errorf("process %d has no anonymous memory", pid)
}
