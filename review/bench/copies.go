package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// copyRefusedRatio is the part of the requests that a server of playCopies refuses as it should, and
	// copiedRatio the part of the refusals that it writes once more.
	copyRefusedRatio = 0.1
	copiedRatio      = 0.5
	// staleTime is how long the registry holds an entry of a server that is gone.
	staleTime = 500 * time.Millisecond
	// copyWork is the longest time that a server works on a request.
	copyWork = 16 * time.Millisecond
)

// copyKind is a kind of copied refusals.
type copyKind struct {
	// status is that of the refusals that are copied.
	status int
	// isStream is true if the answers are streams.
	isStream bool
}

// copyKinds are the faults of playCopies by name.
var copyKinds = map[string]copyKind{
	"copy-503":   {status: http.StatusServiceUnavailable},
	"copy-421":   {status: http.StatusMisdirectedRequest},
	"stream-503": {status: http.StatusServiceUnavailable, isStream: true},
	"stream-421": {status: http.StatusMisdirectedRequest, isStream: true},
}

// copyCounts counts the copies that the servers have written, and those of them that named the request
// that was under way on their connection.
type copyCounts struct {
	mu                     sync.Mutex
	refusals, written, own int
}

// copyServer runs requests, refuses some, and writes some refusals once more where the next answer on
// their connection is due.
type copyServer struct {
	name   string
	kind   copyKind
	runs   *runRecord
	counts *copyCounts
	out    *record

	mu     sync.Mutex
	random *rand.Rand
}

// refusal is a refusal that a server has written; empty if it is not written again.
type refusal struct {
	id, text string
}

// serve serves one connection.
func (s *copyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late refusal
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Request-Id")
		before := late
		var text string
		text, late = s.answer(id, request.Header.Get("Expect-Instance"))
		s.count(before, id, conn)
		time.Sleep(s.workTime(before))
		if _, err := io.WriteString(conn, before.text+text); err != nil {
			return
		}
	}
}

// workTime returns how long the server works before it answers. A copy is written at once.
func (s *copyServer) workTime(before refusal) time.Duration {
	if before.text != "" {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	return time.Duration(s.random.Int64N(int64(copyWork)))
}

// count counts a copy that is written while a request is under way.
func (s *copyServer) count(written refusal, id string, conn net.Conn) {
	if written.text == "" {
		return
	}
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	s.counts.written++
	if written.id == id {
		s.counts.own++
		s.out.printf("%s at %s: its refusal comes again on the connection of %s", id, s.name, conn.RemoteAddr())
	}
}

// answer runs a request or refuses it. It returns the answer, and the refusal that is to be written again.
func (s *copyServer) answer(id, expected string) (text string, late refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := 0
	switch {
	case expected != "" && expected != s.name:
		status = http.StatusMisdirectedRequest
	case s.random.Float64() < copyRefusedRatio:
		status = http.StatusServiceUnavailable
	default:
		s.runs.add(id)

		return s.success(id), refusal{}
	}
	text = refusalHead(s.random, status, id) + "no"
	if status == s.kind.status {
		s.counts.mu.Lock()
		s.counts.refusals++
		s.counts.mu.Unlock()
		if s.random.Float64() < copiedRatio {
			late = refusal{id: id, text: text}
		}
	}

	return text, late
}

// success returns the answer to a request that ran.
func (s *copyServer) success(id string) string {
	if !s.kind.isStream {
		return answerHead(id, "Content-Length: 4\r\n") + "done"
	}
	const events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"

	return answerHead(id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(events), events)
}

// playCopies lets callers send requests that must run once to servers that write some of their refusals
// once more, late. FAULT names the kind of the copies; the default is all of them, one after the other.
// SEED sets the seed.
func playCopies(ctx context.Context, f *fleet, out *record, hasTrouble bool) (verdict, error) {
	names := []string{"copy-503", "copy-421", "stream-503", "stream-421"}
	if name := os.Getenv("FAULT"); copyKinds[name] != (copyKind{}) {
		names = []string{name}
	}
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	version := 3
	setKind := func(kind string) {
		f.store.Write("config", "main", configuration(version, route("credits", "/credit/", kind, 3000, 2), callerKey))
		version++
	}
	setKind("non_idempotent")
	if err := f.startRelays(ctx, relayCount); err != nil {
		return verdict{}, err
	}
	ended := verdict{}
	var summaries []string
	for i, name := range names {
		if copyKinds[name].isStream {
			setKind("streaming")
		}
		isBroken, summary, err := f.playCopyKind(ctx, out, name, hasTrouble, seed+uint64(i))
		if err != nil {
			return verdict{}, err
		}
		ended.isBroken = ended.isBroken || isBroken
		summaries = append(summaries, summary)
	}
	ended.summary = strings.Join(summaries, "; ")

	return ended, nil
}

// playCopyKind plays one kind of copies. Without trouble no refusal is copied.
func (f *fleet) playCopyKind(ctx context.Context, out *record, name string, hasTrouble bool, seed uint64) (isBroken bool, summary string, err error) {
	kind := copyKinds[name]
	if !hasTrouble {
		kind.status = 0
	}
	runs, counts := &runRecord{counts: map[string]int{}}, &copyCounts{}
	var addresses []string
	for i := range refusalServers {
		s := &copyServer{name: fmt.Sprintf("i-%s-%d", name, i+1), kind: kind, runs: runs, counts: counts, out: out, random: rand.New(rand.NewPCG(seed, uint64(i)))} //nolint:gosec // A seeded draw.
		listener, err := listen(ctx)
		if err != nil {
			return false, "", err
		}
		defer func() { _ = listener.Close() }()
		go serveConnections(listener, s.serve)
		f.register(s.name, listener.Addr().String())
		defer f.unregister(s.name)
		addresses = append(addresses, listener.Addr().String())
	}
	time.Sleep(heartbeatInterval) // The relays read the registry and the configuration.
	var stale sync.WaitGroup
	staleCtx, endStale := context.WithCancel(ctx)
	if copyKinds[name].status == http.StatusMisdirectedRequest {
		stale.Go(func() { f.keepStale(staleCtx, name, addresses) })
	}
	statuses := f.callAll(ctx, name)
	endStale()
	stale.Wait()
	time.Sleep(lateRunTime)
	twice, refused, ended := judgeRuns(statuses, runs, out)
	counts.mu.Lock()
	defer counts.mu.Unlock()
	summary = fmt.Sprintf("%s seed %d: %d calls, %d refusals, %d copies, %d of the request under way, statuses %v, TWICE %d, REFUSED %d", name, seed, refusalCalls, counts.refusals, counts.written, counts.own, ended, twice, refused)
	out.printf("%s", summary)
	if hasTrouble && counts.written == 0 {
		return false, "", errors.New("no copy was written: " + summary)
	}

	return twice+refused > 0, summary, nil
}

// keepStale keeps an entry of a server that is gone for each address in the registry, a new one each
// staleTime, until the context ends.
func (f *fleet) keepStale(ctx context.Context, name string, addresses []string) {
	for n := 0; ctx.Err() == nil; n++ {
		for i, address := range addresses {
			f.register(fmt.Sprintf("i-%s-gone-%d-%d", name, i+1, n), address)
		}
		time.Sleep(staleTime)
		for i := range addresses {
			f.unregister(fmt.Sprintf("i-%s-gone-%d-%d", name, i+1, n))
		}
	}
}
