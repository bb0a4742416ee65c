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
	// memoryLimitMB is the memory of a relay's machine, as its settings state it.
	memoryLimitMB = 134
	// endlessServers is the number of servers, and endlessCallers and slowCallers the numbers of callers
	// that ask for an answer without end at the same time.
	endlessServers = 3
	endlessCallers = 250
	slowCallers    = 280
	// endlessDeadline is how long these callers wait.
	endlessDeadline = 3 * time.Second
	// slowReadBytes is what a slow caller reads each slowReadTime.
	slowReadBytes = 512
	slowReadTime  = 50 * time.Millisecond
	// smallCallTime is the time between two calls of another client.
	smallCallTime = 20 * time.Millisecond
	// memorySampleTime is the time between two looks at a relay's memory.
	memorySampleTime = 10 * time.Millisecond
	// largeBodyCallers is the number of callers that send a body of largeBodyBytes, the limit of the
	// configuration, at the same time.
	largeBodyCallers = 60
	largeBodyBytes   = 4 << 20
)

// serveEndless answers requests below /endless/ without end and others with a few bytes.
func serveEndless(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	piece := strings.Repeat("x", 16<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		status, isEndless := 200, strings.HasPrefix(request.URL.Path, "/endless/")
		if strings.Contains(request.URL.Path, "/500/") {
			status = http.StatusInternalServerError
		}
		if !isEndless {
			time.Sleep(5 * time.Millisecond)
			_, err = io.WriteString(conn, answerHead(id, "Content-Length: 4\r\n")+"done")
		} else {
			_, err = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s\r\n\r\n", status, id, id)
		}
		for err == nil && isEndless {
			_, err = io.WriteString(conn, piece)
		}
		if err != nil {
			return
		}
	}
}

// playEndless lets servers send answers without end to callers, some of which read slowly, and lets others
// send large bodies. No relay may pass the memory of its machine, and other clients' calls get their answers.
func playEndless(ctx context.Context, f *fleet, out *record, hasTrouble bool) (verdict, error) {
	routes := []string{
		route("endless", "/endless/", "non_idempotent", 3000, 1), route("failures", "/endless/500/", "idempotent", 3000, 2), route("credits", "/credit/", "non_idempotent", 3000, 1),
	}
	f.store.Write("config", "main", configuration(3, strings.Join(routes, ","), callerKey))
	for i := range endlessServers {
		listener, err := listen(ctx)
		if err != nil {
			return verdict{}, err
		}
		go serveConnections(listener, serveEndless)
		f.registerFor(service, fmt.Sprintf("i-%d", i+1), listener.Addr().String(), slowCallers)
	}
	if err := f.startRelays(ctx, 1); err != nil {
		return verdict{}, err
	}
	ended := verdict{}
	for _, phase := range []struct {
		name, target string
		callers      int
		isSlow       bool
		bodyBytes    int
	}{
		{"answers without end", "/endless/200", endlessCallers, false, 0},
		{"slow callers", "/endless/200", slowCallers, true, 0},
		{"failures without end", "/endless/500/x", endlessCallers, true, 0},
		{"large bodies", "/credit/large", largeBodyCallers, false, largeBodyBytes},
	} {
		if !hasTrouble {
			phase.callers = 0
		}
		peakMB, lost, calls := f.playPhase(ctx, phase.name, phase.target, phase.callers, phase.isSlow, phase.bodyBytes)
		line := fmt.Sprintf("%s: peak %d MB, %d of %d calls of others without their answer", phase.name, peakMB, lost, calls)
		out.printf("%s", line)
		ended.isBroken = ended.isBroken || peakMB > memoryLimitMB || lost > 0
		ended.summary += line + "; "
	}

	return ended, nil
}

// playPhase runs one kind of load beside the calls of another client.
func (f *fleet) playPhase(ctx context.Context, name, target string, callers int, isSlow bool, bodyBytes int) (peakMB, lost, calls int) {
	done := make(chan struct{})
	var peak atomic.Int64
	var observers, load sync.WaitGroup
	observers.Go(func() {
		for ticker := time.NewTicker(memorySampleTime); ; {
			select {
			case <-done:
				return
			case <-ticker.C:
				peak.Store(max(peak.Load(), f.relays[0].residentMB()))
			}
		}
	})
	observers.Go(func() {
		for ticker := time.NewTicker(smallCallTime); ; {
			select {
			case <-done:
				return
			case <-ticker.C:
				calls++
				c := call{id: fmt.Sprintf("small-%s-%d", name, calls), method: http.MethodPost, target: "/credit/1", key: callerKey, deadline: endlessDeadline, body: []byte("credit")}
				if answer := send(ctx, f.relays[0].front, c); answer.status != http.StatusOK || !answer.isWhole {
					lost++
				}
			}
		}
	})
	body := []byte(strings.Repeat("x", bodyBytes))
	for n := range callers {
		load.Go(func() {
			c := call{id: fmt.Sprintf("%s-%d", name, n), method: http.MethodPost, target: target, key: callerKey, deadline: endlessDeadline, body: body}
			readEndless(ctx, f.relays[0].front, c, isSlow)
		})
	}
	load.Wait()
	time.Sleep(time.Second)
	close(done)
	observers.Wait()

	return int(peak.Load()), lost, calls
}

// readEndless sends a call and reads its answer until it ends or the caller's time is up.
func readEndless(ctx context.Context, address string, c call, isSlow bool) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok && isSlow {
		_ = tcp.SetReadBuffer(4 << 10)
	}
	_ = conn.SetDeadline(time.Now().Add(c.deadline + time.Second))
	if _, err := conn.Write(append([]byte(requestHead(c)), c.body...)); err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for err == nil {
		if !isSlow {
			_, err = conn.Read(buffer)

			continue
		}
		_, err = conn.Read(buffer[:slowReadBytes])
		time.Sleep(slowReadTime)
	}
}

// residentMB returns the relay's resident memory in megabytes; 0 if it is unknown.
func (r *relay) residentMB() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kilobytes, err := strconv.ParseInt(strings.Fields(rest + " 0")[0], 10, 64)
	if err != nil {
		return 0
	}

	return kilobytes >> 10
}
