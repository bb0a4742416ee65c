package main

import (
	"bufio"
	"context"
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
	// refusalCalls is the number of calls of playRefusals, and refusalCallers the number of callers
	// that send them, each on a connection of its own for each call.
	refusalCalls   = 6000
	refusalCallers = 12
	// refusalServers is the number of servers.
	refusalServers = 3
	// faultRatio is the part of the requests at which a server does what the fault says, and
	// refusedRatio the part that a server refuses as it should.
	faultRatio   = 0.05
	refusedRatio = 0.02
	// lateRunTime is how long after the last answer a request may still run.
	lateRunTime = 2 * time.Second
)

// ledgerFault returns the bytes that a faulty server writes before its whole answer to a request.
// own is the ID of the request and earlier that of one before it on any connection.
type ledgerFault func(random *rand.Rand, own, earlier string) string

// ledgerFaults are the faults of playRefusals by name.
var ledgerFaults = map[string]ledgerFault{
	"none": func(*rand.Rand, string, string) string { return "" },
	// The head of a refusal, broken off at any byte.
	"cut-refusal": func(random *rand.Rand, own, earlier string) string {
		id := []string{"", own, earlier}[random.IntN(3)]

		return cutAnywhere(random, refusalHead(random, []int{503, 429, 421}[random.IntN(3)], id))
	},
	// The status line of an answer of another server at the address, broken off.
	"cut-status": func(random *rand.Rand, _, _ string) string {
		const line = "HTTP/1.1 421 Misdirected Request"

		return line[:len("HTTP/1.1 421 ")+random.IntN(len("Misdirected Request")+1)]
	},
	// A whole refusal of an earlier request.
	"stray-refusal": func(random *rand.Rand, _, earlier string) string {
		return refusalHead(random, 503, earlier) + "no"
	},
	// A whole refusal that names no request.
	"unnamed-refusal": func(random *rand.Rand, _, _ string) string {
		return refusalHead(random, 503, "") + "no"
	},
	// The head of a success, broken off, and a whole refusal of an earlier request.
	"cut-success": func(random *rand.Rand, own, earlier string) string {
		return cutAnywhere(random, answerHead(own, "Server-Load: 1,0,6\r\nX-Trace: abcdefgh\r\n")) + refusalHead(random, 503, earlier) + "no"
	},
	// The refusal of the request itself, whose body is broken off.
	"cut-body": func(random *rand.Rand, own, _ string) string {
		return strings.Replace(refusalHead(random, 503, own), "Content-Length: 2", "Content-Length: 400", 1) + "no"
	},
}

// cutAnywhere returns the beginning of a text.
func cutAnywhere(random *rand.Rand, text string) string {
	return text[:1+random.IntN(len(text)-1)]
}

// refusalHead returns the head of a refusal with a body of two bytes. The fields come in any order.
func refusalHead(random *rand.Rand, status int, id string) string {
	fields := []string{"Not-Run: 1\r\n", "Content-Length: 2\r\n", "Server-Load: 6,4,6\r\n"}
	if id != "" {
		fields = append(fields, "Request-Id: "+id+"\r\n")
	}
	random.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })

	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\n", status, http.StatusText(status), strings.Join(fields, ""))
}

// ledgerServer runs requests and answers them on kept connections.
type ledgerServer struct {
	name  string
	fault ledgerFault
	runs  *runRecord

	mu     sync.Mutex
	random *rand.Rand
	lastID string
}

// runRecord counts the runs of each request at all servers.
type runRecord struct {
	mu     sync.Mutex
	counts map[string]int
}

// add counts a run.
func (r *runRecord) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[id]++
}

// count returns the number of runs of a request.
func (r *runRecord) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.counts[id]
}

// serve serves one connection.
func (s *ledgerServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if _, err := io.WriteString(conn, s.answer(request.Header.Get("Request-Id"))); err != nil {
			return
		}
	}
}

// answer runs a request or refuses it, and returns all that the server writes to it.
func (s *ledgerServer) answer(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier := s.lastID
	if earlier == id {
		earlier = "of before" // A whole refusal of this request would be one that is true.
	}
	s.lastID = id
	whole := answerHead(id, "Content-Length: 4\r\n") + "done"
	switch draw := s.random.Float64(); {
	case draw < faultRatio:
		s.runs.add(id)

		return s.fault(s.random, id, earlier) + whole
	case draw < faultRatio+refusedRatio:
		return refusalHead(s.random, http.StatusServiceUnavailable, id) + "no"
	}
	s.runs.add(id)

	return whole
}

// playRefusals lets callers send requests that must run once to servers that refuse some of them, and
// that write broken or foreign bytes before some of their whole answers. FAULT names the fault; the
// default is all of them, one after the other. SEED sets the seed.
func playRefusals(ctx context.Context, f *fleet, out *record, hasTrouble bool) (verdict, error) {
	names := []string{"cut-refusal", "cut-status", "stray-refusal", "unnamed-refusal", "cut-success", "cut-body"}
	if name := os.Getenv("FAULT"); ledgerFaults[name] != nil {
		names = []string{name}
	}
	if !hasTrouble {
		names = []string{"none"}
	}
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	f.store.Write("config", "main", configuration(3, route("credits", "/credit/", "non_idempotent", 3000, 2), callerKey))
	if err := f.startRelays(ctx, relayCount); err != nil {
		return verdict{}, err
	}
	ended := verdict{}
	var summaries []string
	for i, name := range names {
		twice, refused, summary, err := f.playLedger(ctx, out, name, seed+uint64(i))
		if err != nil {
			return verdict{}, err
		}
		ended.isBroken = ended.isBroken || twice > 0 || refused > 0
		summaries = append(summaries, summary)
	}
	ended.summary = strings.Join(summaries, "; ")

	return ended, nil
}

// playLedger plays one fault and returns how often each rule was broken.
func (f *fleet) playLedger(ctx context.Context, out *record, name string, seed uint64) (twice, refused int, summary string, err error) {
	runs := &runRecord{counts: map[string]int{}}
	for i := range refusalServers {
		s := &ledgerServer{name: fmt.Sprintf("i-%s-%d", name, i+1), fault: ledgerFaults[name], runs: runs, random: rand.New(rand.NewPCG(seed, uint64(i)))} //nolint:gosec // A seeded draw.
		listener, err := listen(ctx)
		if err != nil {
			return 0, 0, "", err
		}
		defer func() { _ = listener.Close() }()
		go serveConnections(listener, s.serve)
		f.register(s.name, listener.Addr().String())
		defer f.unregister(s.name)
	}
	time.Sleep(heartbeatInterval) // The relays read the registry.
	statuses := f.callAll(ctx, name)
	time.Sleep(lateRunTime)
	twice, refused, counts := judgeRuns(statuses, runs, out)
	summary = fmt.Sprintf("%s seed %d: %d calls, statuses %v, TWICE %d, REFUSED %d", name, seed, refusalCalls, counts, twice, refused)
	out.printf("%s", summary)

	return twice, refused, summary, nil
}

// judgeRuns counts the requests that ran twice, those that ran though they were refused, and the statuses.
func judgeRuns(statuses map[string]int, runs *runRecord, out *record) (twice, refused int, counts map[int]int) {
	counts = map[int]int{}
	for id, status := range statuses {
		counts[status]++
		ran := runs.count(id)
		if ran > 1 {
			twice++
		}
		if ran > 0 && (status == 503 || status == 429 || status == 421 || status == 408) {
			refused++
		}
		if ran > 1 || (ran > 0 && status == 503) {
			out.printf("%s: status %d, %d runs", id, status, ran)
		}
	}

	return twice, refused, counts
}

// callAll sends all calls of a fault and returns the status of each; 0 for none.
func (f *fleet) callAll(ctx context.Context, name string) map[string]int {
	var mu sync.Mutex
	statuses := map[string]int{}
	var callers sync.WaitGroup
	for caller := range refusalCallers {
		callers.Go(func() {
			for n := caller; n < refusalCalls; n += refusalCallers {
				c := call{id: fmt.Sprintf("%s-%d", name, n), method: http.MethodPost, target: "/credit/1", key: callerKey, deadline: 3 * time.Second, body: []byte("credit")}
				answer := send(ctx, f.relays[n%len(f.relays)].front, c)
				mu.Lock()
				statuses[c.id] = answer.status
				mu.Unlock()
			}
		})
	}
	callers.Wait()

	return statuses
}
