package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// soakTime is how long the callers of playSoak send requests, soakCallers their number, and
	// soakPause the time between two requests of one.
	soakTime    = 14 * time.Second
	soakCallers = 16
	soakPause   = 10 * time.Millisecond
	// soakRelays is the number of relays.
	soakRelays = 3
	// disturbancePause is the longest time between the beginnings of two disruptions.
	disturbancePause = 1500 * time.Millisecond
)

// soakPrefixes begin the targets of a caller's requests, in turn. Those of soakRepeatable may run more than once.
var (
	soakPrefixes   = []string{"/credit/", "/credit/", "/other/", "/credit/", "/read/", "/stream/", "/resumable/"}
	soakRepeatable = map[string]bool{"/read/": true, "/resumable/": true}
)

// soakOutcome is what a caller has seen of a request.
type soakOutcome struct {
	status    int
	isClosed  bool   // the connection ended without a whole answer
	mayRepeat bool   // the request may run more than once
	wrong     string // what is not as the server answered; empty if all is
}

// playSoak lets callers send requests that must run once, on kept connections, to faulty servers while
// relays are stopped as planned and started again, settings are reloaded and configurations change, one after the
// other and at the same time. The servers are soakServers, among which entries of the registry and addresses
// change. SEED sets the seed. A request may run once, one that is refused not at all, and one that ran has its own
// whole answer. Requests that may be repeated and streams go along.
func playSoak(ctx context.Context, f *fleet, out *record, hasTrouble bool) (verdict, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // A seeded draw.
	f.store.Write("config", "main", soakConfiguration(3, ""))
	runs := &runRecord{counts: map[string]int{}}
	fault := anyFault
	if !hasTrouble {
		fault = ledgerFaults["none"]
	}
	trace := &requestTrace{lines: map[string][]string{}}
	servers := make([]*soakServer, 0, refusalServers+1)
	for i := range refusalServers + 1 {
		s := &soakServer{id: fmt.Sprintf("i-%d", i+1), startedUnixMs: f.startedUnixMs, trace: trace, hasCopies: hasTrouble, conns: map[net.Conn]bool{},
			ledgerServer: &ledgerServer{fault: fault, runs: runs, random: rand.New(rand.NewPCG(seed, uint64(i+2)))}} //nolint:gosec // A seeded draw.
		listener, err := listen(ctx)
		if err != nil {
			return verdict{}, err
		}
		go serveConnections(listener, s.serveConnection)
		s.address = listener.Addr().String()
		servers = append(servers, s)
		f.registerFor([]string{service, otherService}[i/refusalServers], s.id, s.address, plainSlots)
	}
	if err := f.startRelays(ctx, soakRelays); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	outcomes := map[string]soakOutcome{}
	endAt := time.Now().Add(soakTime)
	var callers sync.WaitGroup
	for n := range soakCallers {
		callers.Go(func() {
			f.callUntil(ctx, endAt, n, func(id string, outcome soakOutcome) {
				mu.Lock()
				defer mu.Unlock()
				outcomes[id] = outcome
			})
		})
	}
	if hasTrouble {
		callers.Go(func() { f.changeServers(ctx, endAt, rand.New(rand.NewPCG(seed, 100)), servers) }) //nolint:gosec // A seeded draw.
		f.disturb(ctx, endAt, random, out)
	}
	callers.Wait()
	time.Sleep(lateRunTime)

	return judgeSoak(seed, outcomes, runs, trace, out)
}

// judgeSoak counts the requests that broke a rule.
func judgeSoak(seed uint64, outcomes map[string]soakOutcome, runs *runRecord, trace *requestTrace, out *record) (verdict, error) {
	broken, statuses := map[string]int{}, map[int]int{}
	for id, outcome := range outcomes {
		statuses[outcome.status]++
		rule := ""
		switch ran := runs.count(id); {
		case outcome.wrong != "":
			rule = "MIXED"
		case ran > 1 && !outcome.mayRepeat:
			rule = "TWICE"
		case ran > 0 && outcome.isClosed:
			rule = "LOST"
		case ran > 0 && !outcome.mayRepeat && promisesNotRun(outcome.status):
			rule = "REFUSED"
		}
		if rule != "" {
			broken[rule]++
			out.printf("%s: %s, status %d, %d runs %s\n    %s", rule, id, outcome.status, runs.count(id), outcome.wrong, trace.text(id))
		}
	}
	summary := fmt.Sprintf("seed %d: %d calls, statuses %v, TWICE %d, REFUSED %d, LOST %d, MIXED %d", seed, len(outcomes), statuses, broken["TWICE"], broken["REFUSED"], broken["LOST"], broken["MIXED"])
	if statuses[http.StatusOK] == 0 {
		return verdict{}, errors.New("the traffic did not flow: " + summary)
	}

	return verdict{isBroken: len(broken) > 0, summary: summary}, nil
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}

	return false
}

// wrongAnswer says what of an answer is not as the server gave it; empty if nothing is. A stream may be cut.
func wrongAnswer(c call, answer callAnswer) string {
	want, body := "done", string(answer.body)
	if isSoakStream(c.target) {
		want = strings.Join(soakStream(c.id, 0), "")
	}
	isCut := isSoakStream(c.target) && !answer.isWhole && strings.HasPrefix(want, body)
	switch {
	case answer.stamp == "" && answer.status != http.StatusOK:
		return "" // It is the relay's own.
	case answer.stamp != "stamp-"+c.id, answer.status != http.StatusOK:
		return fmt.Sprintf("(stamp %q)", answer.stamp)
	case body == want, isCut, !isSoakStream(c.target) && !answer.isWhole:
		return ""
	}

	return fmt.Sprintf("(body %q, whole %t)", body, answer.isWhole)
}

// anyFault is one of the faults of playRefusals, drawn for each answer.
func anyFault(random *rand.Rand, own, earlier string) string {
	names := []string{"cut-refusal", "cut-status", "stray-refusal", "unnamed-refusal", "cut-success", "cut-body"}

	return ledgerFaults[names[random.IntN(len(names))]](random, own, earlier)
}

// callUntil sends requests on one kept connection after the other.
func (f *fleet) callUntil(ctx context.Context, endAt time.Time, caller int, report func(id string, outcome soakOutcome)) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; time.Now().Before(endAt); n++ {
		if conn == nil {
			var dialer net.Dialer
			dialed, err := dialer.DialContext(ctx, "tcp", f.relays[(caller+n)%len(f.relays)].front)
			if err != nil {
				time.Sleep(soakPause)

				continue
			}
			conn, reader = dialed, bufio.NewReader(dialed)
		}
		prefix, id := soakPrefixes[(caller+n)%len(soakPrefixes)], fmt.Sprintf("call-%d-%d", caller, n)
		// Equal requests may be held back, as those that crash servers.
		c := call{id: id, method: http.MethodPost, target: prefix + id, key: callerKey, deadline: time.Second, body: []byte("credit")}
		answer := exchange(conn, reader, c)
		isCutStream := isSoakStream(c.target) && answer.status == http.StatusOK
		report(c.id, soakOutcome{status: answer.status, isClosed: !answer.isWhole && !isCutStream, mayRepeat: soakRepeatable[prefix], wrong: wrongAnswer(c, answer)})
		if !answer.isWhole || answer.status == http.StatusServiceUnavailable || answer.isLast {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(soakPause)
	}
}

// disturb draws disruptions until a time, some while others last.
func (f *fleet) disturb(ctx context.Context, endAt time.Time, random *rand.Rand, out *record) {
	var restarts sync.WaitGroup
	version := 3
	for time.Now().Before(endAt) {
		r := f.relays[random.IntN(len(f.relays))]
		switch random.IntN(3) {
		case 0:
			out.printf("%s gets SIGTERM and is started again", r.name)
			restarts.Go(func() { f.restart(ctx, r) })
		case 1:
			out.printf("%s gets SIGHUP", r.name)
			r.signal(syscall.SIGHUP)
		case 2:
			version += 1 + random.IntN(3)
			out.printf("configuration %d", version)
			f.store.Write("config", "main", soakConfiguration(version, ","+route(fmt.Sprint("more-", version), fmt.Sprintf("/more/%d/", version), "idempotent", 3000, 2)))
		}
		time.Sleep(time.Duration(random.Int64N(int64(disturbancePause))))
	}
	restarts.Wait()
}
