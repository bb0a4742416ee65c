package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// otherService is a second service of playSoak, whose servers take over addresses of the first one's.
	otherService = "svc-b"
	// soakEvents is the number of events of a stream, and soakEventPause the time before each.
	soakEvents     = 5
	soakEventPause = 2 * time.Millisecond
	// formerEntryTime is the longest time for which the registry holds the entry of a former server, and
	// entryPause the longest time between the beginnings of two changes of the registry.
	formerEntryTime = 1500 * time.Millisecond
	entryPause      = 150 * time.Millisecond
	// takeoverRatio is the part of these changes at which another server takes an address over.
	takeoverRatio = 0.15
	// copyRatio is the part of the answers before which a server writes an earlier one of the connection once more,
	// and lateCopyRatio the part after which it does so.
	copyRatio     = 0.2
	lateCopyRatio = 0.03
	// maxCopyAge is how many answers back a copy may be from.
	maxCopyAge = 3
)

// soakConfiguration returns a configuration with both services and a route of each kind.
func soakConfiguration(version int, more string) string {
	routes := []string{
		route("credits", "/credit/", "non_idempotent", 1000, 2),
		strings.Replace(route("others", "/other/", "non_idempotent", 1000, 2), strconv.Quote(service), strconv.Quote(otherService), 1),
		route("reads", "/read/", "idempotent", 1000, 3),
		route("streams", "/stream/", "streaming", 1000, 2),
		strings.Replace(route("resumable", "/resumable/", "streaming", 1000, 3), `"can_resume":false`, `"can_resume":true`, 1),
	}
	text := configuration(version, strings.Join(routes, ",")+more, callerKey)

	return strings.Replace(text, `"services":[`, fmt.Sprintf(`"services":[{"name":%q,"max_conns":100},`, otherService), 1)
}

// soakStream returns the events of a stream that follow one.
func soakStream(id string, after int) (events []string) {
	for n := after + 1; n <= soakEvents; n++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s\n\n", n, id))
	}

	return events
}

// soakServer is a server of playSoak. Beside its fault it refuses what is for another server, and writes earlier
// answers of a connection once more, late, where the next one is due. Other servers take its address over.
type soakServer struct {
	*ledgerServer

	address       string
	startedUnixMs int64
	trace         *requestTrace
	hasCopies     bool

	state sync.Mutex
	id    string // of the server that has the address now
	conns map[net.Conn]bool
}

// requestTrace is what servers saw of each request.
type requestTrace struct {
	mu    sync.Mutex
	lines map[string][]string
}

// add adds a line to a request.
func (t *requestTrace) add(id, format string, arguments ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines[id] = append(t.lines[id], time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

// text returns the lines of a request.
func (t *requestTrace) text(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()

	return strings.Join(t.lines[id], "\n    ")
}

// chance draws whether something with a probability happens.
func (s *soakServer) chance(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.random.Float64() < probability
}

// serveConnection serves one connection of the server that has the address now.
func (s *soakServer) serveConnection(conn net.Conn) {
	s.state.Lock()
	id := s.id
	s.conns[conn] = true
	s.state.Unlock()
	defer func() {
		_ = conn.Close()
		s.state.Lock()
		defer s.state.Unlock()
		delete(s.conns, conn)
	}()
	var earlier []string
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		requestID := request.Header.Get("Request-Id")
		s.trace.add(requestID, "%s at %s gets it for %s", id, conn.RemoteAddr(), request.Header.Get("Expect-Instance"))
		if s.hasCopies && s.chance(copyRatio) && !s.writeCopy(conn, requestID, earlier) {
			return
		}
		var answer strings.Builder
		for _, part := range s.respond(request, id) {
			if _, err := io.WriteString(io.MultiWriter(&answer, conn), part); err != nil {
				return
			}
			if isSoakStream(request.URL.Path) {
				time.Sleep(soakEventPause)
			}
		}
		earlier = append(earlier, answer.String())
		if s.hasCopies && s.chance(lateCopyRatio) {
			time.Sleep(soakEventPause)
			if !s.writeCopy(conn, requestID, earlier) {
				return
			}
		}
	}
}

// writeCopy writes one of the last answers of a connection once more, if there are any.
func (s *soakServer) writeCopy(conn net.Conn, id string, earlier []string) bool {
	if len(earlier) == 0 {
		return true
	}
	s.mu.Lock()
	text := earlier[max(0, len(earlier)-1-s.random.IntN(maxCopyAge))]
	s.mu.Unlock()
	s.trace.add(id, "%s gets a copy of %.120q", conn.RemoteAddr(), text)
	_, err := io.WriteString(conn, text)

	return err == nil
}

// respond runs a request or refuses it, and returns the parts of what is written to it.
func (s *soakServer) respond(request *http.Request, id string) []string {
	requestID, path := request.Header.Get("Request-Id"), request.URL.Path
	switch {
	case strings.HasSuffix(path, "/report"):
		report := fmt.Sprintf(`{"born":%d}`, s.startedUnixMs)

		return []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)}
	case request.Header.Get("Expect-Instance") != id:
		return s.refuse(http.StatusMisdirectedRequest, requestID)
	case !isSoakStream(path):
		return []string{s.answer(requestID)}
	case s.chance(refusedRatio):
		return s.refuse(http.StatusTooManyRequests, requestID)
	}
	s.runs.add(requestID)
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	parts := []string{answerHead(requestID, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")}
	for _, event := range soakStream(requestID, after) {
		parts = append(parts, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
	}

	return append(parts, "0\r\n\r\n")
}

// refuse returns a refusal.
func (s *soakServer) refuse(status int, id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return []string{refusalHead(s.random, status, id) + "no"}
}

// isSoakStream reports whether a path is that of a stream.
func isSoakStream(path string) bool {
	return strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resumable/")
}

// changeServers changes the registry and the servers until a time: entries of former servers come and go, at the
// address of another one, and servers take addresses over.
func (f *fleet) changeServers(ctx context.Context, endAt time.Time, random *rand.Rand, servers []*soakServer) {
	var spans sync.WaitGroup
	for number := 100; time.Now().Before(endAt) && ctx.Err() == nil; number++ {
		n, id, span := random.IntN(len(servers)), fmt.Sprintf("i-%d", number), time.Duration(random.Int64N(int64(formerEntryTime)))
		drawn := []string{service, service, otherService}[random.IntN(3)]
		if random.Float64() < takeoverRatio {
			switch n { // Each service keeps a server.
			case 0:
				drawn = service
			case len(servers) - 1:
				drawn = otherService
			}
			spans.Go(func() { f.takeOver(servers[n], id, drawn, span) })
		} else {
			spans.Go(func() {
				f.registerFor(drawn, id, servers[n].address, plainSlots)
				time.Sleep(span)
				f.unregister(id)
			})
		}
		time.Sleep(time.Duration(random.Int64N(int64(entryPause))))
	}
	spans.Wait()
}

// takeOver lets another server take an address over. The entry of the former one stays for a time.
func (f *fleet) takeOver(s *soakServer, id, newService string, span time.Duration) {
	s.state.Lock()
	former := s.id
	s.id = id
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.state.Unlock()
	f.registerFor(newService, id, s.address, plainSlots)
	time.Sleep(span)
	f.unregister(former)
}
