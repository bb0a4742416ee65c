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

// soakOutcome is what a caller has seen of a request.
type soakOutcome struct {
	status   int
	isClosed bool // the connection ended without a whole answer
}

// playSoak lets callers send requests that must run once, on kept connections, to faulty servers while
// relays are stopped as planned and started again, settings are reloaded and configurations change, one after the
// other and at the same time. SEED sets the seed. A request may run once, one that is refused not at all, and
// one that ran has an answer.
func playSoak(ctx context.Context, f *fleet, out *record, hasTrouble bool) (verdict, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // A seeded draw.
	credits := route("credits", "/credit/", "non_idempotent", 1000, 2)
	f.store.Write("config", "main", configuration(3, credits, callerKey))
	runs := &runRecord{counts: map[string]int{}}
	fault := anyFault
	if !hasTrouble {
		fault = ledgerFaults["none"]
	}
	for i := range refusalServers {
		s := &ledgerServer{name: fmt.Sprintf("i-%d", i+1), fault: fault, runs: runs, random: rand.New(rand.NewPCG(seed, uint64(i+2)))} //nolint:gosec // A seeded draw.
		listener, err := listen(ctx)
		if err != nil {
			return verdict{}, err
		}
		go serveConnections(listener, s.serve)
		f.register(s.name, listener.Addr().String())
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
		f.disturb(ctx, endAt, random, credits, out)
	}
	callers.Wait()
	time.Sleep(lateRunTime)

	return judgeSoak(seed, outcomes, runs, out)
}

// judgeSoak counts the requests that broke a rule.
func judgeSoak(seed uint64, outcomes map[string]soakOutcome, runs *runRecord, out *record) (verdict, error) {
	twice, refused, lost, counts := 0, 0, 0, map[int]int{}
	for id, outcome := range outcomes {
		counts[outcome.status]++
		switch ran := runs.count(id); {
		case ran > 1:
			twice++
			out.printf("TWICE: %s", id)
		case ran > 0 && outcome.isClosed:
			lost++
			out.printf("LOST: %s", id)
		case ran > 0 && outcome.status == http.StatusServiceUnavailable:
			refused++
			out.printf("REFUSED: %s", id)
		}
	}
	summary := fmt.Sprintf("seed %d: %d calls, statuses %v, TWICE %d, REFUSED %d, LOST %d", seed, len(outcomes), counts, twice, refused, lost)
	if counts[http.StatusOK] == 0 {
		return verdict{}, errors.New("the traffic did not flow: " + summary)
	}

	return verdict{isBroken: twice+refused+lost > 0, summary: summary}, nil
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
		c := call{id: fmt.Sprintf("call-%d-%d", caller, n), method: http.MethodPost, target: "/credit/1", key: callerKey, deadline: time.Second, body: []byte("credit")}
		answer := exchange(conn, reader, c)
		report(c.id, soakOutcome{status: answer.status, isClosed: !answer.isWhole})
		if !answer.isWhole || answer.status == http.StatusServiceUnavailable || answer.isLast {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(soakPause)
	}
}

// disturb draws disruptions until a time, some while others last.
func (f *fleet) disturb(ctx context.Context, endAt time.Time, random *rand.Rand, routes string, out *record) {
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
			f.store.Write("config", "main", configuration(version, routes+","+route(fmt.Sprint("more-", version), fmt.Sprintf("/more/%d/", version), "idempotent", 3000, 2), callerKey))
		}
		time.Sleep(time.Duration(random.Int64N(int64(disturbancePause))))
	}
	restarts.Wait()
}
